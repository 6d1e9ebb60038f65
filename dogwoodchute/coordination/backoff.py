"""Jittered backoff and a circuit breaker; callers pass in the time."""

import random


def backoff(attempt: int, *, base: float, limit: float, rng: random.Random) -> float:
    """Return the seconds to wait after failed attempt number `attempt`, from 1 on.

    Exponential backoff with equal jitter, as described in M. Brooker, "Exponential
    Backoff and Jitter", AWS Architecture Blog, 2015.
    """
    longest = min(limit, base * 2.0 ** min(attempt - 1, 30))
    return longest / 2 + rng.uniform(0.0, longest / 2)


class Breaker:
    """A circuit breaker that opens after `threshold` consecutive failures.

    While it is open, one probe is allowed after each backoff. Source: M. Nygard,
    "Release It!", chapter "Circuit Breaker".
    """

    def __init__(
        self, *, threshold: int, base: float, limit: float, rng: random.Random
    ) -> None:
        self._threshold = threshold
        self._base = base
        self._limit = limit
        self._rng = rng
        self._failures = 0
        self._next_probe = 0.0

    @property
    def closed(self) -> bool:
        """Whether all calls are allowed."""
        return self._failures < self._threshold

    def allows(self, now: float) -> bool:
        """Return whether a call may be made.

        While the breaker is open, the allowed call is the probe, and the next one is
        scheduled.
        """
        if self.closed:
            return True
        if now < self._next_probe:
            return False
        self._schedule(now)
        return True

    def record_success(self) -> None:
        """Record that a call was answered, which closes the breaker."""
        self._failures = 0

    def record_failure(self, now: float) -> None:
        """Record that a call was not answered."""
        self._failures += 1
        if not self.closed:
            self._schedule(now)

    def _schedule(self, now: float) -> None:
        attempt = self._failures - self._threshold + 1
        self._next_probe = now + backoff(
            attempt, base=self._base, limit=self._limit, rng=self._rng
        )
