"""Runs a host's daemon, connected to its platform and peers by its settings."""

import contextlib
from collections import abc

from dogwoodchute import daemon, peer_streams, peer_tls, peers, settings, state
from dogwoodchute.platform import connect
from dogwoodchute.standins import table


@contextlib.asynccontextmanager
async def running(
    config: settings.Settings, *, platform: connect.Platform | None = None
) -> abc.AsyncIterator[daemon.Daemon]:
    """Run a daemon until the context ends.

    `platform` overrides the one that the settings name, so that several hosts in one
    process can share it. A host with its own embedded platform has no peers.
    """
    has_no_peers = platform is None and config.platform.mode == "embedded"
    services = platform or connect.connect(config.platform)
    streams = None
    if not has_no_peers:
        streams = peer_streams.Streams(config=config, tls=peer_tls.contexts(config.tls))
    peer_layer = streams.peer_layer() if streams is not None else None
    host_daemon = daemon.Daemon(
        host=host_state(config, services, peer_layer=peer_layer), streams=streams
    )
    await host_daemon.start()
    try:
        yield host_daemon
    finally:
        await host_daemon.stop()
        await services.close()


def host_state(
    config: settings.Settings,
    services: connect.Platform,
    *,
    peer_layer: peers.Peers | None = None,
) -> state.HostState:
    """Return the state of a host on a platform.

    Without `peer_layer` the host has no peers.
    """
    return state.HostState(
        config=config,
        store=services.store,
        objects_store=services.objects,
        hosts=services.hosts,
        weight_store=services.weight_store,
        peer_layer=peer_layer or peers.without_peers(),
    )


def embedded_state(
    config: settings.Settings,
    *,
    memory: table.MemoryTable | None = None,
    peer_layer: peers.Peers | None = None,
) -> state.HostState:
    """Return the state of a host on a platform that runs in this process."""
    services = connect.embedded(tables=memory)
    return host_state(config, services, peer_layer=peer_layer)
