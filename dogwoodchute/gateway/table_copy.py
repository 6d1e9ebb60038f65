"""A copy of one table of the store, and what changed in it since a version."""

import typing
from collections import abc

from dogwoodchute.gateway import rows

MAX_REMOVED = 2000  # removed rows that are remembered, for hosts that follow this copy


class Changes(typing.NamedTuple):
    """Rows of a table as of `version`: all of them if `whole`, else changed ones."""

    rows: list[rows.Row]
    version: int
    whole: bool


class Copy:
    """The rows of a table's unnamed part. No row ever goes back to an older version."""

    def __init__(self) -> None:
        self.rows: dict[str, rows.Row] = {}
        self._version: int | None = None
        self._removed: dict[str, int] = {}  # version by key, in order of removal
        self._history_from = 0  # version since which removals are remembered

    @property
    def version(self) -> int | None:
        """The store's version that the copy has reached, None before the first read."""
        return self._version

    def take(self, changes: Changes) -> list[rows.Row]:
        """Take in changes and return those that were new to the copy.

        Changes as of an older version than the copy's tell nothing new.
        """
        if self._version is not None and changes.version < self._version:
            return []
        self._version = changes.version
        kept = [row for row in changes.rows if not row.part]
        if changes.whole:
            return self._replace(kept)
        return self._update(kept)

    def since(self, version: int | None) -> Changes | None:
        """Return what changed after `version`, None before the first read.

        Without that history the changes are the whole table.
        """
        if self._version is None:
            return None
        if version is None or version < self._history_from:
            return Changes(list(self.rows.values()), self._version, whole=True)
        changed = [row for row in self.rows.values() if row.version > version]
        for key, removed in self._removed.items():
            if removed > version:
                changed.append(rows.Row(key, None, removed))
        return Changes(changed, self._version, whole=False)

    def _replace(self, found: list[rows.Row]) -> list[rows.Row]:
        fresh = {row.key: row for row in found}
        gone = [rows.Row(key, None, 0) for key in self.rows if key not in fresh]
        changed = [row for row in found if self._is_newer(row)]
        self.rows = fresh
        self._removed.clear()
        self._history_from = self._version
        return changed + gone

    def _update(self, found: abc.Iterable[rows.Row]) -> list[rows.Row]:
        changed = []
        for row in found:
            if not self._is_newer(row):
                continue
            changed.append(row)
            self._removed.pop(row.key, None)
            if row.value is not None:
                self.rows[row.key] = row
                continue
            self.rows.pop(row.key, None)
            self._removed[row.key] = row.version
        while len(self._removed) > MAX_REMOVED:
            oldest = next(iter(self._removed))
            self._history_from = max(self._history_from, self._removed.pop(oldest))
        return changed

    def _is_newer(self, row: rows.Row) -> bool:
        known = self.rows.get(row.key)
        return known is None or known.version < row.version
