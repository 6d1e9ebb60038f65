"""Keeps a copy of one table of the store, by a read and then by its feed."""

import asyncio
import random
from collections import abc

from dogwoodchute import log
from dogwoodchute.gateway import rows

RETRY_INTERVAL = 0.25  # seconds after a failed call
JITTER = 0.2  # share of a pause by which hosts spread their calls

Changed = abc.Callable[[dict[str, rows.Row], list[rows.Row]], None]


class Mirror:
    """The rows of a table's unnamed part, by key.

    `changed` is called with all rows and the changed ones after each successful call
    that brought changes. With `wait` above 0 the feed is held open at the store.
    """

    def __init__(
        self,
        *,
        store: rows.Store,
        table: str,
        pause: float,
        wait: float,
        changed: Changed,
        now: abc.Callable[[], float],
    ) -> None:
        self.rows: dict[str, rows.Row] = {}
        self.read_at: float | None = None  # monotonic seconds of the last answer
        self.regained_at = 0.0  # monotonic seconds: answers came back after a failure
        self._store = store
        self._table = table
        self._pause = pause
        self._wait = wait
        self._changed = changed
        self._now = now
        self._version: int | None = None
        self._failing = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                reached = await self.step()
            except Exception:
                log.exception("mirror_step_failed", table=self._table)
                reached = False
            pause = self._pause if reached else RETRY_INTERVAL
            await asyncio.sleep(pause * random.uniform(1 - JITTER, 1 + JITTER))

    async def step(self) -> bool:
        """Make one call; return whether the store answered."""
        began = self._now()
        if self._version is None:
            outcome = await self._store.read(self._table, "", None, None)
        else:
            outcome = await self._store.feed(self._table, self._version, self._wait)
        if isinstance(outcome, rows.Compacted):
            log.info("history_lost", table=self._table, version=self._version)
            self._version = None
            return await self.step()
        if isinstance(outcome, rows.Unavailable):
            self._note_failure(outcome)
            return False
        if self._failing:
            self.regained_at = self._now()
            log.info(
                "table_regained",
                table=self._table,
                version=outcome.version,
                age=self._age(),
            )
        self._failing = False
        self.read_at = began
        whole = self._version is None
        self._version = max(outcome.version, self._version or 0)
        if whole:
            self._replace(outcome.rows)
        else:
            self._update(outcome.rows)
        return True

    def _replace(self, found: list[rows.Row]) -> None:
        fresh = {row.key: row for row in found}
        removed = [rows.Row(key, None, 0) for key in self.rows if key not in fresh]
        changed = [
            row
            for row in found
            if row.key not in self.rows or self.rows[row.key].version < row.version
        ]
        self.rows = fresh
        if changed or removed:
            self._changed(self.rows, changed + removed)

    def _update(self, changed: list[rows.Row]) -> None:
        kept = [row for row in changed if not row.part]
        for row in kept:
            if row.value is None:
                self.rows.pop(row.key, None)
                continue
            self.rows[row.key] = row
        if kept:
            self._changed(self.rows, kept)

    def _note_failure(self, outcome: rows.Unavailable) -> None:
        if not self._failing:
            log.warning(
                "table_lost",
                table=self._table,
                reason=outcome.reason,
                peer=outcome.peer,
                version=self._version,
                age=self._age(),
            )
        self._failing = True

    def _age(self) -> float | None:
        """Return the seconds since the table was read, None if it never was."""
        if self.read_at is None:
            return None
        return round(self._now() - self.read_at, 3)
