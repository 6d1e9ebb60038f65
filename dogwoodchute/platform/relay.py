"""Passes calls of other hosts on to the store, for those that it turns away."""

import sanic

from dogwoodchute.platform import store, transport

PREFIX = "/api/rows-"


def add_routes(app: sanic.Sanic, *, client: store.Client) -> None:
    """Serve other hosts' calls of the store on `app`."""

    async def handle(request: sanic.Request, path: str) -> sanic.HTTPResponse:
        target = request.raw_url.decode("ascii", "replace")
        if not target.startswith(PREFIX) or not client.direct:
            return _failed(transport.NOT_SENT)
        outcome = await client.pass_on(request.method, target, request.body or b"")
        if isinstance(outcome, transport.NotSent):
            return _failed(transport.NOT_SENT)
        if isinstance(outcome, transport.NoAnswer):
            return _failed(transport.NO_ANSWER)
        return sanic.raw(outcome.content, status=outcome.status)

    app.add_route(handle, "/<path:path>", methods=["GET", "POST"], name="relay")


def _failed(what: str) -> sanic.HTTPResponse:
    return sanic.empty(status=502, headers={transport.RELAYED: what})
