"""Tells whether the store's parts do commits more slowly than hosts would send them.

A part does commits one after another and refuses them when too many wait. Hosts that
send as usual to a slow part fill its queue, and their commits wait longer than they
may: so none of them gets anything done.
"""

import math

SLOW_COMMIT = 0.2  # seconds; a commit takes some 25 ms from another region
MEMORY = 10.0  # seconds for which a slow or refused commit counts


class Strain:
    """How the latest commits to the store went."""

    def __init__(self) -> None:
        self._at = -math.inf  # monotonic seconds of the latest sign of strain
        self._seconds = 0.0  # that the latest slow commit took

    def note_refused(self, now: float) -> None:
        """Take in that a part had too many commits."""
        self._at = now
        self._seconds = max(self._seconds, SLOW_COMMIT)

    def note_answered(self, seconds: float, now: float) -> None:
        """Take in how long one commit took that was answered."""
        if seconds < SLOW_COMMIT:
            self._at = -math.inf
            self._seconds = 0.0
            return
        self._at = now
        self._seconds = seconds

    def seconds(self, now: float) -> float:
        """Return what a commit takes at a part, 0 unless the parts are slow."""
        return self._seconds if now - self._at < MEMORY else 0.0
