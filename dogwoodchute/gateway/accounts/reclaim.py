"""Returns to prepaid budgets the tokens that ended processes drew but did not use.

An incarnation is one run of a host's process; a new one shows that the earlier ones
have ended. For each partition of the account rows one host closes all their holdings,
those of an account together. If each host closed its own, the hosts of a large fleet
that were killed at the same time would conflict at every account's row.
"""

import asyncio
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import escrow
from dogwoodchute.gateway import host_rows, rows
from dogwoodchute.gateway.accounts import account_rows, settlements

CHECK_INTERVAL = 0.2  # seconds between checks for new incarnations
SETTLE_TIME = 0.3  # seconds without a further new incarnation before rows are read
MAX_SETTLE_TIME = 0.9  # seconds after the first new incarnation
RECHECK_DELAYS = (3.0, 8.0)  # seconds after a close, for commits that apply late


class _PartState:
    """What this host has closed and has yet to close in one partition."""

    def __init__(self) -> None:
        self.era: int | None = None  # of the store at the last check
        # Incarnations whose predecessors' holdings are closed, and the last result of
        # `registered` for which that was found.
        self.closed_for: frozenset[str] = frozenset()
        self.closed_newest: dict[str, host_rows.Host] | None = None
        self.latest: frozenset[str] = frozenset()  # incarnations at the last check
        self.changed_at = 0.0  # monotonic seconds of the last change of `latest`
        # Monotonic seconds of the first incarnation that is not in `closed_for`.
        self.first_new_at: float | None = None
        # Monotonic seconds of the remaining rechecks.
        self.recheck_times: list[float] = []


class Reclaimer:
    """Closes holdings of ended incarnations, in partitions assigned to this host."""

    def __init__(
        self,
        *,
        store: rows.Store,
        registered: abc.Callable[[], dict[str, host_rows.Host]],
        is_responsible_for: abc.Callable[[str], bool],
        now: abc.Callable[[], float],
    ) -> None:
        self._store = store
        # The newest incarnation of each host, by name; the same one until that changes.
        self._registered = registered
        self._is_responsible_for = is_responsible_for
        self._now = now
        self._reader = account_rows.holding_reader()
        self._parts = {part: _PartState() for part in account_rows.parts()}

    async def run(self) -> None:
        """Close holdings in partitions assigned to this host until cancelled."""
        while True:
            for name, part in self._parts.items():
                try:
                    await self._check_part(name, part)
                except Exception:
                    log.exception("reclaim_failed", part=name)
            await asyncio.sleep(CHECK_INTERVAL)

    async def _check_part(self, name: str, part: _PartState) -> None:
        newest = self._registered()
        now = self._now()
        era = self._store.era()
        if era != part.era:
            # A restored store lacks what was closed since its copy.
            part.era, part.closed_for, part.closed_newest = era, frozenset(), None
        is_recheck = bool(part.recheck_times) and now >= part.recheck_times[0]
        if newest is part.closed_newest and not is_recheck:
            return
        incarnations = frozenset(host.id for host in newest.values())
        is_new = not incarnations <= part.closed_for
        if not is_new:
            part.closed_newest = newest
        # Whether this host is responsible takes a ranking of all hosts, which costs
        # more than the checks above, so it comes last.
        if not (is_new or is_recheck) or not self._is_responsible_for(name):
            return
        if is_new and not self._has_settled(part, incarnations):
            return
        if not await self.close(name, newest):
            return
        if not is_new:
            del part.recheck_times[0]
            return
        part.closed_for = incarnations
        part.first_new_at = None
        part.recheck_times = [now + pause for pause in RECHECK_DELAYS]

    def _has_settled(self, part: _PartState, incarnations: frozenset[str]) -> bool:
        """Return whether to stop waiting for further new incarnations."""
        now = self._now()
        if part.first_new_at is None:
            part.first_new_at = now
        if incarnations != part.latest:
            part.latest, part.changed_at = incarnations, now
        if now - part.first_new_at >= MAX_SETTLE_TIME:
            return True
        return now - part.changed_at >= SETTLE_TIME

    async def close(self, part: str, newest: dict[str, host_rows.Host]) -> bool:
        """Close a partition's holdings of all incarnations that `newest` succeeded.

        Returns whether all are closed.
        """
        found = await self._store.read(account_rows.HOLDINGS, part, None, None)
        if isinstance(found, rows.Unavailable):
            log.warning("reclaim_put_off", part=part, reason=found.reason)
            return False
        ended: list[settlements.Settlement] = []
        for row in found.rows:
            if self._reader.read(row) is None:
                continue
            settlement = ended_holding(row, newest)
            if settlement is None:
                _log_left(row, newest)
            else:
                ended.append(settlement)
        return await settlements.settle(self._store, part, ended)


def ended_holding(
    row: rows.Row, newest: dict[str, host_rows.Host]
) -> settlements.Settlement | None:
    """Return how to close a holding whose holder ended before one of `newest` started.

    A row written before the newest incarnation registered belongs to it or to an ended
    one, as a later incarnation can't have written that early. A commit may also apply
    after its sender has ended; then the row says that its sender registered earlier.
    """
    successor = _successor(row, newest)
    if successor is None:
        return None
    holding = account_rows.decode_holding(row.value)
    registered_before = 0 < holding.registered < successor.registered
    if row.version >= successor.registered and not registered_before:
        return None
    began = successor.began
    unused = escrow.reclaimable_tokens(holding, successor_started_at=began)
    lost = escrow.lost_tokens(holding, successor_started_at=began)
    if not account_rows.is_certain(row, holding):
        unused, lost = 0, escrow.whole_as_lost(holding)
    return settlements.Settlement(
        row=row,
        holding=holding,
        unused=unused,
        spent=holding.spent,
        lost=lost,
        remaining=None,
        age=began - holding.at,
    )


def _log_left(row: rows.Row, newest: dict[str, host_rows.Host]) -> None:
    """Log a holding that is not closed although its incarnation may have ended."""
    successor = _successor(row, newest)
    if successor is None or account_rows.decode_holding(row.value).registered:
        return
    log.warning(
        "holding_left",
        row=row.key,
        version=row.version,
        newest=successor.id,
        registered=successor.registered,
    )


def _successor(
    row: rows.Row, newest: dict[str, host_rows.Host]
) -> host_rows.Host | None:
    """Return the newest incarnation of a holder's host, None if that is the holder."""
    holder = row.key.partition("/")[2]
    found = newest.get(holder.rpartition("-")[0])
    return None if found is None or found.id == holder else found
