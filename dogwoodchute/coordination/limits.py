"""An adaptive limit on the requests at one endpoint, shared without coordination.

The limit stands for the whole endpoint. It follows additive increase, multiplicative
decrease (Chiu and Jain, 1989) on whether requests keep their latency targets. Of the
room that a load report shows below the limit, each host fills only its own share until
the next report, so that many hosts that see the same report do not overfill it.
"""

import math
from typing import NamedTuple

WINDOW = 1.0  # seconds over which samples are judged
BREACH_SHARE = 0.1  # share of breaching samples above which the limit shrinks
DECREASE = 0.85
INCREASE = 1.0  # requests per window
HEADROOM = 1.5  # the limit's ceiling, as a multiple of the reported capacity
REPORT_LIFETIME = 5.0  # seconds


class Targets(NamedTuple):
    """What an endpoint should keep, in seconds."""

    first_token: float = 0.6  # from dispatch, without the prompt's own processing
    token_gap: float = 0.026


class Load(NamedTuple):
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
        self._own_at_report = 0
        self._slots = 0
        self._window_start = -math.inf
        self._samples = 0
        self._breaches = 0
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

    def acquire(self) -> None:
        """Count a request of this host that is being sent."""
        self.own += 1

    def release(self) -> None:
        """Count the end of a request of this host."""
        if self.own == 0:
            raise ValueError("release without acquire")
        self.own -= 1

    def take_report(self, report: Load, *, hosts: int, draw: float) -> None:
        """Take a newer load report.

        `draw`, uniform in [0, 1), rounds this host's share of the room at random, so
        that the shares of many hosts add up to the room.
        """
        if self.report is not None and report.at < self.report.at:
            return
        self.report = report
        self._own_at_report = self.own
        if report.capacity > 0 and report.capacity != self._capacity:
            self._value *= report.capacity / self._capacity
            self._capacity = report.capacity
        total = report.running + report.waiting
        share = max(1.0 / max(1, hosts), min(1.0, self.own / max(1, total)))
        room = max(0.0, self.value - total)
        self._slots = math.floor(room * share + draw)
        if total >= self.value or self._slots == 0:
            self._saturated = True

    def observe(
        self, now: float, *, first_token: float | None, token_gap: float | None
    ) -> None:
        """Take one sample, in seconds; None where a request had no such figure.

        `first_token` runs from dispatch, less the prompt's own processing time.
        """
        breach = first_token is not None and first_token > self._targets.first_token
        if token_gap is not None and token_gap > self._targets.token_gap:
            breach = True
        self._samples += 1
        self._breaches += breach
        if self.own >= self.value or not self.has_room(now, 1):
            self._saturated = True
        if now - self._window_start >= WINDOW:
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        waiting = self.report.waiting if self.report is not None else 0
        if self._breaches > BREACH_SHARE * self._samples:
            self._value = max(1.0, self._value * DECREASE)
        elif self._saturated and waiting <= self._capacity * (HEADROOM - 1.0):
            ceiling = self._capacity * HEADROOM
            self._value = min(ceiling, self._value + INCREASE)
        self._window_start = now
        self._samples = 0
        self._breaches = 0
        self._saturated = False
