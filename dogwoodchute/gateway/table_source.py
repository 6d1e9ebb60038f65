"""Where a mirror gets its table: from the store, or from hosts that pass it on."""

import asyncio
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import sources
from dogwoodchute.gateway import mirror, rows, table_copy, tables

SLOW_STORE = 0.8  # seconds beyond its wait, after which a call gets company
COMPANY_INTERVAL = 0.5  # seconds between looks at what sources have got meanwhile
HOLD = 0.9  # seconds that a source holds a call, above its pause between two answers


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
        if found is not None:
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
        if answered:
            self._note_source(None)
        return outcome

    async def _from_store(
        self, since: int | None, known_at: float | None, wait: float
    ) -> mirror.Outcome:
        """Fetch from the store; take what a source has got before, if this is slow."""
        call = asyncio.create_task(self._store(since, known_at, wait))
        timeout = wait + SLOW_STORE
        try:
            while True:
                done, _ = await asyncio.wait([call], timeout=timeout)
                if done:
                    return call.result()
                others = self._chooser.plan(
                    self._peers(), direct=False, now=self._now()
                )
                found = await self._ask_all(others.peers, since, 0.0)
                if found is not None and found.fresh and found.changes.rows:
                    return found
                timeout = COMPANY_INTERVAL
        finally:
            call.cancel()

    def _plan(self) -> sources.Plan:
        return self._chooser.plan(self._peers(), direct=self._direct(), now=self._now())

    async def _fetch_from(
        self, peers: list[sources.Peer], since: int | None
    ) -> mirror.Fetched | None:
        """Return what a source tells that is fresh, or at least new.

        The first source holds the call until it has news. If it fails, all others are
        asked at once, since much time is lost already.
        """
        first = await self._ask_all(peers[:1], since, HOLD)
        if first is not None and first.fresh:
            return first
        second = await self._ask_all(peers[1:], since, 0.0)
        return max((first, second), key=_rank)

    async def _ask_all(
        self, peers: list[sources.Peer], since: int | None, hold: float
    ) -> mirror.Fetched | None:
        """Return the best that these hosts tell, None if nothing is fresh or new."""
        calls = [self._ask_one(peer, since, hold) for peer in peers]
        best = None
        for told in await asyncio.gather(*calls):
            if told is None or not (told.fresh or told.changes.rows):
                continue
            best = max((best, told), key=_rank)
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
    if told is None:
        return False, False, 0
    return True, told.fresh, told.changes.version
