"""A copy of one table of the store, which also knows its latest changes."""

import typing
from collections import abc

from dogwoodchute.gateway import rows

MAX_REMOVED = 2000  # removed rows to remember for hosts that follow this copy


class Changes(typing.NamedTuple):
    """Rows of a table as of `version`: all if `is_snapshot`, else the changed ones."""

    rows: list[rows.Row]
    version: int
    is_snapshot: bool


class TableCopy:
    """The rows of a table, whose keys differ.

    A row is never replaced by an older version of it.
    """

    def __init__(self) -> None:
        self.rows: dict[str, rows.Row] = {}
        self._version: int | None = None
        self._removed: dict[str, int] = {}  # version by key, in the order of removal
        self._history_from = 0  # the version from which removals are remembered

    @property
    def version(self) -> int | None:
        """The store's version that the copy reflects, None before the first read."""
        return self._version

    def apply(self, changes: Changes) -> list[rows.Row]:
        """Apply changes and return the rows that were new to the copy.

        Changes as of an older version than the copy's are ignored.
        """
        if self._version is not None and changes.version < self._version:
            return []
        self._version = changes.version
        if changes.is_snapshot:
            return self._replace(changes.rows)
        return self._update(changes.rows)

    def since(self, version: int | None) -> Changes | None:
        """Return what changed after `version`, None before the first read.

        Returns the whole table if removals since that version aren't all remembered.
        """
        if self._version is None:
            return None
        if version is None or version < self._history_from:
            return Changes(list(self.rows.values()), self._version, is_snapshot=True)
        changed = [row for row in self.rows.values() if row.version > version]
        for key, removed_version in self._removed.items():
            if removed_version > version:
                changed.append(rows.Row(key, None, removed_version))
        return Changes(changed, self._version, is_snapshot=False)

    def _replace(self, read: list[rows.Row]) -> list[rows.Row]:
        by_key = {row.key: row for row in read}
        removed = [rows.Row(key, None, 0) for key in self.rows if key not in by_key]
        changed = [row for row in read if self._is_newer(row)]
        self.rows = by_key
        self._removed.clear()
        self._history_from = self._version
        return changed + removed

    def _update(self, read: abc.Iterable[rows.Row]) -> list[rows.Row]:
        changed = []
        for row in read:
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
        current = self.rows.get(row.key)
        return current is None or current.version < row.version
