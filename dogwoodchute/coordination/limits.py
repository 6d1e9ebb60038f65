"""An adaptive limit on the requests at one endpoint, shared without coordination.

The limit stands for the whole endpoint. It grows additively while the targets are kept
and shrinks in proportion to how far they are missed, after the gradient of Netflix's
concurrency-limits (2018), itself after TCP Vegas (Brakmo and Peterson, 1995). Of the
room that a load report shows below the limit, each host fills only its own share until
the next report, so that many hosts that see the same report do not overfill it.
"""

import collections
import math
import typing

SHRINK_INTERVAL = 2.0  # seconds, in which a smaller limit takes effect
GROW_INTERVAL = 1.0  # seconds
INCREASE = 1.0  # requests
MAX_DECREASE = 0.7  # the factor of one decrease at most
QUEUE_DECREASE = 0.9  # the factor when first tokens are late
MARGIN = 0.97  # of the targets, that is aimed at
HEADROOM = 1.5  # the limit's ceiling, as a multiple of the reported capacity
REPORT_LIFETIME = 5.0  # seconds
REPORT_LAG = 0.5  # seconds by which endpoints' reports are taken to be late


class Targets(typing.NamedTuple):
    """What an endpoint should keep, in seconds."""

    first_token: float = 0.6  # from dispatch, without the prompt's own processing
    token_gap: float = 0.026


class Load(typing.NamedTuple):
    """What an endpoint reported of itself, in requests."""

    running: int
    waiting: int
    capacity: int
    leaving: bool
    at: float  # monotonic seconds of this host when the report arrived


class Limit:
    """The limit, this host's requests in flight, and its share of the room."""

    def __init__(self, *, capacity: int, targets: Targets) -> None:
        self.own = 0  # this host's requests in flight
        self.report: Load | None = None
        self._targets = targets
        self._capacity = max(1, capacity)
        self._value = float(self._capacity)
        self._history: collections.deque[tuple[float, int]] = collections.deque()
        self._own_at_report = 0
        self._slots = 0
        self._grown_at = -math.inf
        self._shrunk_at = -math.inf
        self._saturated = False

    @property
    def value(self) -> int:
        """Requests that the endpoint should hold at most, of all hosts."""
        return max(1, int(self._value))

    def estimate(self, now: float, hosts: int) -> float:
        """Return the requests likely at the endpoint, from the aged report.

        The older the report, the more the estimate leans on this host's own requests
        multiplied by the number of hosts.
        """
        guess = float(self.own * hosts)
        if self.report is None:
            return guess
        age = max(0.0, now - self.report.at)
        trust = max(0.0, 1.0 - age / REPORT_LIFETIME)
        reported = self.report.running + self.report.waiting
        recent = max(0, reported + self.own - self._own_at_report)
        return max(self.own, trust * recent + (1.0 - trust) * guess)

    def has_room(self, now: float, hosts: int) -> bool:
        """Return whether this host may send one more request."""
        if self.own >= self.value:
            return False
        if self.report is None or now - self.report.at > REPORT_LIFETIME:
            return self.own < max(1, self.value // hosts)
        return self.own - self._own_at_report < self._slots

    def acquire(self, now: float) -> None:
        """Count a request of this host that is being sent."""
        self._remember(now)
        self.own += 1

    def release(self, now: float) -> None:
        """Count the end of a request of this host."""
        if self.own == 0:
            raise ValueError("release without acquire")
        self._remember(now)
        self.own -= 1

    def take_report(self, report: Load, *, hosts: int, draw: float) -> None:
        """Take a newer load report.

        `draw`, uniform in [0, 1), rounds this host's share of the room at random, so
        that the shares of many hosts add up to the room.
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
        room = self.value - total  # below 0 when ends must not be made up for
        self._slots = math.floor(room * share + draw)
        self._saturated = self._saturated or total >= self.value

    def observe(
        self, now: float, *, first_token: float | None, token_gap: float | None
    ) -> None:
        """Take the means of a short interval, in seconds; None where there is none.

        `first_token` runs from dispatch, less the prompt's own processing time.
        """
        late = first_token is not None and first_token > self._targets.first_token
        factor = QUEUE_DECREASE if late else 1.0
        if token_gap is not None and token_gap > self._targets.token_gap:
            factor = min(factor, MARGIN * self._targets.token_gap / token_gap)
        if factor < 1.0:
            self._shrink(now, factor)
            return
        near = token_gap is not None and token_gap > MARGIN * self._targets.token_gap
        if self.own >= self.value or not self.has_room(now, 1):
            self._saturated = True
        if near or not self._saturated or now - self._grown_at < GROW_INTERVAL:
            return
        self._value = min(self._capacity * HEADROOM, self._value + INCREASE)
        self._grown_at = now
        self._saturated = False

    def _shrink(self, now: float, factor: float) -> None:
        if now - self._shrunk_at < SHRINK_INTERVAL:
            return
        held = self._value
        if self.report is not None and now - self.report.at <= REPORT_LIFETIME:
            # What was missed is owed to the requests there, be they above the limit.
            held = max(self.own, self.report.running + self.report.waiting)
        wanted = max(held * factor, self._value * MAX_DECREASE)
        self._value = max(1.0, min(self._value, wanted))
        self._shrunk_at = now

    def _remember(self, now: float) -> None:
        self._history.append((now, self.own))
        while self._history[0][0] < now - 2 * REPORT_LAG:
            self._history.popleft()

    def _own_at(self, time: float) -> int:
        for changed, before in self._history:
            if changed > time:
                return before
        return self.own
