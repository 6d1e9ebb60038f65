"""Decodes the rows of a table, of which other writers may have written any."""

import typing
from collections import abc

import prometheus_client

from dogwoodchute import log
from dogwoodchute.gateway import rows

MAX_REPORTED = 1000  # keys of unreadable rows that are remembered
MAX_REASON = 120  # characters of an error's text, which may quote the row

unreadable_rows = prometheus_client.Counter(
    "dogwoodchute_unreadable_rows",
    "Rows of the store that could not be decoded, by table.",
    ["table"],
)

T = typing.TypeVar("T")


class RowReader(typing.Generic[T]):
    """Decodes rows of one table and reports those that can't be decoded.

    A row is logged once until it is readable again or fails for another reason, since
    its writer may renew it every second.
    """

    def __init__(self, *, table: str, decode: abc.Callable[[str, bytes], T]) -> None:
        self._table = table
        self._decode = decode
        self._reported: dict[str, str] = {}  # reason by key

    def read(self, row: rows.Row) -> T | None:
        """Return what `row` describes, None if it was removed or can't be decoded."""
        if row.value is None:
            self._reported.pop(row.key, None)
            return None
        try:
            decoded = self._decode(row.key, row.value)
        except Exception as error:
            # Whatever the bytes make a decoder raise, the other rows still count.
            self._report(row, str(error) or type(error).__name__)
            return None
        self._reported.pop(row.key, None)
        return decoded

    def _report(self, row: rows.Row, reason: str) -> None:
        unreadable_rows.labels(self._table).inc()
        reason = reason[:MAX_REASON]
        if self._reported.get(row.key) == reason:
            return
        if len(self._reported) >= MAX_REPORTED:
            self._reported.clear()
        self._reported[row.key] = reason
        log.warning(
            "row_unreadable",
            table=self._table,
            row=row.key,
            version=row.version,
            bytes=len(row.value),
            reason=reason,
        )
