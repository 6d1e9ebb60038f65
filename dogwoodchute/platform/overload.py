"""What a store that answers "too many calls" tells of its parts and of the path to it.

The store bounds the commits to each part, and the reads and the commits of the fleet.
Whoever exceeds a bound has to wait: another path leads to the same bound. It may also
refuse every call of one host, which then needs another path.
"""

import math
import random
import typing

STATUS = 429  # of an answer to a call beyond a bound
FIRST_PAUSE = 0.1  # seconds
MAX_PAUSE = 1.0  # seconds; the pause doubles up to it
JITTER = 0.5  # share of a pause by which hosts spread their calls


class Seen(typing.NamedTuple):
    """How the latest calls by the direct path ended, in monotonic seconds."""

    answered: float = -math.inf
    read_refused: float = -math.inf
    commit_refused: float = -math.inf


def refused(seen: Seen, *, part: str | None, now: float) -> Seen:
    """Return what was seen, with a refusal of a commit to `part`, None for a read."""
    if part is None:
        return seen._replace(read_refused=now)
    return seen._replace(commit_refused=now)


def path_lost(seen: Seen) -> bool:
    """Return whether the store refuses everything that this host sends.

    Reads and commits have separate bounds, so both are rarely exceeded at once.
    """
    return min(seen.read_refused, seen.commit_refused) > seen.answered


def lane_name(part: str | None) -> str:
    """Return the name of the calls that share a bound; `part` is None for reads."""
    return "reads" if part is None else f"commits/{part}"


class Lane:
    """The pause of the calls that share a bound."""

    def __init__(self) -> None:
        self._pause = 0.0  # seconds
        self._until = -math.inf  # monotonic seconds

    def left(self, now: float) -> float:
        """Return the seconds that a call has to wait."""
        return max(0.0, self._until - now)

    def served(self) -> None:
        """End the pause: a call was served."""
        self._pause = 0.0
        self._until = -math.inf

    def refused(self, now: float) -> float:
        """Begin a longer pause after a refusal; return its seconds."""
        if now >= self._until:
            self._pause = min(MAX_PAUSE, max(FIRST_PAUSE, 2 * self._pause))
        jitter = random.uniform(1 - JITTER, 1 + JITTER)
        self._until = max(self._until, now + self._pause * jitter)
        return self._until - now
