"""Where a mirror gets its table: from the store, or from hosts that pass it on."""

import asyncio
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import sources
from dogwoodchute.gateway import mirror, rows, table_copy, tables

SLOW_STORE = 0.8  # seconds beyond its wait, after which a call gets company
COMPANY_INTERVAL = 0.5  # seconds between looks at what sources have got meanwhile
HOLD = 0.9  # seconds that a source holds a call
SLOW_SOURCE = 0.5  # seconds beyond that, after which the other sources are asked too
LONGEST_ANSWER = 1.0  # seconds beyond a hold that any source is waited for
FRESH = (True, True, 0)  # the least rank of a fresh answer


def from_store(
    *, store: rows.Store, table: str, now: abc.Callable[[], float]
) -> mirror.Fetch:
    """Return what reads a table from the store, and then its feed."""

    async def read() -> mirror.Outcome:
        began = now()
        outcome = await store.read(table, "", None, None)
        if isinstance(outcome, rows.Unavailable):
            return outcome
        changes = table_copy.Changes(outcome.rows, outcome.version, whole=True)
        return mirror.Fetched(changes=changes, read_at=began)

    async def fetch(
        since: int | None, known_at: float | None, wait: float
    ) -> mirror.Outcome:
        if since is None:
            return await read()
        began = now()
        outcome = await store.feed(table, since, wait)
        if isinstance(outcome, rows.Compacted):
            log.info("history_lost", table=table, version=since)
            return await read()
        if isinstance(outcome, rows.Unavailable):
            return outcome
        changes = table_copy.Changes(outcome.rows, outcome.version, whole=False)
        return mirror.Fetched(changes=changes, read_at=began)

    return fetch


class Follower:
    """Gets a table from other hosts where that is wise, else from the store.

    `peers` are the ready hosts with this one; `direct` tells whether the store answers
    this host; `store` fetches from the store.
    """

    def __init__(
        self,
        *,
        chooser: sources.Sources,
        peers: abc.Callable[[], list[sources.Peer]],
        direct: abc.Callable[[], bool],
        ask: tables.Ask,
        table: str,
        store: mirror.Fetch,
        now: abc.Callable[[], float],
    ) -> None:
        self._chooser = chooser
        self._peers = peers
        self._direct = direct
        self._ask = ask
        self._table = table
        self._store = store
        self._now = now
        self._source: str | None = None  # the host that told the table last
        self._stale: set[str] = set()  # hosts whose last answer was not fresh

    async def fetch(
        self, since: int | None, known_at: float | None, wait: float
    ) -> mirror.Outcome:
        """Fetch what changed after `since`; see `mirror.Fetch`."""
        found = await self._fetch_from(self._plan().peers, since)
        # An old copy is news to a host with an older one, and no start for one without.
        if found is not None and (found.fresh or since is not None):
            self._note_source(found.peer)
            return found
        group = self._plan().group  # which failed sources may have changed
        age = None if known_at is None else self._now() - known_at
        if not self._chooser.store_due(age, group=group, now=self._now()):
            return mirror.Postponed()
        outcome = await self._from_store(since, known_at, wait)
        if isinstance(outcome, mirror.Fetched) and outcome.peer is not None:
            self._note_source(outcome.peer)
            return outcome
        answered = not isinstance(outcome, rows.Unavailable)
        self._chooser.note_store(answered=answered, group=group, now=self._now())
        if not answered and found is not None:
            return found
        if answered:
            self._note_source(None)
        return outcome

    async def _from_store(
        self, since: int | None, known_at: float | None, wait: float
    ) -> mirror.Outcome:
        """Fetch from the store; take what a source has got before, if this is slow."""
        call = asyncio.create_task(self._store(since, known_at, wait))
        company: asyncio.Task | None = None
        timeout = wait + SLOW_STORE
        try:
            while True:
                running = {call} if company is None else {call, company}
                await asyncio.wait(
                    running, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
                )
                if call.done():
                    return call.result()
                if company is not None and company.done():
                    found, company = company.result(), None
                    if found is not None and found.fresh and found.changes.rows:
                        return found
                    timeout = COMPANY_INTERVAL
                    continue
                if company is None:
                    company = asyncio.create_task(self._ask_others(since))
                timeout = None
        finally:
            call.cancel()
            if company is not None:
                company.cancel()

    async def _ask_others(self, since: int | None) -> mirror.Fetched | None:
        others = self._chooser.plan(self._peers(), direct=False, now=self._now())
        return await self._ask_all(others.peers, since, 0.0)

    def _plan(self) -> sources.Plan:
        return self._chooser.plan(self._peers(), direct=self._direct(), now=self._now())

    async def _fetch_from(
        self, peers: list[sources.Peer], since: int | None
    ) -> mirror.Fetched | None:
        """Return what a source tells that is fresh, or at least new.

        The first source holds the call until it has news. If it fails or is slow, all
        others are asked at once, since much time is lost already.
        """
        first = asyncio.create_task(self._ask_all(peers[:1], since, HOLD))
        try:
            await asyncio.wait([first], timeout=HOLD + SLOW_SOURCE)
            if first.done() and _rank(first.result()) >= FRESH:
                return first.result()
            second = await self._ask_all(peers[1:], since, 0.0)
            return max((first.result() if first.done() else None, second), key=_rank)
        finally:
            first.cancel()

    async def _ask_all(
        self, peers: list[sources.Peer], since: int | None, hold: float
    ) -> mirror.Fetched | None:
        """Return the first fresh answer of these hosts, else the best one.

        None stands for nothing that is fresh or new. Hosts that take longer than
        `hold` and `LONGEST_ANSWER` are not waited for.
        """
        calls = [
            asyncio.create_task(self._ask_one(peer, since, hold)) for peer in peers
        ]
        best = None
        try:
            async with asyncio.timeout(hold + LONGEST_ANSWER):
                for call in asyncio.as_completed(calls):
                    best = max((best, await call), key=_rank)
                    if _rank(best) >= FRESH:
                        return best
        except TimeoutError:
            log.warning("sources_slow", table=self._table, asked=len(calls))
        finally:
            for call in calls:
                call.cancel()
        return best

    async def _ask_one(
        self, peer: sources.Peer, since: int | None, hold: float
    ) -> mirror.Fetched | None:
        answer = await self._ask(peer.address, self._table, since, hold)
        if isinstance(answer, tables.NoAnswer):
            self._chooser.note_peer(peer.name, answered=False, now=self._now())
            log.warning(
                "source_failed", table=self._table, peer=peer.name, reason=answer.reason
            )
            return None
        told = mirror.Fetched(
            changes=answer.changes,
            read_at=self._now() - answer.age,
            regained_at=self._now() - answer.regained,
            fresh=sources.fresh(answer.age, receiving=answer.receiving),
            peer=peer.name,
        )
        if told.fresh:
            self._stale.discard(peer.name)
            return told
        self._chooser.note_peer(peer.name, answered=True, now=self._now())
        if peer.name not in self._stale:
            self._stale.add(peer.name)
            age = round(answer.age, 3)
            log.info("source_stale", table=self._table, peer=peer.name, age=age)
        return told

    def _note_source(self, name: str | None) -> None:
        if name != self._source:
            log.info("table_source", table=self._table, peer=name, before=self._source)
        self._source = name


def _rank(told: mirror.Fetched | None) -> tuple[bool, bool, int]:
    """Return what orders answers: whether they tell anything, are fresh, how new."""
    if told is None or not (told.fresh or told.changes.rows):
        return False, False, 0
    return True, told.fresh, told.changes.version
