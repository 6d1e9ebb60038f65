"""Removes records of streams that dead hosts have left over in the store."""

from collections import abc

from dogwoodchute import log
from dogwoodchute.gateway import rows
from dogwoodchute.gateway.following import row_reader
from dogwoodchute.gateway.streams import stream_record_rows

KEY_DIGITS = "0123456789abcdef"  # with which keys begin
# Seconds after which a record of another host is left over. It was written when its
# request was sent, which may be long before its stream began.
LEFT_OVER = 600.0


async def remove_left_over(
    service: str,
    *,
    store: rows.Store,
    reader: row_reader.RowReader,
    is_kept: abc.Callable[[str], bool],
    pace: abc.Callable[[], abc.Awaitable[None]],
) -> None:
    """Remove old records of a service, but for those that this host keeps.

    `is_kept` tells that by a record's key; `pace` is awaited before each commit. What
    the store does not answer is left for the next time.
    """
    removed = 0
    for part in stream_record_rows.parts():
        for digit, stop in zip(KEY_DIGITS, [*KEY_DIGITS[1:], None], strict=True):
            answer = await store.read(stream_record_rows.TABLE, part, digit, stop)
            if isinstance(answer, rows.Unavailable):
                log.warning("stream_records_left", reason=answer.reason, part=part)
                return
            old = [
                row
                for row in answer.rows
                if _is_left_over(row, service, reader=reader, now=answer.now)
                and not is_kept(row.key)
            ]
            for begin in range(0, len(old), stream_record_rows.MAX_BATCH):
                await pace()
                removed += await _remove(
                    store, part, old[begin : begin + stream_record_rows.MAX_BATCH]
                )
    log.info("stream_records_cleaned", service=service, records=removed)


def _is_left_over(
    row: rows.Row, service: str, *, reader: row_reader.RowReader, now: float
) -> bool:
    record = reader.read(row)
    if record is None or record.service != service:
        return False
    return now - record.written > LEFT_OVER


async def _remove(store: rows.Store, part: str, batch: list[rows.Row]) -> int:
    table = stream_record_rows.TABLE
    checks = [rows.Check(table, row.key, row.version) for row in batch]
    puts = [rows.Put(table, row.key, None) for row in batch]
    outcome = await store.commit(part, checks, puts)
    return len(batch) if isinstance(outcome, rows.Committed) else 0
