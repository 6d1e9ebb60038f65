"""The operators' routes on hosts: the fleet as this host sees it, and drain."""

import http

import sanic

from dogwoodchute import callers_locate, drain, peers, state
from dogwoodchute.coordination import ranking

DRAIN_CALL = "drain"  # kind of the call that asks a peer to drain
CALL_TIMEOUT = 5.0  # seconds


def add_routes(
    app: sanic.Sanic, *, host: state.HostState, host_drain: drain.Drain
) -> None:
    """Register the routes on `app`, and the call by which peers pass a drain on."""

    async def hosts(request: sanic.Request) -> sanic.HTTPResponse:
        taking = {c.host for c in ranking.eligible(callers_locate.candidates(host))}
        rows = [_own(host)] + [_row(peer) for peer in host.peers.known()]
        for row in rows:
            row["takes_callers"] = row["host"] in taking
        return sanic.json({"hosts": sorted(rows, key=lambda row: row["host"])})

    async def drain_this(request: sanic.Request) -> sanic.HTTPResponse:
        return sanic.json(_begin(request.args.get("now") == "1"))

    async def drain_named(request: sanic.Request, name: str) -> sanic.HTTPResponse:
        now = request.args.get("now") == "1"
        if name == host.config.host.id:
            return sanic.json(_begin(now))
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

    async def drain_call(peer: str, body: dict) -> dict:
        return _begin(bool(body.get("now")))

    def _begin(now: bool) -> dict:
        if now:
            host_drain.finish_now("operator")
        else:
            host_drain.begin("operator")
        return {
            "host": host.config.host.id,
            "phase": host_drain.phase,
            "in_flight": host.in_flight,
        }

    host.peers.handle(DRAIN_CALL, drain_call)
    app.add_route(hosts, "/ops/v1/hosts", methods=["GET"], name="hosts")
    app.add_route(drain_this, "/ops/v1/drain", methods=["POST"], name="drain")
    app.add_route(
        drain_named, "/ops/v1/hosts/<name:str>/drain", methods=["POST"], name="drains"
    )


def _own(host: state.HostState) -> dict:
    place = host.config.host
    return {
        "host": place.id,
        "incarnation": host.incarnation,
        "region": place.region,
        "data_centre": place.data_centre,
        "address": host.caller_address,
        "alive": True,
        "leaving": host.leaving,
        "stale": host.stale,
        "load": host.load,
    }


def _row(peer: peers.Peer) -> dict:
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
