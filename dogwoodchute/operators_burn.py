"""The operators' route on service-level burn, how fast error budgets are used up."""

from collections import abc

import sanic

from dogwoodchute import clock, state
from dogwoodchute.controllers import burn, burn_report

CACHE_SECONDS = 15.0  # during which a report is reused


def add_routes(
    app: sanic.Sanic,
    *,
    host: state.HostState,
    burn_summaries: burn.BurnSummaries,
    wall: abc.Callable[[], float] = clock.wall,
) -> None:
    """Register the route on `app`."""
    cached: list[tuple[float, dict]] = []  # time and body of the last report, if any

    async def report(request: sanic.Request) -> sanic.HTTPResponse:
        now = host.now()
        if not cached or now - cached[0][0] > CACHE_SECONDS:
            summaries, remarks = await burn_summaries.gather()
            at = wall()
            objectives = burn_report.make(host.current.services, summaries, at)
            body = {"at": at, "objectives": objectives, "remarks": remarks}
            cached[:] = [(now, body)]
        return sanic.json(cached[0][1])

    app.add_route(report, "/ops/v1/burn", name="burn")
