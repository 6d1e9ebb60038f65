"""Puts accepted releases in force on this host, and never goes back to an older one."""

import asyncio
from collections import abc

import prometheus_client

from dogwoodchute import catalog, controller, log, state
from dogwoodchute.controllers import release_peers, release_store, release_submit
from dogwoodchute.coordination import pacing, releases

TICK_INTERVAL = 0.2  # seconds between checks of the peers' hints
MIN_POLL_GAP = 0.5  # seconds
JITTER = 0.1  # share of the poll interval
START_STORE_TIMEOUT = 3.0  # seconds without the store before a starting host asks peers

REVISION = prometheus_client.Gauge(
    "dogwoodchute_release_revision", "Revision that is in force on this host"
)
AGE = prometheus_client.Gauge(
    "dogwoodchute_release_age_seconds", "Seconds since the newest revision was read"
)
FAILURES = prometheus_client.Counter(
    "dogwoodchute_release_poll_failures", "Polls that could not reach the store"
)
DIVERGED = prometheus_client.Counter(
    "dogwoodchute_release_diverged", "Histories that did not fit the one in force"
)


class Releases:
    """Keeps the release state of this host up to date, and submits notes."""

    def __init__(
        self, *, host: state.HostState, sleep: abc.Callable = asyncio.sleep
    ) -> None:
        self._host = host
        self._exchange = release_peers.ReleaseExchange(host=host)
        self._submitter = release_submit.Submitter(
            host=host, adopt=self.adopt, sleep=sleep
        )
        self._next_poll = host.now()
        self._last_poll = host.now() - MIN_POLL_GAP
        self._failing_since: float | None = None  # monotonic seconds
        self._snapshot: asyncio.Task | None = None
        self._snapshot_revision = 0
        self.failure = ""  # why the newest revision is not known, empty if it is

    async def submit(self, text: str) -> release_submit.Verdict:
        """Check a note against the newest state and submit it to the store."""
        verdict = await self._submitter.submit(text)
        if isinstance(verdict, release_submit.Accepted):
            self._snapshot_if_due()
        return verdict

    def adopt(self, newer: catalog.Catalog, deltas: list[releases.Delta]) -> bool:
        """Put `newer` in force if its revision is higher; return whether it was.

        `deltas` are the last ones that led to it, which peers may request.
        """
        before = self._host.current
        if not self._host.adopt(newer):
            return False
        if len(deltas) == newer.revision - before.revision:
            self._exchange.record_deltas(before.digest, deltas)
        self._host.peers.set_hint("revision", newer.revision)
        REVISION.set(newer.revision)
        log.info("release_in_force", revision=newer.revision, changes=len(deltas))
        return True

    async def tick(self) -> None:
        """Poll if the interval is over or a peer reports a higher revision."""
        now = self._host.now()
        AGE.set(self._host.release_age)
        newest = self._exchange.newest_peer()
        is_behind_peer = (
            newest is not None
            and release_peers.revision_of(newest) > self._host.current.revision
        )
        is_behind_peer = is_behind_peer and now - self._last_poll >= MIN_POLL_GAP
        if now < self._next_poll and not is_behind_peer:
            return
        await self.poll()

    async def poll(self) -> None:
        """Read the newest revision and put it in force; ask peers if that fails."""
        started_at = self._host.now()
        before = self._host.current
        self._last_poll = started_at
        self._next_poll = started_at + self._poll_interval()
        head = await release_store.read_head(self._host.store)
        if not isinstance(head, release_store.ReadFailure):
            failure = await self._advance_to(head, before, started_at)
        else:
            failure = head
        if failure is None:
            self._failing_since = None
            self._set_failure("")
            return
        FAILURES.inc()
        if self._failing_since is None:
            self._failing_since = started_at
        self._set_failure(failure.reason)
        log.warning("release_poll_failed", reason=failure.reason, peer=failure.peer)
        await self._ask_peers()

    def controller(self) -> controller.Controller:
        """Return the controller that keeps this host up to date."""
        return controller.periodic("releases", self.tick, interval=TICK_INTERVAL)

    def _poll_interval(self) -> float:
        # The host list names endpoints too, so it can't give the number of hosts.
        interval = pacing.shared_interval(
            1 + len(self._host.peers.known()),
            fleet_rate=releases.FLEET_READS,
            shortest=self._host.config.release.poll_interval,
        )
        return interval * self._host.rng.uniform(1 - JITTER, 1 + JITTER)

    async def _advance_to(
        self, head: release_store.Head, before: catalog.Catalog, started_at: float
    ) -> release_store.ReadFailure | None:
        """Put `head` in force; `before` is what was in force before it was read."""
        if head.revision < before.revision:
            return self._diverged(f"the store is at revision {head.revision}")
        if head.revision == before.revision and head.digest != before.digest:
            return self._diverged("the store has another history")
        if head.revision > self._host.current.revision:
            found = await release_store.advance(self._host, head)
            if isinstance(found, release_store.ReadFailure):
                return found
            self.adopt(*found)
        self._confirm(started_at)
        return None

    def _diverged(self, reason: str) -> release_store.ReadFailure:
        DIVERGED.inc()
        log.error(
            "release_diverged", revision=self._host.current.revision, reason=reason
        )
        return release_store.ReadFailure(reason=reason)

    def _confirm(self, checked_at: float) -> None:
        """Record that the catalog in force was the newest at `checked_at`."""
        last = self._host.release_checked_at
        self._host.release_checked_at = (
            checked_at if last is None else max(checked_at, last)
        )
        self._host.ready = True
        self._host.peers.set_hint("revision", self._host.current.revision)

    async def _ask_peers(self) -> None:
        waited = self._host.now() - self._failing_since
        newest = self._exchange.newest_peer()
        if newest is None or (not self._host.ready and waited < START_STORE_TIMEOUT):
            return
        if release_peers.revision_of(newest) < self._host.current.revision:
            return
        started_at = self._host.now()
        found = await self._exchange.fetch(newest.host)
        if isinstance(found, release_store.ReadFailure):
            log.warning("release_fetch_failed", reason=found.reason, peer=found.peer)
            return
        newer, deltas, age = found
        self.adopt(newer, deltas)
        if self._host.current.digest == newer.digest:
            self._confirm(started_at - age)

    def _set_failure(self, reason: str) -> None:
        if reason == self.failure:
            return
        self.failure = reason
        self._host.peers.set_hint("release_failure", reason)

    def _snapshot_if_due(self) -> None:
        current = self._host.current
        since = current.revision - self._snapshot_revision
        if since < release_store.SNAPSHOT_EVERY:
            return
        if self._snapshot is None or self._snapshot.done():
            self._snapshot = asyncio.create_task(self._write_snapshot(current))

    async def _write_snapshot(self, current: catalog.Catalog) -> None:
        revision = await release_store.write_snapshot(self._host, current)
        self._snapshot_revision = max(revision, self._snapshot_revision)
        log.info("release_snapshot", revision=revision)
