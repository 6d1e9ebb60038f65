"""Fetches a table from the store, or from other hosts that follow the store."""

import asyncio
import dataclasses
import math
import random
import typing
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import sources
from dogwoodchute.gateway import host_rows, model, rows
from dogwoodchute.gateway.following import (
    mirror,
    source_calls,
    table_copy,
    table_outage,
    tables,
)

# Seconds that a held call of the store and the way of its answer may take. Until the
# next answer a copy gets as old as two calls are long, and must still be fresh then.
MAX_CALL = sources.MAX_AGE / 2 - 0.1
# Seconds beyond the wait of a call of the store, after which other hosts are asked in
# parallel, and seconds between such rounds.
SLOW_STORE = 0.8
PARALLEL_INTERVAL = 0.5
ANYONE_INTERVAL = 1.0  # seconds between calls of hosts that are no sources
# Hosts asked at a time. Some of them follow hosts as old as this one and answer with
# tables that are recent but lack the newest change.
ANYONE_COUNT = 2 * sources.SOURCES_PER_REGION
HOLD = 0.9  # seconds for which a source may hold a call until it has changes
MIN_HOLD = 0.25  # seconds; bounds the calls of hosts whose tables are nearly old
SLOW_SOURCE = 0.5  # seconds beyond that, after which the other sources are asked too


def from_store(
    *,
    store: rows.Store,
    table: str,
    now: abc.Callable[[], float],
    parts: abc.Collection[str] = ("",),
) -> mirror.Fetch:
    """Return a function that reads a table from the store, then follows its feed.

    Only rows in the partitions `parts` count; others are of other writers.
    """

    async def read() -> mirror.Outcome:
        asked_at = now()
        reads = [store.read(table, part, None, None) for part in parts]
        found: list[rows.Row] = []
        versions: list[int] = []
        for outcome in await asyncio.gather(*reads):
            if isinstance(outcome, rows.Unavailable):
                return outcome
            found.extend(outcome.rows)
            versions.append(outcome.version)
        # Changes after the oldest of these reads come again with the feed.
        changes = table_copy.Changes(found, min(versions), is_snapshot=True)
        return mirror.Fetched(changes=changes, read_at=asked_at)

    async def fetch(
        since: int | None, current_at: float | None, wait: float
    ) -> mirror.Outcome:
        if since is None:
            return await read()
        asked_at = now()
        outcome = await store.feed(table, since, wait)
        if isinstance(outcome, rows.Compacted):
            log.info("history_lost", table=table, version=since)
            return await read()
        if isinstance(outcome, rows.Unavailable):
            return outcome
        changed = [row for row in outcome.rows if row.part in parts]
        changes = table_copy.Changes(changed, outcome.version, is_snapshot=False)
        return mirror.Fetched(changes=changes, read_at=asked_at)

    return fetch


def ready_peers(
    *,
    deployment: model.Deployment,
    live: abc.Callable[[], tuple[host_rows.Host, ...]],
    ready: abc.Callable[[], bool],
) -> abc.Callable[[], list[sources.Peer]]:
    """Return a function that returns the ready hosts, this one included if `ready()`.

    It returns the same list until that changes, as each call about a table asks. `live`
    returns the other live hosts, and the same tuple until one changes.
    """
    known: tuple[tuple[host_rows.Host, ...] | None, bool] = (None, False)
    peers: list[sources.Peer] = []

    def find() -> list[sources.Peer]:
        nonlocal known, peers
        hosts, is_ready = live(), ready()
        if hosts is known[0] and is_ready == known[1]:
            return peers
        known = hosts, is_ready
        peers = [
            sources.Peer(host.name, host.region, host.control, host.link_mbps)
            for host in hosts
            if host.state == host_rows.READY
        ]
        if is_ready:
            own = deployment
            peers.append(sources.Peer(own.host, own.region, own.control, own.link_mbps))
        return peers

    return find


class _StoreCall(typing.NamedTuple):
    """A call of the store under way; times are in seconds."""

    task: asyncio.Task
    sent_at: float  # monotonic
    wait: float  # for which the call asks the store to hold it open


class Follower:
    """Fetches a table from other hosts as `chooser` plans it, or from the store.

    `peers` returns the ready hosts, this one included; `is_store_reachable` returns
    whether the store answers this host directly; `store` fetches from the store.
    `anyone` returns the control addresses of all other hosts, also of those that start
    or leave.
    """

    def __init__(
        self,
        *,
        chooser: sources.Sources,
        peers: abc.Callable[[], list[sources.Peer]],
        is_store_reachable: abc.Callable[[], bool],
        ask: tables.Ask,
        table: str,
        store: mirror.Fetch,
        anyone: abc.Callable[[], list[str]],
        now: abc.Callable[[], float],
    ) -> None:
        self._chooser = chooser
        self._peers = peers
        self._anyone = anyone
        self._is_store_reachable = is_store_reachable
        self._ask = ask
        self._table = table
        self._store = store
        self._now = now
        self._calls = source_calls.SourceCalls(
            chooser=chooser, ask=ask, table=table, now=now
        )
        self._source: str | None = None  # the host that answered last, None: the store
        self._is_source_receiving = False  # whether the last answer told so
        self._kept: _StoreCall | None = None  # goes on beyond the fetch that sent it
        self._asked_anyone_at = -math.inf  # monotonic seconds
        self._has_store_failed = False  # since its last answer to this host
        # Seconds of the store's last answer without changes, beyond the call's wait.
        self._store_latency = 0.0

    async def fetch(
        self, since: int | None, current_at: float | None, wait: float
    ) -> mirror.Outcome:
        """Fetch what changed after `since`; see `mirror.Fetch`."""
        self._chooser.record_contact(
            reachable=self._is_store_reachable(), now=self._now()
        )
        hold = HOLD if self._is_source_receiving else _hold(self._age(current_at))
        self._is_source_receiving = False
        answer = await self._fetch_from(self._plan().peers, since, hold)
        # A host with an older copy takes changes from an old one. A host without a copy
        # does not start from an old one.
        if answer is not None and (answer.is_fresh or since is not None):
            self._drop_kept()
            return self._accepted(answer)
        plan = self._plan()  # again, as failed sources change the plan
        pause = self._chooser.store_pause(
            self._age(current_at), group=plan.group, now=self._now()
        )
        if pause:
            return mirror.Postponed(seconds=pause)
        above = await self._from_ancestors(plan.ancestors, since)
        if above is not None:
            return self._accepted(above)
        if plan.group and not self._chooser.follows_store:
            wait = 0.0  # others below this host have old tables too
        outcome = await self._from_store(
            since, current_at, max(0.0, min(wait, MAX_CALL - self._store_latency))
        )
        if isinstance(outcome, mirror.Fetched) and outcome.peer is not None:
            return self._accepted(outcome)
        answered = not isinstance(outcome, rows.Unavailable)
        self._chooser.record_store_result(
            answered=answered, group=plan.group, now=self._now()
        )
        if not answered:
            self._has_store_failed = True
            found = await self._from_anyone(since, current_at)
            if found is not None:
                return self._accepted(found)
            return outcome if answer is None else answer
        if self._has_store_failed:
            self._has_store_failed = False
            outcome = await self._with_outage(outcome, current_at)
        self._log_source(None)
        return outcome

    async def _with_outage(
        self, outcome: mirror.Fetched, current_at: float | None
    ) -> mirror.Fetched:
        """Return an answer of the store with the time of its return, if it was away.

        This host had no recent table since `current_at`.
        """
        if outcome.read_at - (current_at or 0.0) < mirror.MIN_OUTAGE:
            return outcome
        nearest = self._chooser.nearest(self._peers())
        returned_at = await table_outage.store_returned_at(
            self._ask,
            [peer.address for peer in nearest],
            table=self._table,
            version=outcome.changes.version,
            current_at=current_at or 0.0,
            now=self._now,
        )
        return dataclasses.replace(outcome, store_returned_at=returned_at)

    def _age(self, current_at: float | None) -> float | None:
        """Return the age in seconds of a copy that was current then."""
        return None if current_at is None else self._now() - current_at

    async def _from_ancestors(
        self, ancestors: abc.Sequence[sources.Peer], since: int | None
    ) -> mirror.Fetched | None:
        """Return a recent answer of hosts whose turn to ask the store came before.

        Returns None for a host without a copy, which starts from the store.
        """
        if not ancestors or since is None:
            return None
        call = asyncio.create_task(self._calls.ask_all(ancestors, since, 0.0))
        try:
            await asyncio.wait([call], timeout=SLOW_SOURCE)
            answer = call.result() if call.done() else None
        finally:
            call.cancel()
        return answer if answer is not None and answer.is_fresh else None

    async def _from_store(
        self, since: int | None, current_at: float | None, wait: float
    ) -> mirror.Outcome:
        """Fetch from the store, and in parallel from other hosts if that is slow.

        Returns the answer of another host if it is recent. If it has no changes, the
        call of the store goes on, and the next fetch waits for it.
        """
        call, self._kept = self._kept, None
        timeout = PARALLEL_INTERVAL
        if call is None:
            task = asyncio.create_task(self._store(since, current_at, wait))
            call = _StoreCall(task, self._now(), wait)
            timeout = wait + SLOW_STORE
        parallel: asyncio.Task | None = None
        try:
            while True:
                running = {call.task} if parallel is None else {call.task, parallel}
                await asyncio.wait(
                    running, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
                )
                if call.task.done():
                    latency = self._now() - call.sent_at - call.wait
                    self._record_latency(call.task.result(), latency)
                    return call.task.result()
                if parallel is not None and parallel.done():
                    answer, parallel = parallel.result(), None
                    if answer is not None and answer.is_fresh:
                        if not answer.changes.rows:
                            self._kept = call
                        return answer
                    timeout = PARALLEL_INTERVAL
                    continue
                if parallel is None:
                    parallel = asyncio.create_task(self._ask_others(since))
                timeout = None
        finally:
            if self._kept is not call:
                call.task.cancel()
            if parallel is not None:
                parallel.cancel()

    async def _from_anyone(
        self, since: int | None, current_at: float | None
    ) -> mirror.Fetched | None:
        """Return a recent answer of some hosts, once this one's copy is old.

        All hosts that were known to have the tables may have left since then, and
        others may have started at their addresses.
        """
        age = self._age(current_at)
        if age is not None and sources.is_fresh(age):
            return None
        if self._now() - self._asked_anyone_at < ANYONE_INTERVAL:
            return None
        self._asked_anyone_at = self._now()
        addresses = self._anyone()
        some = random.sample(addresses, min(len(addresses), ANYONE_COUNT))
        return await self._calls.ask_unranked(some, since)

    def _drop_kept(self) -> None:
        """Cancel a call of the store that was to go on."""
        if self._kept is not None:
            self._kept.task.cancel()
        self._kept = None

    def _record_latency(self, outcome: mirror.Outcome, latency: float) -> None:
        """Note how long the store's answer was on its way if it had no changes."""
        if isinstance(outcome, mirror.Fetched) and not outcome.changes.rows:
            self._store_latency = max(0.0, latency)

    async def _ask_others(self, since: int | None) -> mirror.Fetched | None:
        others = self._chooser.plan(
            self._peers(), store_reachable=False, now=self._now()
        )
        return await self._calls.ask_all(others.peers, since, 0.0)

    def _plan(self) -> sources.Plan:
        return self._chooser.plan(
            self._peers(), store_reachable=self._is_store_reachable(), now=self._now()
        )

    async def _fetch_from(
        self, peers: list[sources.Peer], since: int | None, hold: float
    ) -> mirror.Fetched | None:
        """Return a recent answer of these sources, or else one with new rows.

        The first source holds the call until it has changes, `hold` seconds at most. If
        it fails or is slow, all others are asked at the same time, since much time is
        lost already.
        """
        first = asyncio.create_task(self._calls.ask_all(peers[:1], since, hold))
        try:
            await asyncio.wait([first], timeout=hold + SLOW_SOURCE)
            if first.done() and source_calls.is_recent(first.result()):
                return first.result()
            second = await self._calls.ask_all(peers[1:], since, 0.0)
            return max(
                (first.result() if first.done() else None, second),
                key=source_calls.rank,
            )
        finally:
            first.cancel()

    def _accepted(self, answer: mirror.Fetched) -> mirror.Fetched:
        """Record that another host's answer is used, and return it."""
        self._is_source_receiving = answer.receiving
        if answer.is_fresh:
            self._chooser.record_fresh_peer()
        self._log_source(answer.peer)
        return answer

    def _log_source(self, name: str | None) -> None:
        if name != self._source:
            log.info("table_source", table=self._table, peer=name, before=self._source)
        self._source = name


def _hold(age: float | None) -> float:
    """Return the seconds for which a source may hold the call of a host.

    `age` is that of the host's own tables in seconds, None if it has none. If they are
    old it is to learn at once whether the source's are, as others may follow it.
    """
    fresh = sources.seconds_fresh(age or 0.0)
    return min(HOLD, max(MIN_HOLD, fresh)) if fresh > 0 else 0.0
