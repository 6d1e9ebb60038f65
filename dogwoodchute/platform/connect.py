"""Makes the clients of the platform's services that a host's settings name."""

import typing
from collections import abc

from dogwoodchute import settings
from dogwoodchute.platform import hostlist, http_client, objects, table, weights
from dogwoodchute.standins import (
    hostlist as memory_hostlist,
    objects as memory_objects,
    table as memory_table,
    weights as memory_weights,
)


class Platform(typing.NamedTuple):
    """Clients of the platform's services; `close` closes their connections."""

    store: table.Table
    objects: objects.Objects
    hosts: hostlist.Hosts
    close: abc.Callable[[], abc.Awaitable[None]]
    weight_store: weights.Weights = weights.unlimited()


def embedded(
    *,
    tables: memory_table.MemoryTable | None = None,
    object_store: memory_objects.MemoryObjects | None = None,
    hosts: memory_hostlist.MemoryHostList | None = None,
) -> Platform:
    """Return a platform in this process's memory; its data is lost on exit."""

    async def close() -> None:
        return None

    return Platform(
        store=(tables or memory_table.MemoryTable()).client(),
        objects=(object_store or memory_objects.MemoryObjects()).client(),
        hosts=(hosts or memory_hostlist.MemoryHostList()).client(),
        close=close,
        weight_store=memory_weights.MemoryWeights().client(),
    )


def connect(config: settings.Platform) -> Platform:
    """Return clients of the platform in `config`; they connect on first use."""
    if config.mode == "embedded":
        return embedded()
    table_connection = http_client.Connection(
        address=config.table_address, timeout=config.table_timeout
    )
    objects_connection = http_client.Connection(
        address=config.objects_address, timeout=config.objects_timeout
    )
    hosts_connection = http_client.Connection(
        address=config.hostlist_address, timeout=config.table_timeout
    )
    connections = [table_connection, objects_connection, hosts_connection]
    weight_store = weights.unlimited()
    if config.weights_address:
        weights_connection = http_client.Connection(
            address=config.weights_address, timeout=config.table_timeout
        )
        connections.append(weights_connection)
        weight_store = http_client.weights_client(weights_connection)

    async def close() -> None:
        for each in connections:
            await each.close()

    return Platform(
        store=http_client.table_client(table_connection),
        objects=http_client.objects_client(objects_connection),
        hosts=http_client.hosts_client(hosts_connection),
        close=close,
        weight_store=weight_store,
    )
