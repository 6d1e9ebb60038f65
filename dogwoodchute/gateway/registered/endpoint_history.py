"""What endpoints' rows said last, which a restored store's older rows don't undo.

A store that comes back from an older copy shows endpoints as they were: one that said
that it leaves is ready again, and one that has left is back. Each endpoint writes its
row again, under a higher sequence number; until then the copy's row is outdated.
"""

from collections import abc

from dogwoodchute.gateway import model, rows

KEPT = 60.0  # seconds for which a removed row is remembered
# Seconds in which endpoints write their rows again after a restore, and the rows of
# those that are gone expire.
REWRITE_TIME = 10.0


class EndpointHistory:
    """The last rows of endpoints, and when the store was restored."""

    def __init__(self, *, now: abc.Callable[[], float]) -> None:
        self._now = now
        self._last: dict[str, model.Endpoint] = {}  # by id
        # Monotonic seconds by id of those without a row, in the order of removal.
        self._removed_at: dict[str, float] = {}
        self._era: int | None = None
        self._restored_at: float | None = None  # monotonic seconds

    def is_outdated(self, endpoint: model.Endpoint, version: int) -> bool:
        """Return whether a row is one of a copy and says less than is known."""
        self._update_era(rows.era_of(version))
        if self._restored_at is None:
            return False
        last = self._last.get(endpoint.id)
        if last is None or self._now() - self._restored_at >= REWRITE_TIME:
            return False
        if last.started_at_ms != endpoint.started_at_ms:
            return False
        if endpoint.id in self._removed_at:
            return endpoint.sequence <= last.sequence
        return endpoint.sequence < last.sequence

    def record(self, endpoint: model.Endpoint) -> None:
        """Record an endpoint's row."""
        self._last[endpoint.id] = endpoint
        self._removed_at.pop(endpoint.id, None)

    def record_removal(self, name: str) -> None:
        """Record that an endpoint's row was removed; forget old removals."""
        now = self._now()
        if name in self._last:
            self._removed_at.pop(name, None)
            self._removed_at[name] = now
        while self._removed_at:
            oldest, removed_at = next(iter(self._removed_at.items()))
            if now - removed_at < KEPT:
                return
            del self._last[oldest], self._removed_at[oldest]

    def _update_era(self, era: int) -> None:
        if self._era is not None and era > self._era:
            self._restored_at = self._now()
        self._era = max(era, self._era or 0)
