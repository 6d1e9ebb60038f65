"""Tells whether an endpoint takes requests and gives nothing back.

The kernel of an endpoint that reads nothing accepts connections and requests all the
same. What lies there is worked on later, also for callers that have left meanwhile.
"""

MAX_UNANSWERED = 4  # requests from which on silence counts
MIN_QUIET = 0.5  # seconds
TRIAL_INTERVAL = 1.0  # seconds between requests that try whether it answers again


class Unanswered:
    """One host's requests to an endpoint since it heard of that last.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._count = 0
        self._first_at = 0.0
        self._last_at = 0.0

    def record_send(self, now: float) -> None:
        """Count a request that is sent."""
        if not self._count:
            self._first_at = now
        self._count += 1
        self._last_at = now

    def record_not_sent(self) -> None:
        """Take back a request of which no byte was sent."""
        self._count = max(0, self._count - 1)

    def record_sign_of_life(self) -> None:
        """Forget what was counted, as bytes of the endpoint arrived."""
        self._count = 0

    def seconds_until_trial(self, quiet: float, now: float) -> float:
        """Return the seconds until one more request may be sent, 0 if it may now.

        `quiet` is the seconds for which the endpoint may rightly be silent.
        """
        if self._count < MAX_UNANSWERED:
            return 0.0
        if now - self._first_at < max(MIN_QUIET, quiet):
            return 0.0
        return max(0.0, self._last_at + TRIAL_INTERVAL - now)
