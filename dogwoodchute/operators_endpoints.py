"""The operators' route on endpoints, as this host sees them."""

import sanic

from dogwoodchute import state
from dogwoodchute.controllers import endpoints as endpoint_state


def add_routes(
    app: sanic.Sanic, *, host: state.HostState, endpoints: endpoint_state.Endpoints
) -> None:
    """Register the route on `app`."""

    async def list_endpoints(request: sanic.Request) -> sanic.HTTPResponse:
        return sanic.json({"endpoints": describe(host, endpoints)})

    app.add_route(list_endpoints, "/ops/v1/endpoints", name="endpoints")


def describe(
    host: state.HostState, endpoints: endpoint_state.Endpoints
) -> list[dict[str, object]]:
    """Return what this host knows of each endpoint, ordered by service and name."""
    now = host.now()
    described = []
    for service, admission in sorted(endpoints.admissions.items()):
        for name, endpoint in sorted(admission.endpoints.items()):
            limit = admission.limit(name)
            report = limit.report
            described.append(
                {
                    "name": name,
                    "service": service,
                    "region": endpoint.region,
                    "limit": limit.value,
                    "own": limit.own,
                    "running": report.running if report else None,
                    "waiting": report.waiting if report else None,
                    "report_age": round(now - report.at, 3) if report else None,
                    "weight": admission.ejector.weight(name, now),
                    "ejected": admission.ejector.reason(name, now),
                    "leaving": endpoints.leaving.signals(name),
                }
            )
    return described
