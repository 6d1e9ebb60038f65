"""The locate route, which lists the hosts that a caller should use."""

import http

import sanic

from dogwoodchute import callers, state
from dogwoodchute.coordination import ranking


def add_routes(app: sanic.Sanic, *, host: state.HostState) -> None:
    """Register the locate route on `app`."""

    async def locate(request: sanic.Request) -> sanic.HTTPResponse:
        account = host.account_of_key(callers.bearer(request) or "")
        if account is None:
            return callers.unauthorized()
        options = host.config.locate
        ranked = ranking.rank(
            account.name,
            candidates(host),
            region=host.config.host.region,
            near=options.near + account.weight - 1,
            far=options.far,
            spread=account.weight,
            caller=request.ip,
        )
        addresses = _addresses(host)
        hosts = [
            {"host": c.host, "region": c.region, "address": addresses[c.host]}
            for c in ranked
        ]
        if not hosts:
            return _no_host()
        body = {"account": account.name, "hosts": hosts, "lifetime": options.lifetime}
        headers = {"Cache-Control": f"private, max-age={int(options.lifetime)}"}
        return sanic.json(body, headers=headers)

    app.add_route(locate, "/v1/locate", methods=["GET"], name="locate")


def candidates(host: state.HostState) -> list[ranking.Candidate]:
    """Return this host and all known hosts that have an address for callers."""
    identity = host.config.host
    own = ranking.Candidate(
        identity.id,
        identity.region,
        load=host.load,
        alive=host.ready,
        leaving=host.leaving,
        stale=host.stale,
    )
    found = [own]
    for peer in host.peers.known():
        if not peer.caller_address:
            continue
        found.append(
            ranking.Candidate(
                peer.host,
                peer.region,
                load=peer.hints.get("load", 0.0),
                alive=peer.alive,
                leaving=peer.leaving,
                stale=peer.hints.get("stale", False),
            )
        )
    return found


def _addresses(host: state.HostState) -> dict[str, str]:
    addresses = {p.host: p.caller_address for p in host.peers.known()}
    addresses[host.config.host.id] = host.caller_address
    return addresses


def _no_host() -> sanic.HTTPResponse:
    body = {
        "code": "no_host",
        "message": "No host takes callers now; ask again, or ask another host.",
        "outcome": "not_run",
    }
    return sanic.json(
        {"error": body},
        status=int(http.HTTPStatus.SERVICE_UNAVAILABLE),
        headers={"Retry-After": "1"},
    )
