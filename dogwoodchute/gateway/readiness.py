"""Tells the moment at which a host knows enough to serve callers."""

from collections import abc

from dogwoodchute import log
from dogwoodchute.gateway import mirror, rows


class Watch:
    """Logs the first change of a table after which `informed` is true.

    `began` is the monotonic time in seconds at which the process began.
    """

    def __init__(
        self,
        *,
        informed: abc.Callable[[], bool],
        began: float,
        now: abc.Callable[[], float],
    ) -> None:
        self._informed = informed
        self._began = began
        self._now = now
        self._told = False

    def after(self, changed: mirror.Changed) -> mirror.Changed:
        """Return `changed`, followed by a look whether the host is ready."""

        def run(all_rows: dict[str, rows.Row], changed_rows: list[rows.Row]) -> None:
            changed(all_rows, changed_rows)
            if not self._told and self._informed():
                self._told = True
                log.info("became_ready", seconds=f"{self._now() - self._began:.3f}")

        return run
