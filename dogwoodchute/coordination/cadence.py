"""How long a stream may have no event before it counts as silent.

Uses the smoothed mean and deviation of RFC 6298 (Jacobson and Karels), applied to the
gaps between an engine's events instead of round-trip times.
"""

MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 8.0  # above the mean, up to which a gap is usual


class GapEstimator:
    """The gaps between events of one engine's streams, in seconds."""

    def __init__(self, *, floor: float, ceiling: float) -> None:
        self.floor = floor
        self.ceiling = ceiling
        self._mean: float | None = None
        self._deviation = 0.0

    def record(self, gap: float) -> None:
        """Add an observed gap."""
        mean = self._mean
        if mean is None:
            self._mean = gap
            self._deviation = gap / 2
            return
        error = gap - mean
        self._mean = mean + MEAN_GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)

    def silence_timeout(self, tries: int = 0) -> float:
        """Return the gap after which a stream counts as silent.

        It doubles with each of the `tries` that failed so far, up to the ceiling, which
        also holds as long as no gap was observed.
        """
        if self._mean is None:
            return self.ceiling
        usual = self._mean + DEVIATIONS * self._deviation
        return min(self.ceiling, max(self.floor, usual) * 2**tries)
