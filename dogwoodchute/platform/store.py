"""The client of the platform's store.

A call is sent to the store directly. When that path fails, calls go through another
host's relay for a while, since the store may refuse some hosts and serve others. Calls
that share a bound of the store form a lane: all reads, or the commits of one partition.
When the store gets too many calls of a lane, only calls of that lane are delayed.
"""

import asyncio
import random
from collections import abc

from dogwoodchute import log
from dogwoodchute.platform import backpressure, transport

CALL_TIMEOUT = 1.2  # seconds; the store's slowest answers take some 0.3 s
# Commits are queued at the store, so a commit may take longer than another call by this
# many times the latency of a read.
COMMIT_EXTRA_LATENCIES = 4
# Seconds. A longer read counts as this long, since it spent the rest on the transfer of
# its bytes.
MAX_READ_LATENCY = 0.5
READ_TIMEOUT = 15.0  # seconds for a whole answer while its bytes keep arriving
PROBE_INTERVAL = 0.5  # seconds between tries of the direct path after it failed
RELAY_PAUSE = 0.3  # seconds without relayed calls after a relay did not reach the store

Relays = abc.Callable[[], list[str]]


class Client:
    """The connections of one process to the store and to other hosts' relays."""

    def __init__(
        self, *, address: str, relays: Relays, now: abc.Callable[[], float]
    ) -> None:
        self._address = address
        self._relays = relays  # control addresses of other hosts, best first
        self._now = now
        self._transport = transport.Transport()
        self._probe_at = 0.0  # monotonic seconds: the direct path is tried again
        self._direct_failed = False
        self._direct_answered_at = 0.0  # monotonic seconds of the last answer
        # Seconds by which the store's clock is ahead of this host's.
        self._store_offset: float | None = None
        self._read_latency = 0.0  # seconds that the last read by the direct path took
        self._relay: str | None = None  # chosen relay, kept while it reaches the store
        self._relay_retry_at = 0.0  # monotonic seconds: relays are tried again
        self._era = 0  # of the store: the latest that an answer named
        self._latest = backpressure.LatestOutcomes()  # of the direct path
        self._lanes: dict[str, backpressure.Lane] = {}

    @property
    def is_store_reachable(self) -> bool:
        """Whether the store answers this host without a relay."""
        return not self._direct_failed

    @property
    def era(self) -> int:
        """The era of the store, as far as is known here."""
        return self._era

    def store_now(self) -> float:
        """Return an estimate of the store's monotonic clock, in seconds.

        Once an answer has arrived, it is never later than the store's clock. Before, it
        is this host's clock.
        """
        return self._now() + (self._store_offset or 0.0)

    def update_clock(self, store_now: float) -> None:
        """Apply the store's clock, as stated by an answer that has just arrived."""
        offset = store_now - self._now()
        if self._store_offset is None or offset > self._store_offset:
            self._store_offset = offset

    async def close(self) -> None:
        """Close all connections."""
        await self._transport.close()

    async def call_for_host(
        self,
        method: str,
        target: str,
        body: bytes,
        *,
        sink: transport.Sink | None = None,
    ) -> transport.CallOutcome:
        """Send another host's call to the store, by the direct path only."""
        call = transport.Call(
            method, target, body, CALL_TIMEOUT, _total_timeout(method)
        )
        return await self._send_directly(call, sink=sink)

    def receiving(self, table: str) -> bool:
        """Return whether bytes of a table's rows are arriving at present."""
        return self._transport.receiving(table)

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        wait: float = 0.0,
        part: str | None = None,
        table: str = "",
    ) -> transport.CallOutcome:
        """Send one call, directly or through a relay, and return its outcome.

        `wait` is the seconds for which the call asks the store to hold it open, and
        `part` the partition that it writes to, None for a read. The answer to a read
        has long to complete while its bytes keep arriving: over a narrow link, a large
        one that is restarted after a short timeout would never complete.
        """
        outcome = await self._call(method, target, body, wait, part, table)
        if not isinstance(outcome, transport.Answer):
            return outcome
        return self._check_era(outcome)

    def _check_era(self, answer: transport.Answer) -> transport.CallOutcome:
        """Return an answer with its era, unless the store has been restored since."""
        if answer.era > self._era:
            if self._era:
                log.warning("store_restored", era=answer.era, before=self._era)
            self._era = answer.era
        if answer.era and answer.era < self._era:
            return transport.NoAnswer("an answer of before a restore", self._address)
        return answer._replace(era=self._era)

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        wait: float,
        part: str | None,
        table: str,
    ) -> transport.CallOutcome:
        read_timeout = CALL_TIMEOUT + wait
        if method != "GET":
            read_timeout = commit_timeout(self._read_latency)
        total_timeout = max(read_timeout, _total_timeout(method))
        call = transport.Call(
            method, target, body, read_timeout, total_timeout, wait, table
        )
        lane = self._lanes.setdefault(backpressure.lane_name(part), backpressure.Lane())
        pause = lane.remaining_pause(self._now())
        if pause:
            await asyncio.sleep(pause)
        outcome: transport.CallOutcome = transport.NotSent(
            "the store failed lately", self._address
        )
        if self._now() >= self._probe_at:
            sent_at = self._now()
            outcome = await self._send_directly(call)
            self._update_lane(lane, outcome, part)
            # A commit on a connection that has gone silent tells nothing of new ones,
            # and isn't sent again here.
            if not transport.is_stale_connection(outcome):
                self._update_direct_path(outcome, sent_at)
        if isinstance(outcome, transport.Answer) and not transport.is_refusal(outcome):
            return outcome
        if isinstance(outcome, transport.NoAnswer) and method != "GET":
            return outcome
        if self._direct_failed:
            short = call._replace(
                read_timeout=CALL_TIMEOUT, total_timeout=_total_timeout(method)
            )
            relayed = await self._call_through_relay(short, outcome)
            if relayed is not outcome and transport.is_too_many_requests(relayed):
                self._pause_lane(lane, part)
            return relayed
        return outcome

    async def _send_directly(
        self, call: transport.Call, *, sink: transport.Sink | None = None
    ) -> transport.CallOutcome:
        """Send a call by the direct path.

        A read whose connection has gone silent is sent again at once, on a newer one:
        such connections are found one by one otherwise, at the cost of a timeout each.
        Until that one answers, the path is taken for lost, as the store may be.
        """
        while True:
            sent_at = self._now()
            outcome = await self._transport.send(self._address, call, sink=sink)
            is_read = call.method == "GET" and not call.wait
            if isinstance(outcome, transport.Answer) and is_read and sink is None:
                self._read_latency = self._now() - sent_at
            if call.method != "GET" or not transport.is_stale_connection(outcome):
                return outcome
            self._update_direct_path(outcome, sent_at)

    async def _call_through_relay(
        self, call: transport.Call, direct_outcome: transport.CallOutcome
    ) -> transport.CallOutcome:
        """Send a call through a relay; return `direct_outcome` if none may be used."""
        relays = self._relays()
        if not relays or self._now() < self._relay_retry_at:
            return direct_outcome
        if self._relay not in relays:
            self._relay = random.choice(relays)
        relay = self._relay
        outcome = await self._transport.send(relay, call)
        if not transport.reached_store(outcome):
            self._relay = random.choice(relays)
            self._relay_retry_at = self._now() + RELAY_PAUSE * random.uniform(0.5, 1.5)
        return outcome

    def _update_lane(
        self, lane: backpressure.Lane, outcome: transport.CallOutcome, part: str | None
    ) -> None:
        """Apply the outcome of a direct call to its lane's pause."""
        if not transport.reached_store(outcome):
            return
        now = self._now()
        if not transport.is_too_many_requests(outcome):
            self._latest = self._latest._replace(answered_at=now)
            lane.end_pause()
            return
        self._latest = backpressure.add_refusal(self._latest, part=part, now=now)
        # Calls go through a relay now, which needs no pause.
        if backpressure.is_path_refused(self._latest):
            lane.end_pause()
            return
        self._pause_lane(lane, part)

    def _pause_lane(self, lane: backpressure.Lane, part: str | None) -> None:
        pause = lane.extend_pause(self._now())
        name = backpressure.lane_name(part)
        log.warning("store_lane_overloaded", lane=name, pause=f"{pause:.2f}")

    def _update_direct_path(
        self, outcome: transport.CallOutcome, sent_at: float
    ) -> None:
        """Record whether the direct path works, by a call that was sent at `sent_at`.

        If that was before the path's last answer, a failure of the call says nothing of
        the path's present state and is ignored.
        """
        failed = not isinstance(outcome, transport.Answer) or transport.is_refusal(
            outcome
        )
        if transport.is_too_many_requests(outcome) and not backpressure.is_path_refused(
            self._latest
        ):
            return
        if failed and sent_at < self._direct_answered_at:
            return
        if not failed:
            self._direct_answered_at = self._probe_at = self._now()
        if failed:
            self._probe_at = self._now() + PROBE_INTERVAL * random.uniform(0.8, 1.2)
        if failed and not self._direct_failed:
            log.warning(
                "store_lost",
                peer=self._address,
                reason=transport.failure_reason(outcome),
            )
        if not failed and self._direct_failed:
            log.info("store_regained", peer=self._address)
        self._direct_failed = failed


def commit_timeout(latency: float) -> float:
    """Return the seconds to wait for a commit while a read takes `latency` seconds."""
    return CALL_TIMEOUT + COMMIT_EXTRA_LATENCIES * min(latency, MAX_READ_LATENCY)


def _total_timeout(method: str) -> float:
    """Return the seconds in which the whole answer to a call must have arrived."""
    return READ_TIMEOUT if method == "GET" else CALL_TIMEOUT
