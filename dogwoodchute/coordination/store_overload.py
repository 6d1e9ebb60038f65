"""Detects that the store's partitions are overloaded, from the latency of commits.

A partition ("part") processes commits one after another and refuses them when too many
are queued. If hosts keep their usual rate while a partition is slow, they fill its
queue, all commits wait past their timeouts, and none of them succeeds. Hosts therefore
slow down once commits become slow or are refused.
"""

import math

SLOW_COMMIT = 0.2  # seconds; usual is some 25 ms from another region
MEMORY = 10.0  # seconds for which a slow or refused commit counts


class OverloadDetector:
    """The latest slow or refused commit to the store."""

    def __init__(self) -> None:
        self._at = -math.inf  # monotonic seconds of that commit's end
        self._seconds = 0.0  # that it took

    def record_refusal(self, now: float) -> None:
        """Record a commit that a partition refused because too many were queued."""
        self._at = now
        self._seconds = max(self._seconds, SLOW_COMMIT)

    def record_commit(self, seconds: float, now: float) -> None:
        """Record that a commit was answered after `seconds`.

        A commit that is not slow ends the overload at once.
        """
        if seconds < SLOW_COMMIT:
            self._at = -math.inf
            self._seconds = 0.0
            return
        self._at = now
        self._seconds = seconds

    def slow_commit_seconds(self, now: float) -> float:
        """Return the seconds that a commit takes, 0 unless partitions are overloaded.

        `now` is in monotonic seconds.
        """
        return self._seconds if now - self._at < MEMORY else 0.0
