"""The operators' view of endpoints."""

import sanic

from dogwoodchute import state
from dogwoodchute.controllers import endpoints as endpoint_state


def add_routes(
    app: sanic.Sanic, *, host: state.HostState, endpoints: endpoint_state.Endpoints
) -> None:
    """Register the routes on `app`."""

    async def listing(request: sanic.Request) -> sanic.HTTPResponse:
        return sanic.json({"endpoints": describe(host, endpoints)})

    app.add_route(listing, "/ops/v1/endpoints", name="endpoints")


def describe(
    host: state.HostState, endpoints: endpoint_state.Endpoints
) -> list[dict[str, object]]:
    """Return what this host knows of each endpoint, ordered by service and name."""
    now = host.now()
    described = []
    for service, admitted in sorted(endpoints.admissions.items()):
        for name, site in sorted(admitted.endpoints.items()):
            limit = admitted.limit(name)
            report = limit.report
            described.append(
                {
                    "name": name,
                    "service": service,
                    "region": site.region,
                    "limit": limit.value,
                    "own": limit.own,
                    "running": report.running if report else None,
                    "waiting": report.waiting if report else None,
                    "report_age": round(now - report.at, 3) if report else None,
                    "weight": admitted.ejector.weight(name, now),
                    "ejected": admitted.ejector.reason(name, now),
                    "leaving": endpoints.leaving.signals(name),
                }
            )
    return described
