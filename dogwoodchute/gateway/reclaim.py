"""Returns to prepaid budgets the tokens that ended processes drew but did not use.

An incarnation is one run of a host's process; a new one shows that the earlier ones
have ended. For each partition of the account rows one host closes all their holdings,
those of an account together. If each host closed its own, the hosts of a large fleet
that were killed at the same time would conflict at every account's row.
"""

import asyncio
import itertools
import random
import typing
from collections import abc

import prometheus_client

from dogwoodchute import log
from dogwoodchute.coordination import checkpoints, escrow
from dogwoodchute.gateway import account_rows, host_rows, rows

CHECK_INTERVAL = 0.2  # seconds between checks for new incarnations
SETTLE_TIME = 0.3  # seconds without a further new incarnation before rows are read
MAX_SETTLE_TIME = 0.9  # seconds after the first new incarnation
MAX_HOLDINGS = 40  # in one commit, with a check and a put each
MAX_TRIES = 12  # of one commit, which may conflict with draws
RECHECK_DELAYS = (3.0, 8.0)  # seconds after a close, for commits that apply late
RETRY_PAUSE = 0.2  # seconds on average, after a failed call
SPENT = "spent"  # as written bills say
RETURNED = "returned"  # to the account's row

closed_tokens = prometheus_client.Counter(
    "dogwoodchute_closed_tokens",
    "Tokens drawn by lifetimes that ended, by what became of them.",
    ["end"],
)


class EndedHolding(typing.NamedTuple):
    """The holding of an incarnation that ended before its successor started."""

    row: rows.Row
    holding: escrow.Holding
    successor_started_at: float  # seconds of the store's clock

    @property
    def unused(self) -> int:
        """Tokens that the incarnation certainly did not use."""
        return escrow.reclaimable_tokens(
            self.holding, successor_started_at=self.successor_started_at
        )

    @property
    def lost(self) -> escrow.Lost:
        """Tokens that stay drawn because they may have been used, though not billed."""
        return escrow.lost_tokens(
            self.holding, successor_started_at=self.successor_started_at
        )


class _PartState:
    """What this host has closed and has yet to close in one partition."""

    def __init__(self) -> None:
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
        by_account: dict[str, list[EndedHolding]] = {}
        for row in found.rows:
            if self._reader.read(row) is None:
                continue
            ended = ended_holding(row, newest)
            if ended is None:
                _log_left(row, newest)
            else:
                by_account.setdefault(row.key.partition("/")[0], []).append(ended)
        closes = [
            self._close_in_batches(part, account, ended)
            for account, ended in by_account.items()
        ]
        return all(await asyncio.gather(*closes))

    async def _close_in_batches(
        self, part: str, account: str, ended: list[EndedHolding]
    ) -> bool:
        all_closed = True
        for batch in batched(ended, MAX_HOLDINGS):
            all_closed = await self._close_batch(part, account, batch) and all_closed
        return all_closed

    async def _close_batch(
        self, part: str, account: str, ended: list[EndedHolding]
    ) -> bool:
        """Remove holdings of an account and return their unused tokens to its row.

        Returns whether all are removed. One that has changed since it was read is left
        for the next look at the partition.
        """
        has_changed = False
        account_row: rows.Row | None = None
        for tries in range(MAX_TRIES):
            if account_row is None:
                account_row = await self._read_account(part, account)
            if account_row is None:
                await asyncio.sleep(RETRY_PAUSE * random.uniform(0.5, 1.5))
                continue
            outcome = await self._commit(part, account, account_row, ended)
            if isinstance(outcome, rows.Committed):
                _report_closed(ended)
                return not has_changed
            if not isinstance(outcome, rows.Conflict):
                await asyncio.sleep(RETRY_PAUSE * random.uniform(0.5, 1.5))
                continue
            # Absent holdings were closed, perhaps by a copy of this commit.
            current = {(row.table, row.key): row for row in outcome.rows}
            present = [e for e in ended if _key_of(e) in current]
            ended = [e for e in present if _is_current(e.row, current)]
            has_changed = has_changed or len(ended) < len(present)
            account_row = current.get((account_rows.ACCOUNTS, account))
            if not ended:
                return not has_changed
            await asyncio.sleep(checkpoints.conflict_pause(tries + 1))
        log.warning("holdings_left", account=account, holdings=len(ended))
        return False

    async def _read_account(self, part: str, account: str) -> rows.Row | None:
        found = await self._store.read(
            account_rows.ACCOUNTS, part, account, account + "\0"
        )
        if isinstance(found, rows.Unavailable) or not found.rows:
            return None
        return found.rows[0]

    async def _commit(
        self, part: str, account: str, account_row: rows.Row, ended: list[EndedHolding]
    ) -> rows.CommitOutcome:
        before = account_rows.decode_account(account_row.value)
        lost = [each.lost for each in ended]
        after = escrow.Account(
            drawn=before.drawn - sum(each.unused for each in ended),
            closed_spent=before.closed_spent + sum(e.holding.spent for e in ended),
            lost_reserved=before.lost_reserved + sum(each.reserved for each in lost),
            lost_headroom=before.lost_headroom + sum(each.headroom for each in lost),
            lost_risen=before.lost_risen + sum(each.risen for each in lost),
        )
        checks = [rows.Check(account_rows.ACCOUNTS, account, account_row.version)]
        puts = [
            rows.Put(
                account_rows.ACCOUNTS, account, account_rows.encode_value(list(after))
            )
        ]
        for each in ended:
            key = each.row.key
            checks.append(rows.Check(account_rows.HOLDINGS, key, each.row.version))
            puts.append(rows.Put(account_rows.HOLDINGS, key, None))
        return await self._store.commit(part, checks, puts)


def ended_holding(
    row: rows.Row, newest: dict[str, host_rows.Host]
) -> EndedHolding | None:
    """Return the holding in a row if its holder ended before one of `newest` started.

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
    return EndedHolding(row, holding, successor.began)


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


def batched(ended: list[EndedHolding], size: int) -> abc.Iterator[list[EndedHolding]]:
    """Yield `ended` in lists of up to `size` items."""
    remaining = iter(ended)
    return iter(lambda: list(itertools.islice(remaining, size)), [])


def _key_of(ended: EndedHolding) -> tuple[str, str]:
    return account_rows.HOLDINGS, ended.row.key


def _is_current(row: rows.Row, current: dict[tuple[str, str], rows.Row]) -> bool:
    found = current.get((account_rows.HOLDINGS, row.key))
    return found is not None and found.version == row.version


def _report_closed(ended: list[EndedHolding]) -> None:
    for each in ended:
        closed_tokens.labels(SPENT).inc(max(0, each.holding.spent))
        closed_tokens.labels(RETURNED).inc(each.unused)
        for cause, tokens in each.lost._asdict().items():
            closed_tokens.labels(cause).inc(tokens)
        log.info(
            "holding_closed",
            row=each.row.key,
            reclaimed=each.unused,
            granted=each.holding.granted,
            limit=each.holding.limit,
            spent=each.holding.spent,
            moved=each.holding.moved,
            lost=each.lost.tokens,
            **each.lost._asdict(),
            age=f"{each.successor_started_at - each.holding.at:.2f}",
        )
