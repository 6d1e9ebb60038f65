"""Tracks endpoints that want no requests for a while.

An endpoint that refuses a request may say for how long it wants no further ones
(`Retry-After`).
"""

MAX_SECONDS = 60.0  # one that asks for longer is tried again after that


class HoldOffs:
    """The endpoints that want no requests, and until when."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}  # monotonic seconds by endpoint

    def record(self, endpoint: str, seconds: float, now: float) -> None:
        """Record that an endpoint wants no requests for `seconds`."""
        until = now + min(seconds, MAX_SECONDS)
        self._until[endpoint] = max(until, self._until.get(endpoint, until))

    def remaining(self, endpoint: str, now: float) -> float:
        """Return the seconds for which an endpoint still wants no requests."""
        until = self._until.get(endpoint)
        if until is None:
            return 0.0
        if until <= now:
            del self._until[endpoint]
            return 0.0
        return until - now

    def forget(self, endpoint: str) -> None:
        """Drop what an endpoint asked for, as it is gone or was restarted."""
        self._until.pop(endpoint, None)
