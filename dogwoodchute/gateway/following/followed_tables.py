"""The copies of the store's tables that a host keeps, and where it gets them from."""

import functools
import typing
from collections import abc

from dogwoodchute.coordination import sources
from dogwoodchute.gateway import model, rows
from dogwoodchute.gateway.following import mirror, table_source, tables

CONFIG_WAIT = 0.6  # seconds for which the store holds the configuration's feed open
CONFIG_PAUSE = 0.05  # seconds between two such calls
# Seconds between reads of the endpoints' table: a quarter of the time in which a change
# must be known.
ENDPOINTS_PAUSE = 0.6
HOSTS_PAUSE = 0.8  # seconds between reads of the hosts' table


class Consumer(typing.Protocol):
    """What the rows of a table are for."""

    def apply_changes(
        self, all_rows: dict[str, rows.Row], changed: list[rows.Row]
    ) -> None:
        """Apply changed rows."""


class Followed(typing.NamedTuple):
    """A table of the store and how it is followed."""

    table: str
    pause: float  # seconds between calls
    consumer: Consumer
    wait: float = 0.0  # seconds for which the store holds calls open
    parts: abc.Sequence[str] = ("",)  # partitions of the store with rows of the table


def mirrors(
    followed: list[Followed],
    *,
    deployment: model.Deployment,
    store: rows.Store,
    is_store_reachable: abc.Callable[[], bool],
    peers: abc.Callable[[], list[sources.Peer]],
    anyone: abc.Callable[[], list[str]],
    ask: tables.Ask,
    on_change: abc.Callable[[mirror.OnChange], mirror.OnChange],
    now: abc.Callable[[], float],
) -> dict[str, mirror.Mirror]:
    """Return a mirror for each table, by the table's name.

    A table comes from the store, or from other hosts through `ask`; see
    `table_source.Follower` for `peers` and `anyone`.
    `on_change` wraps the consumers' callbacks.
    """

    def fetch(each: Followed) -> mirror.Fetch:
        from_store = table_source.from_store(
            store=store, table=each.table, parts=list(each.parts), now=now
        )
        follower = table_source.Follower(
            chooser=sources.Sources(name=deployment.host, region=deployment.region),
            peers=peers,
            is_store_reachable=is_store_reachable,
            ask=ask,
            table=each.table,
            store=from_store,
            anyone=anyone,
            now=now,
        )
        return follower.fetch

    return {
        each.table: mirror.Mirror(
            table=each.table,
            fetch=fetch(each),
            pause=each.pause,
            wait=each.wait,
            on_change=on_change(each.consumer.apply_changes),
            receiving=functools.partial(store.receiving, each.table),
            now=now,
        )
        for each in followed
    }
