"""Gives back what processes that have ended did not use of prepaid budgets.

A new lifetime of a host shows that the earlier ones have ended. For each part of the
account rows one host closes all of their holdings, those of one account together: if
each host closed its own, the hosts of a large fleet that were killed at once would
meet at every account's row.
"""

import asyncio
import itertools
import random
import typing
from collections import abc

import prometheus_client

from dogwoodchute import log
from dogwoodchute.coordination import checkpoints, escrow
from dogwoodchute.gateway import account_rows, hosts, rows

LOOK_INTERVAL = 0.2  # seconds between looks at which hosts are new
SETTLE_TIME = 0.3  # seconds without a further new host, before rows are read
MAX_SETTLE_TIME = 0.9  # seconds from the first new host
MAX_HOLDINGS = 40  # in one commit, with two entries each
MAX_TRIES = 12  # of one commit, which draws may get in the way of
LOOK_AGAIN = (3.0, 8.0)  # seconds after a part was closed, for commits that land late
RETRY_PAUSE = 0.2  # seconds on average, after a call without effect
SPENT = "spent"  # by bills that were written
RETURNED = "returned"  # to the account

closed_tokens = prometheus_client.Counter(
    "dogwoodchute_closed_tokens",
    "Tokens drawn by lifetimes that ended, by what became of them.",
    ["end"],
)


class Ended(typing.NamedTuple):
    """The holding of a lifetime that has ended, and when at the latest."""

    row: rows.Row
    holding: escrow.Holding
    began: float  # seconds of the store's clock: its successor began

    @property
    def unused(self) -> int:
        """Tokens that the lifetime certainly did not use."""
        return escrow.reclaimable(self.holding, began=self.began)

    @property
    def lost(self) -> escrow.Lost:
        """Tokens that stay drawn, though no bill tells of their use."""
        return escrow.lost(self.holding, began=self.began)


class _Part:
    """What this host knows of one part."""

    def __init__(self) -> None:
        self.done: frozenset[str] = frozenset()  # lifetimes whose predecessors closed
        self.seen: frozenset[str] = frozenset()
        self.seen_at = 0.0  # monotonic seconds of the latest new lifetime
        self.first_at: float | None = None  # monotonic seconds of the first not done
        self.again: list[float] = []  # monotonic seconds of further looks


class Reclaimer:
    """Closes the holdings of ended lifetimes in the parts that fall to this host."""

    def __init__(
        self,
        *,
        store: rows.Store,
        registered: abc.Callable[[], dict[str, hosts.Host]],
        is_closer: abc.Callable[[str], bool],
        now: abc.Callable[[], float],
    ) -> None:
        self._store = store
        self._registered = registered  # the newest lifetime by the host's name
        self._is_closer = is_closer
        self._now = now
        self._parts = {part: _Part() for part in account_rows.parts()}

    async def run(self) -> None:
        """Close what falls to this host until cancelled."""
        while True:
            for name, part in self._parts.items():
                try:
                    await self._look(name, part)
                except Exception:
                    log.exception("reclaim_failed", part=name)
            await asyncio.sleep(LOOK_INTERVAL)

    async def _look(self, name: str, part: _Part) -> None:
        newest = self._registered()
        lifetimes = frozenset(host.id for host in newest.values())
        now = self._now()
        is_new = not lifetimes <= part.done
        is_again = bool(part.again) and now >= part.again[0]
        # Ranking all hosts costs more than these looks.
        if not (is_new or is_again) or not self._is_closer(name):
            return
        if is_new and not self._settled(part, lifetimes):
            return
        if not await self.close(name, newest):
            return
        if not is_new:
            del part.again[0]
            return
        part.done = lifetimes
        part.first_at = None
        part.again = [now + pause for pause in LOOK_AGAIN]

    def _settled(self, part: _Part, lifetimes: frozenset[str]) -> bool:
        """Whether no further new lifetime is to be waited for."""
        now = self._now()
        if part.first_at is None:
            part.first_at = now
        if lifetimes != part.seen:
            part.seen, part.seen_at = lifetimes, now
        if now - part.first_at >= MAX_SETTLE_TIME:
            return True
        return now - part.seen_at >= SETTLE_TIME

    async def close(self, part: str, newest: dict[str, hosts.Host]) -> bool:
        """Close the holdings in a part of all lifetimes before `newest`.

        Return whether all are closed.
        """
        found = await self._store.read(account_rows.HOLDINGS, part, None, None)
        if isinstance(found, rows.Unavailable):
            log.warning("reclaim_put_off", part=part, reason=found.reason)
            return False
        by_account: dict[str, list[Ended]] = {}
        for row in found.rows:
            ended = ended_by(row, newest)
            if ended is None:
                _report_left(row, newest)
            else:
                by_account.setdefault(row.key.partition("/")[0], []).append(ended)
        closes = [
            self._close_all(part, account, ended)
            for account, ended in by_account.items()
        ]
        return all(await asyncio.gather(*closes))

    async def _close_all(self, part: str, account: str, ended: list[Ended]) -> bool:
        whole = True
        for batch in batched(ended, MAX_HOLDINGS):
            whole = await self._close(part, account, batch) and whole
        return whole

    async def _close(self, part: str, account: str, ended: list[Ended]) -> bool:
        """Remove holdings of one account, and return what was not used of them."""
        shared: rows.Row | None = None
        for tries in range(MAX_TRIES):
            if shared is None:
                shared = await self._read(part, account)
            if shared is None:
                await asyncio.sleep(RETRY_PAUSE * random.uniform(0.5, 1.5))
                continue
            outcome = await self._commit(part, account, shared, ended)
            if isinstance(outcome, rows.Committed):
                _report(ended)
                return True
            if not isinstance(outcome, rows.Conflict):
                await asyncio.sleep(RETRY_PAUSE * random.uniform(0.5, 1.5))
                continue
            # Holdings that are gone were closed, perhaps by a copy of this commit.
            current = {(row.table, row.key): row for row in outcome.rows}
            ended = [each for each in ended if _is_current(each.row, current)]
            shared = current.get((account_rows.ACCOUNTS, account))
            if not ended:
                return True
            await asyncio.sleep(checkpoints.conflict_pause(tries + 1))
        log.warning("holdings_left", account=account, holdings=len(ended))
        return False

    async def _read(self, part: str, account: str) -> rows.Row | None:
        found = await self._store.read(
            account_rows.ACCOUNTS, part, account, account + "\0"
        )
        if isinstance(found, rows.Unavailable) or not found.rows:
            return None
        return found.rows[0]

    async def _commit(
        self, part: str, account: str, shared: rows.Row, ended: list[Ended]
    ) -> rows.CommitOutcome:
        before = account_rows.shared_of(shared.value)
        lost = [each.lost for each in ended]
        after = escrow.Account(
            drawn=before.drawn - sum(each.unused for each in ended),
            closed_spent=before.closed_spent + sum(e.holding.spent for e in ended),
            lost_reserved=before.lost_reserved + sum(each.reserved for each in lost),
            lost_headroom=before.lost_headroom + sum(each.headroom for each in lost),
            lost_risen=before.lost_risen + sum(each.risen for each in lost),
        )
        checks = [rows.Check(account_rows.ACCOUNTS, account, shared.version)]
        puts = [
            rows.Put(account_rows.ACCOUNTS, account, account_rows.encode(list(after)))
        ]
        for each in ended:
            key = each.row.key
            checks.append(rows.Check(account_rows.HOLDINGS, key, each.row.version))
            puts.append(rows.Put(account_rows.HOLDINGS, key, None))
        return await self._store.commit(part, checks, puts)


def ended_by(row: rows.Row, newest: dict[str, hosts.Host]) -> Ended | None:
    """Return the holding in a row if its holder ended before one of `newest` began.

    What was written before a lifetime registered is of that one or of one that had
    ended; a lifetime that came after it can't have written so early. A commit may land
    after its sender has ended; then the row tells that its sender registered before.
    """
    successor = _other_lifetime(row, newest)
    if successor is None:
        return None
    holding = account_rows.holding_of(row.value)
    came_before = 0 < holding.registered < successor.registered
    if row.version >= successor.registered and not came_before:
        return None
    return Ended(row, holding, successor.began)


def _report_left(row: rows.Row, newest: dict[str, hosts.Host]) -> None:
    """Log a holding that stays, though its lifetime may have ended."""
    newer = _other_lifetime(row, newest)
    if newer is None or account_rows.holding_of(row.value).registered:
        return
    log.warning(
        "holding_left",
        row=row.key,
        version=row.version,
        newest=newer.id,
        registered=newer.registered,
    )


def _other_lifetime(row: rows.Row, newest: dict[str, hosts.Host]) -> hosts.Host | None:
    """Return the newest lifetime of a holder's host, None if it is the holder."""
    holder = row.key.partition("/")[2]
    found = newest.get(holder.rpartition("-")[0])
    return None if found is None or found.id == holder else found


def batched(ended: list[Ended], size: int) -> abc.Iterator[list[Ended]]:
    """Return `ended` in lists of up to `size`."""
    left = iter(ended)
    return iter(lambda: list(itertools.islice(left, size)), [])


def _is_current(row: rows.Row, current: dict[tuple[str, str], rows.Row]) -> bool:
    found = current.get((account_rows.HOLDINGS, row.key))
    return found is not None and found.version == row.version


def _report(ended: list[Ended]) -> None:
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
            age=f"{each.began - each.holding.at:.2f}",
        )
