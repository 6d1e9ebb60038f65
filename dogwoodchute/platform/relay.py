"""Relays other hosts' calls to the store, for hosts that the store refuses.

Answers to reads are streamed: a host that waits for a large one sees that it is
arriving.
"""

import sanic

from dogwoodchute import connection
from dogwoodchute.platform import names, store, transport

PREFIX = "/api/rows-"


def add_routes(app: sanic.Sanic, *, client: store.Client) -> None:
    """Relay other hosts' calls that `app` receives, through `client`."""

    async def handle(request: sanic.Request, path: str) -> sanic.HTTPResponse:
        target = request.raw_url.decode("ascii", "replace")
        if not target.startswith(PREFIX) or not client.is_store_reachable:
            return _failure_response(transport.NOT_SENT)
        if request.method == "GET":
            return await _stream(request, target, client)
        outcome = await client.call_for_host(
            request.method, target, request.body or b""
        )
        if isinstance(outcome, transport.Answer):
            headers = _era_header(outcome.era)
            return sanic.raw(outcome.content, status=outcome.status, headers=headers)
        return _outcome_response(outcome)

    app.add_route(handle, "/<path:path>", methods=["GET", "POST"], name="relay")


async def _stream(
    request: sanic.Request, target: str, client: store.Client
) -> sanic.HTTPResponse | None:
    response = None

    async def begin(status: int, era: int) -> None:
        nonlocal response
        response = await request.respond(status=status, headers=_era_header(era))

    async def write(chunk: bytes) -> None:
        await response.send(chunk)

    sink = transport.Sink(begin, write)
    outcome = await client.call_for_host("GET", target, b"", sink=sink)
    if response is None:
        return _outcome_response(outcome)
    if isinstance(outcome, transport.Answer):
        await response.eof()
    else:
        # The status is sent already, so only an aborted connection can show the other
        # host that the answer is incomplete.
        request.stream.protocol.force_close(connection.ABORT)
    return None


def _outcome_response(outcome: transport.CallOutcome) -> sanic.HTTPResponse:
    if isinstance(outcome, transport.NotSent):
        return _failure_response(transport.NOT_SENT)
    return _failure_response(transport.NO_ANSWER)


def _era_header(era: int) -> dict[str, str]:
    return {names.STORE_ERA: str(era)} if era else {}


def _failure_response(relay_status: str) -> sanic.HTTPResponse:
    return sanic.empty(
        status=502, headers={transport.RELAY_STATUS_HEADER: relay_status}
    )
