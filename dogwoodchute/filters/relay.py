"""Relays a request to a peer that has tokens, if this host can get none."""

import prometheus_client

from dogwoodchute import (
    exchange as exchanges,
    forward,
    log,
    outcomes,
    peers,
    relays,
    state,
)
from dogwoodchute.controllers import recall

REFUSALS = frozenset({"budget_spent", "budget_out_of_reach"})
MAX_TRIES = 2  # peers

RELAYS = prometheus_client.Counter(
    "dogwoodchute_relays", "Requests passed on to a peer, by outcome", ["outcome"]
)


def make(*, host: state.HostState, forwarder: forward.Forwarder) -> exchanges.Filter:
    """Return the filter. A request that a peer relayed is not relayed again.

    Hosts with TLS on the callers' listener relay nothing: peers are addressed by IP
    number, which their certificates don't name.
    """
    uses_tls = bool(host.config.tls.caller_certificate)

    async def relay(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        original_reply = exchange.reply
        refusal = await proceed()
        if not isinstance(refusal, outcomes.NotRun) or refusal.code not in REFUSALS:
            return refusal
        if (
            uses_tls
            or exchange.resume is not None
            or relays.was_relayed(exchange, host=host)
        ):
            return refusal
        exchange.reply = original_reply
        for peer in peers_with_tokens(exchange, host=host)[:MAX_TRIES]:
            session = forwarder.session(fresh=not exchange.idempotent)
            outcome = await relays.forward_to_peer(
                exchange, peer, host=host, session=session
            )
            if isinstance(outcome, peers.NotSent):
                log.info("relay_not_sent", peer=peer.host, reason=outcome.reason)
                continue
            RELAYS.labels(outcomes.label(outcome)).inc()
            if isinstance(outcome, outcomes.NotRun) and outcome.code in REFUSALS:
                continue
            return outcome
        return refusal

    return relay


def peers_with_tokens(
    exchange: exchanges.Exchange, *, host: state.HostState
) -> list[peers.Peer]:
    """Return the live peers whose hints promise enough tokens, best first.

    Peers of this host's region come first, then those with the most tokens.
    """
    account = exchange.account.name
    found = []
    for peer in host.peers.known():
        if not peer.alive or peer.leaving or not peer.caller_address:
            continue
        if recall.lendable_tokens(peer, account) >= exchange.reserved:
            found.append(peer)
    region = host.config.host.region
    found.sort(
        key=lambda peer: (peer.region != region, -recall.lendable_tokens(peer, account))
    )
    return found
