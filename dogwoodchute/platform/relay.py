"""Passes calls of other hosts on to the store, for those that it turns away.

Answers to reads are passed on as they come: a host that waits for a large one sees that
it is on its way.
"""

import sanic

from dogwoodchute import connection
from dogwoodchute.platform import store, transport

PREFIX = "/api/rows-"


def add_routes(app: sanic.Sanic, *, client: store.Client) -> None:
    """Serve other hosts' calls of the store on `app`."""

    async def handle(request: sanic.Request, path: str) -> sanic.HTTPResponse:
        target = request.raw_url.decode("ascii", "replace")
        if not target.startswith(PREFIX) or not client.is_store_reachable:
            return _failed(transport.NOT_SENT)
        if request.method == "GET":
            return await _stream(request, target, client)
        outcome = await client.call_for_host(
            request.method, target, request.body or b""
        )
        if isinstance(outcome, transport.Answer):
            return sanic.raw(outcome.content, status=outcome.status)
        return _failure(outcome)

    app.add_route(handle, "/<path:path>", methods=["GET", "POST"], name="relay")


async def _stream(
    request: sanic.Request, target: str, client: store.Client
) -> sanic.HTTPResponse | None:
    response = None

    async def begin(status: int) -> None:
        nonlocal response
        response = await request.respond(status=status)

    async def write(chunk: bytes) -> None:
        await response.send(chunk)

    sink = transport.Sink(begin, write)
    outcome = await client.call_for_host("GET", target, b"", sink=sink)
    if response is None:
        return _failure(outcome)
    if isinstance(outcome, transport.Answer):
        await response.eof()
    else:
        # The answer has begun, so only its end can tell that it is not whole.
        request.stream.protocol.force_close(connection.ABORT)
    return None


def _failure(outcome: transport.CallOutcome) -> sanic.HTTPResponse:
    if isinstance(outcome, transport.NotSent):
        return _failed(transport.NOT_SENT)
    return _failed(transport.NO_ANSWER)


def _failed(what: str) -> sanic.HTTPResponse:
    return sanic.empty(status=502, headers={transport.RELAY_STATUS_HEADER: what})
