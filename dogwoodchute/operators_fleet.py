"""The operators' routes on hosts: the fleet as this host sees it, and draining."""

import http

import sanic

from dogwoodchute import callers_locate, drain, peers, state
from dogwoodchute.coordination import ranking

DRAIN_CALL = "drain"  # kind of the call that asks a peer to drain
CALL_TIMEOUT = 5.0  # seconds


def add_routes(
    app: sanic.Sanic, *, host: state.HostState, host_drain: drain.Drain
) -> None:
    """Register the routes on `app`, and the handler of drain requests from peers."""

    async def list_hosts(request: sanic.Request) -> sanic.HTTPResponse:
        eligible = {c.host for c in ranking.eligible(callers_locate.candidates(host))}
        rows = [_own_row(host)] + [_peer_row(peer) for peer in host.peers.known()]
        for row in rows:
            row["takes_callers"] = row["host"] in eligible
        return sanic.json({"hosts": sorted(rows, key=lambda row: row["host"])})

    async def drain_this_host(request: sanic.Request) -> sanic.HTTPResponse:
        return sanic.json(_drain(request.args.get("now") == "1"))

    async def drain_named_host(request: sanic.Request, name: str) -> sanic.HTTPResponse:
        now = request.args.get("now") == "1"
        if name == host.config.host.id:
            return sanic.json(_drain(now))
        outcome = await host.peers.call(name, DRAIN_CALL, {"now": now}, CALL_TIMEOUT)
        if isinstance(outcome, peers.Answer):
            return sanic.json(outcome.body)
        body = {
            "code": "host_unreachable",
            "message": f"Host {name} did not answer ({outcome.reason}).",
            "step": outcome.step,
        }
        status = int(http.HTTPStatus.BAD_GATEWAY)
        return sanic.json({"error": body}, status=status)

    async def handle_drain_call(peer: str, body: dict) -> dict:
        return _drain(bool(body.get("now")))

    def _drain(now: bool) -> dict:
        if now:
            host_drain.finish_now("operator")
        else:
            host_drain.begin("operator")
        return {
            "host": host.config.host.id,
            "phase": host_drain.phase,
            "in_flight": host.in_flight,
        }

    host.peers.handle(DRAIN_CALL, handle_drain_call)
    app.add_route(list_hosts, "/ops/v1/hosts", methods=["GET"], name="hosts")
    app.add_route(drain_this_host, "/ops/v1/drain", methods=["POST"], name="drain")
    app.add_route(
        drain_named_host,
        "/ops/v1/hosts/<name:str>/drain",
        methods=["POST"],
        name="drains",
    )


def _own_row(host: state.HostState) -> dict:
    config = host.config.host
    return {
        "host": config.id,
        "incarnation": host.incarnation,
        "region": config.region,
        "data_centre": config.data_centre,
        "address": host.caller_address,
        "alive": True,
        "leaving": host.leaving,
        "stale": host.stale,
        "load": host.load,
    }


def _peer_row(peer: peers.Peer) -> dict:
    return {
        "host": peer.host,
        "incarnation": peer.incarnation,
        "region": peer.region,
        "data_centre": peer.data_centre,
        "address": peer.caller_address,
        "alive": peer.alive,
        "leaving": peer.leaving,
        "stale": peer.hints.get("stale", False),
        "load": peer.hints.get("load", 0.0),
    }
