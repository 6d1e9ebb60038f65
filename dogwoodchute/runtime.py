"""Connects a host's settings to the platform and runs its daemon."""

import contextlib
from collections import abc

from dogwoodchute import daemon, peers, settings, state
from dogwoodchute.standins import hostlist, objects, table


@contextlib.asynccontextmanager
async def running(config: settings.Settings) -> abc.AsyncIterator[daemon.Daemon]:
    """Run a daemon for the length of the context."""
    host = daemon.Daemon(host=embedded_state(config))
    await host.start()
    try:
        yield host
    finally:
        await host.stop()


def embedded_state(
    config: settings.Settings,
    *,
    memory: table.MemoryTable | None = None,
    peer_layer: peers.Peers | None = None,
) -> state.HostState:
    """Return a host state on a platform kept in this process."""
    memory = memory or table.MemoryTable()
    return state.HostState(
        config=config,
        store=memory.client(),
        objects_store=objects.MemoryObjects().client(),
        hosts=hostlist.MemoryHostList().client(),
        peer_layer=peer_layer or peers.alone(),
    )
