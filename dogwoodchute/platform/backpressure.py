"""What a store that answers "too many calls" tells of its parts and of the path to it.

The store bounds the commits to each part, and the reads and the commits of the fleet.
Whoever exceeds a bound has to wait: another path leads to the same bound. It may also
refuse every call of one host, which then needs another path.
"""

import math
import random
import typing

TOO_MANY_REQUESTS = 429  # of an answer to a call beyond a bound
FIRST_PAUSE = 0.1  # seconds
MAX_PAUSE = 1.0  # seconds; the pause doubles up to it
JITTER = 0.5  # share of a pause by which hosts spread their calls


class LatestOutcomes(typing.NamedTuple):
    """How the latest calls by the direct path ended, in monotonic seconds."""

    answered_at: float = -math.inf
    read_refused_at: float = -math.inf
    commit_refused_at: float = -math.inf


def add_refusal(
    seen: LatestOutcomes, *, part: str | None, now: float
) -> LatestOutcomes:
    """Return what was seen, with a refusal of a commit to `part`, None for a read."""
    if part is None:
        return seen._replace(read_refused_at=now)
    return seen._replace(commit_refused_at=now)


def is_path_refused(seen: LatestOutcomes) -> bool:
    """Return whether the store refuses everything that this host sends.

    Reads and commits have separate bounds, so both are rarely exceeded at once.
    """
    return min(seen.read_refused_at, seen.commit_refused_at) > seen.answered_at


def lane_name(part: str | None) -> str:
    """Return the name of the calls that share a bound; `part` is None for reads."""
    return "reads" if part is None else f"commits/{part}"


class Lane:
    """The pause of the calls that share a bound."""

    def __init__(self) -> None:
        self._pause = 0.0  # seconds
        self._until = -math.inf  # monotonic seconds

    def remaining_pause(self, now: float) -> float:
        """Return the seconds that a call has to wait."""
        return max(0.0, self._until - now)

    def end_pause(self) -> None:
        """End the pause: a call was served."""
        self._pause = 0.0
        self._until = -math.inf

    def extend_pause(self, now: float) -> float:
        """Begin a longer pause after a refusal; return its seconds."""
        if now >= self._until:
            self._pause = min(MAX_PAUSE, max(FIRST_PAUSE, 2 * self._pause))
        jitter = random.uniform(1 - JITTER, 1 + JITTER)
        self._until = max(self._until, now + self._pause * jitter)
        return self._until - now
