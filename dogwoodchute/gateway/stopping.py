"""The planned stop of a host: how long it serves, and what it still takes."""

from collections import abc

from dogwoodchute.gateway import filters

# Seconds after SIGTERM in which callers still send requests, as they haven't yet
# learned of the stop.
LINGER = 3.0
STOP_MARGIN = 1.0  # seconds before SIGKILL, to write bills and return tokens


class Stopping:
    """Whether this host is stopping, and since when.

    `grace` is the seconds from SIGTERM to SIGKILL.
    """

    def __init__(self, *, grace: float, now: abc.Callable[[], float]) -> None:
        self._now = now
        self._serve_time = grace - STOP_MARGIN  # seconds until connections are closed
        self._began_at: float | None = None  # monotonic seconds

    @property
    def has_begun(self) -> bool:
        """Whether the host is stopping."""
        return self._began_at is not None

    @property
    def has_lingered(self) -> bool:
        """Whether callers have had time to learn of the stop."""
        return self.has_begun and self._now() - self._began_at >= LINGER

    @property
    def seconds_until_close(self) -> float:
        """Seconds until connections are closed; valid after `begin` was called."""
        return max(0.0, self._began_at + self._serve_time - self._now())

    def begin(self) -> None:
        """Begin the stop now."""
        self._began_at = self._now()

    def closing(self) -> filters.Closing | None:
        """Return when connections are closed, None while the host isn't stopping."""
        if self._began_at is None:
            return None
        return filters.Closing(
            closes_at=self._began_at + self._serve_time,
            takes_repeatable=not self.has_lingered,
        )
