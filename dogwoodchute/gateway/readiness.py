"""Logs when a host has read enough tables to serve callers."""

from collections import abc

from dogwoodchute import log
from dogwoodchute.gateway import mirror, rows


class ReadinessLog:
    """Logs the first change of a table after which `has_read_tables` returns true.

    `started_at` is the start of the process in monotonic seconds.
    """

    def __init__(
        self,
        *,
        has_read_tables: abc.Callable[[], bool],
        started_at: float,
        now: abc.Callable[[], float],
    ) -> None:
        self._has_read_tables = has_read_tables
        self._started_at = started_at
        self._now = now
        self._is_logged = False

    def wrap(self, on_change: mirror.OnChange) -> mirror.OnChange:
        """Return a callback that calls `on_change` and then checks for readiness."""

        def run(all_rows: dict[str, rows.Row], changed: list[rows.Row]) -> None:
            on_change(all_rows, changed)
            if not self._is_logged and self._has_read_tables():
                self._is_logged = True
                log.info(
                    "became_ready", seconds=f"{self._now() - self._started_at:.3f}"
                )

        return run
