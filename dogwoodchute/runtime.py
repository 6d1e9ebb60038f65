"""Connects a host's settings to the platform and its peers, and runs its daemon."""

import contextlib
from collections import abc

from dogwoodchute import daemon, peer_streams, peer_tls, peers, settings, state
from dogwoodchute.platform import connect
from dogwoodchute.standins import table


@contextlib.asynccontextmanager
async def running(
    config: settings.Settings, *, platform: connect.Platform | None = None
) -> abc.AsyncIterator[daemon.Daemon]:
    """Run a daemon for the length of the context.

    `platform` takes the place of what the settings name, so that several hosts of one
    process can share it. A host on an embedded platform of its own has no peers.
    """
    alone = platform is None and config.platform.mode == "embedded"
    services = platform or connect.connect(config.platform)
    streams = None
    if not alone:
        streams = peer_streams.Streams(config=config, tls=peer_tls.contexts(config.tls))
    layer = streams.layer() if streams is not None else None
    host = daemon.Daemon(
        host=host_state(config, services, peer_layer=layer), streams=streams
    )
    await host.start()
    try:
        yield host
    finally:
        await host.stop()
        await services.close()


def host_state(
    config: settings.Settings,
    services: connect.Platform,
    *,
    peer_layer: peers.Peers | None = None,
) -> state.HostState:
    """Return the state of a host on a platform, alone without a `peer_layer`."""
    return state.HostState(
        config=config,
        store=services.store,
        objects_store=services.objects,
        hosts=services.hosts,
        weight_store=services.weight_store,
        peer_layer=peer_layer or peers.alone(),
    )


def embedded_state(
    config: settings.Settings,
    *,
    memory: table.MemoryTable | None = None,
    peer_layer: peers.Peers | None = None,
) -> state.HostState:
    """Return a host state on a platform kept in this process."""
    services = connect.embedded(tables=memory)
    return host_state(config, services, peer_layer=peer_layer)
