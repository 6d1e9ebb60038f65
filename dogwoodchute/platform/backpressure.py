"""Backpressure of a store that answers "too many requests".

The store bounds the commits to each partition, and the reads and the commits of the
whole fleet. Calls that share a bound form a lane. Calls beyond a bound have to wait,
since a relay's calls count towards the same bound. The store may also refuse every call
of one host, which then needs a relay.
"""

import math
import random
import typing

FIRST_PAUSE = 0.1  # seconds
MAX_PAUSE = 1.0  # seconds; the pause doubles up to it
TIMER_SLACK = 0.005  # seconds by which a wait for the end of a pause may end early
JITTER = 0.5  # share of a pause; spreads the calls of different hosts


class LatestOutcomes(typing.NamedTuple):
    """When calls by the direct path last had each outcome, in monotonic seconds."""

    answered_at: float = -math.inf
    read_refused_at: float = -math.inf
    commit_refused_at: float = -math.inf


def add_refusal(
    latest: LatestOutcomes, *, part: str | None, now: float
) -> LatestOutcomes:
    """Return the outcomes with a refusal at `now`.

    `part` is the partition of the refused commit, None for a read.
    """
    if part is None:
        return latest._replace(read_refused_at=now)
    return latest._replace(commit_refused_at=now)


def is_path_refused(latest: LatestOutcomes) -> bool:
    """Return whether the store refuses everything that this host sends.

    Reads and commits have separate bounds, so both are rarely exceeded at once.
    """
    return min(latest.read_refused_at, latest.commit_refused_at) > latest.answered_at


def lane_name(part: str | None) -> str:
    """Return the name of a lane; `part` is the partition of commits, None for reads."""
    return "reads" if part is None else f"commits/{part}"


class Lane:
    """The pause of calls that share a bound, after the store refused one of them."""

    def __init__(self) -> None:
        self._pause = 0.0  # seconds
        self._until = -math.inf  # monotonic seconds

    def remaining_pause(self, now: float) -> float:
        """Return the seconds that a call has to wait, 0 without a pause."""
        return max(0.0, self._until - now)

    def end_pause(self) -> None:
        """End the pause, after a call was served."""
        self._pause = 0.0
        self._until = -math.inf

    def extend_pause(self, now: float) -> float:
        """Pause after a refusal, for longer each time; return the seconds left.

        Refusals during a pause do not double its length.
        """
        if now >= self._until - TIMER_SLACK:
            self._pause = min(MAX_PAUSE, max(FIRST_PAUSE, 2 * self._pause))
        jitter = random.uniform(1 - JITTER, 1 + JITTER)
        self._until = max(self._until, now + self._pause * jitter)
        return self._until - now
