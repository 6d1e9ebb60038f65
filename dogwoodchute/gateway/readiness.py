"""Tells the moment at which a host knows enough to serve callers."""

from collections import abc

from dogwoodchute.gateway import mirror, rows


class Watch:
    """Calls `became_ready` once, after the first change that makes `informed` true."""

    def __init__(
        self,
        *,
        informed: abc.Callable[[], bool],
        became_ready: abc.Callable[[], None],
    ) -> None:
        self._informed = informed
        self._became_ready = became_ready
        self._told = False

    def after(self, changed: mirror.Changed) -> mirror.Changed:
        """Return `changed`, followed by a look whether the host is ready."""

        def run(all_rows: dict[str, rows.Row], changed_rows: list[rows.Row]) -> None:
            changed(all_rows, changed_rows)
            if not self._told and self._informed():
                self._told = True
                self._became_ready()

        return run
