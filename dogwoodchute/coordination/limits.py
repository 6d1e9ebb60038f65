"""An adaptive limit on the requests at one endpoint, shared without coordination.

The limit counts the requests of all hosts at the endpoint. It grows additively while
latency targets are met and shrinks in proportion to how far they are missed, after the
gradient of Netflix's concurrency-limits (2018), itself after TCP Vegas (Brakmo and
Peterson, 1995). When a load report shows fewer requests than the limit, each host uses
only its own share of the free slots until the next report, so that many hosts with the
same report do not exceed the limit together.
"""

import collections
import math
import typing

SHRINK_INTERVAL = 2.0  # seconds between decreases; one takes that long to show effect
GROW_INTERVAL = 1.0  # seconds between increases
INCREASE = 1.0  # requests
MAX_DECREASE = 0.7  # lowest factor of one decrease
QUEUE_DECREASE = 0.9  # factor of a decrease if first tokens are late
MARGIN = 0.97  # share of the token gap target that the limit aims at
HEADROOM = 1.5  # upper bound of the limit, as a multiple of the reported capacity
REPORT_LIFETIME = 5.0  # seconds
REPORT_LAG = 0.5  # seconds that a report is assumed to be old on arrival


class Targets(typing.NamedTuple):
    """Latency targets of an endpoint, in seconds."""

    first_token: float = 0.6  # from dispatch, less the prompt's own processing time
    token_gap: float = 0.026


class Load(typing.NamedTuple):
    """An endpoint's load report, in requests."""

    running: int
    waiting: int
    capacity: int
    leaving: bool
    at: float  # monotonic seconds of this host at which the report arrived


class Limit:
    """The limit of one endpoint, this host's requests in flight, and its free slots."""

    def __init__(self, *, capacity: int, targets: Targets) -> None:
        self.own = 0  # this host's requests in flight
        self.report: Load | None = None
        self._targets = targets
        self._capacity = max(1, capacity)
        self._value = float(self._capacity)
        # Time of each change of `own` and the value before it, oldest first.
        self._history: collections.deque[tuple[float, int]] = collections.deque()
        self._own_at_report = 0  # `own` when the endpoint made the report
        self._slots = 0  # requests that this host may add to `_own_at_report`
        self._grown_at = -math.inf
        self._shrunk_at = -math.inf
        self._saturated = False  # the limit was reached since it last grew

    @property
    def value(self) -> int:
        """The most requests of all hosts that the endpoint should have."""
        return max(1, int(self._value))

    def estimate(self, now: float, hosts: int) -> float:
        """Return an estimate of the requests of all hosts at the endpoint.

        It is a weighted mean of the last report, updated by this host's changes since,
        and of this host's requests times the number of hosts. The weight of the report
        falls with its age.
        """
        extrapolated = float(self.own * hosts)
        if self.report is None:
            return extrapolated
        age = max(0.0, now - self.report.at)
        weight = max(0.0, 1.0 - age / REPORT_LIFETIME)
        reported = self.report.running + self.report.waiting
        updated = max(0, reported + self.own - self._own_at_report)
        return max(self.own, weight * updated + (1.0 - weight) * extrapolated)

    def has_room(self, now: float, hosts: int) -> bool:
        """Return whether this host may send one more request."""
        if self.own >= self.value:
            return False
        if self.report is None or now - self.report.at > REPORT_LIFETIME:
            return self.own < max(1, self.value // hosts)
        return self.own - self._own_at_report < self._slots

    def acquire(self, now: float) -> None:
        """Count a request that this host sends to the endpoint."""
        self._record_change(now)
        self.own += 1

    def release(self, now: float) -> None:
        """Count the end of a request of this host.

        Raises `ValueError` if none is in flight.
        """
        if self.own == 0:
            raise ValueError("release without acquire")
        self._record_change(now)
        self.own -= 1

    def update_report(self, report: Load, *, hosts: int, draw: float) -> None:
        """Adopt a load report, unless it is older than the last one.

        `draw` is a random number, uniform in [0, 1), by which this host's share of the
        free slots is rounded up or down, so that the shares of many hosts add up to the
        free slots.
        """
        if self.report is not None and report.at < self.report.at:
            return
        self.report = report
        self._own_at_report = self._own_at(report.at - REPORT_LAG)
        if report.capacity > 0 and report.capacity != self._capacity:
            self._value *= report.capacity / self._capacity
            self._capacity = report.capacity
        total = report.running + report.waiting
        share = self._own_at_report / max(1, total)
        share = max(1.0 / max(1, hosts), min(1.0, share))
        # Negative if the endpoint is above the limit: then requests that end must not
        # be replaced by new ones.
        free = self.value - total
        self._slots = math.floor(free * share + draw)
        self._saturated = self._saturated or total >= self.value

    def observe(
        self, now: float, *, first_token: float | None, token_gap: float | None
    ) -> None:
        """Adapt the limit to the mean latencies of a short interval.

        Both are in seconds, None without a sample. `first_token` is the time from
        dispatch, less the prompt's own processing time.
        """
        late = first_token is not None and first_token > self._targets.first_token
        factor = QUEUE_DECREASE if late else 1.0
        if token_gap is not None and token_gap > self._targets.token_gap:
            factor = min(factor, MARGIN * self._targets.token_gap / token_gap)
        if factor < 1.0:
            self._shrink(now, factor)
            return
        at_margin = (
            token_gap is not None and token_gap > MARGIN * self._targets.token_gap
        )
        if self.own >= self.value or not self.has_room(now, 1):
            self._saturated = True
        if at_margin or not self._saturated or now - self._grown_at < GROW_INTERVAL:
            return
        self._value = min(self._capacity * HEADROOM, self._value + INCREASE)
        self._grown_at = now
        self._saturated = False

    def _shrink(self, now: float, factor: float) -> None:
        if now - self._shrunk_at < SHRINK_INTERVAL:
            return
        concurrency = self._value
        if self.report is not None and now - self.report.at <= REPORT_LIFETIME:
            # The targets were missed with the requests that really are at the endpoint,
            # which may be more or fewer than the limit.
            concurrency = max(self.own, self.report.running + self.report.waiting)
        wanted = max(concurrency * factor, self._value * MAX_DECREASE)
        self._value = max(1.0, min(self._value, wanted))
        self._shrunk_at = now

    def _record_change(self, now: float) -> None:
        self._history.append((now, self.own))
        while self._history[0][0] < now - 2 * REPORT_LAG:
            self._history.popleft()

    def _own_at(self, time: float) -> int:
        """Return how many requests this host had in flight at `time`."""
        for changed, before in self._history:
            if changed > time:
                return before
        return self.own
