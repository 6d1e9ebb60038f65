"""When the store last answered this host, and whether it is away."""

import functools
import math
from collections import abc

from dogwoodchute.gateway import rows

SILENT_AFTER = 0.8  # seconds that a call may wait, beyond what it asks for


class Contact:
    """Watches the calls of one host to the store."""

    def __init__(self, *, now: abc.Callable[[], float]) -> None:
        self.answered_at = -math.inf  # monotonic seconds of the last answer
        self.last_contact = -math.inf  # the same in seconds of the store's clock
        self._now = now
        self._failed_at = -math.inf  # monotonic seconds of the last failure
        # Calls under way: the monotonic seconds from which each counts as silent.
        self._silent_from: dict[object, float] = {}

    @property
    def is_away(self) -> bool:
        """Whether the last call that says anything of the store got no answer."""
        if self._failed_at > self.answered_at:
            return True
        now = self._now()
        if now - self.answered_at < SILENT_AFTER:
            return False
        return any(now >= silent for silent in self._silent_from.values())

    def watch(self, store: rows.Store) -> rows.Store:
        """Return `store`, with its calls watched."""

        async def read(
            table: str, part: str, first: str | None, stop: str | None
        ) -> rows.ReadOutcome:
            return await watched(store.read(table, part, first, stop), 0.0)

        async def feed(table: str, since: int, wait: float) -> rows.FeedOutcome:
            return await watched(store.feed(table, since, wait), wait)

        async def commit(
            part: str, checks: list[rows.Check], puts: list[rows.Put]
        ) -> rows.CommitOutcome:
            return await watched(store.commit(part, checks, puts), 0.0)

        watched = functools.partial(self._watched, store)
        return store._replace(read=read, feed=feed, commit=commit)

    async def _watched(
        self, store: rows.Store, call: abc.Awaitable, wait: float
    ) -> object:
        key = object()
        self._silent_from[key] = self._now() + wait + SILENT_AFTER
        try:
            outcome = await call
        finally:
            del self._silent_from[key]
        if isinstance(outcome, rows.Unavailable | rows.Unknown):
            self._failed_at = self._now()
            return outcome
        self.answered_at = self._now()
        self.last_contact = max(self.last_contact, store.now())
        return outcome
