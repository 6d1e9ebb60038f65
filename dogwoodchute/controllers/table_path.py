"""Limits a host's calls of the table service, and relays calls for peers."""

import prometheus_client

from dogwoodchute import controller, state
from dogwoodchute.platform import table_client, table_relay

HINT_INTERVAL = 1.0  # seconds
PEERS_SHARE = 0.5  # of the rate limit, in addition to it, for calls of peers
REACHABLE = prometheus_client.Gauge(
    "dogwoodchute_table_reachable", "1 while the direct path to the table answers"
)


def make(host: state.HostState) -> controller.Controller:
    """Replace the host's table by a guarded client, and register the relay for peers.

    Return the controller that publishes as a hint whether the direct path works.
    """
    inner = host.store
    limits = table_client.Limits(
        rate=host.config.platform.table_rate,
        burst=2 * host.config.platform.table_rate,
    )
    client = table_client.Client(
        inner=inner,
        now=host.now,
        rng=host.rng,
        limits=limits,
        relay=table_relay.through_peers(host.peers, rng=host.rng),
    )
    for_peers = table_client.Client(
        inner=inner,
        now=host.now,
        rng=host.rng,
        limits=limits._replace(
            rate=PEERS_SHARE * limits.rate, burst=PEERS_SHARE * limits.burst
        ),
    )
    host.store = client.bounded_table
    host.definite_store = client.definite_table
    host.peers.handle(table_relay.KIND, table_relay.handler(for_peers.single_try_table))

    async def publish() -> None:
        REACHABLE.set(client.is_reachable)
        host.peers.set_hint(table_relay.HINT, client.is_reachable)

    return controller.periodic("table_path", publish, interval=HINT_INTERVAL)
