"""Where a mirror gets its table: from the store, or from hosts that pass it on."""

from collections import abc

from dogwoodchute import log
from dogwoodchute.gateway import mirror, rows, table_copy


def from_store(
    *, store: rows.Store, table: str, now: abc.Callable[[], float]
) -> mirror.Fetch:
    """Return what reads a table from the store, and then its feed."""

    async def read() -> mirror.Outcome:
        began = now()
        outcome = await store.read(table, "", None, None)
        if isinstance(outcome, rows.Unavailable):
            return outcome
        changes = table_copy.Changes(outcome.rows, outcome.version, whole=True)
        return mirror.Fetched(changes=changes, read_at=began)

    async def fetch(
        since: int | None, age: float | None, wait: float
    ) -> mirror.Outcome:
        if since is None:
            return await read()
        began = now()
        outcome = await store.feed(table, since, wait)
        if isinstance(outcome, rows.Compacted):
            log.info("history_lost", table=table, version=since)
            return await read()
        if isinstance(outcome, rows.Unavailable):
            return outcome
        changes = table_copy.Changes(outcome.rows, outcome.version, whole=False)
        return mirror.Fetched(changes=changes, read_at=began)

    return fetch
