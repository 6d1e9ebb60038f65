"""The operators' route on service-level burn."""

from collections import abc

import sanic

from dogwoodchute import clock, state
from dogwoodchute.controllers import burn, burn_report

CACHE_SECONDS = 15.0  # that a report is kept


def add_routes(
    app: sanic.Sanic,
    *,
    host: state.HostState,
    burn_summaries: burn.BurnSummaries,
    wall: abc.Callable[[], float] = clock.wall,
) -> None:
    """Register the route on `app`."""
    kept: list[tuple[float, dict]] = []

    async def report(request: sanic.Request) -> sanic.HTTPResponse:
        now = host.now()
        if not kept or now - kept[0][0] > CACHE_SECONDS:
            summaries, remarks = await burn_summaries.gather()
            at = wall()
            objectives = burn_report.make(host.current.services, summaries, at)
            body = {"at": at, "objectives": objectives, "remarks": remarks}
            kept[:] = [(now, body)]
        return sanic.json(kept[0][1])

    app.add_route(report, "/ops/v1/burn", name="burn")
