"""HTTP for callers: requests, answers, readiness and the directory of hosts."""

import math
import re
from collections import abc

import sanic
from sanic import compat

from dogwoodchute import clock, connection, log, outcomes
from dogwoodchute.gateway import calls, model
from dogwoodchute.platform import names

METHODS = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")
TOKEN = re.compile(r"^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")  # RFC 9110, section 5.6.2
CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
MAX_PARTS = 256  # of a prompt

Serve = abc.Callable[[calls.Call], abc.Awaitable[outcomes.Outcome]]


class BadRequest(Exception):
    """The request breaks the protocol; the caller gets the text."""


def add_routes(
    app: sanic.Sanic, *, serve: Serve, leaving: abc.Callable[[], bool]
) -> None:
    """Serve all requests to `app`; while `leaving()`, close connections after each."""

    async def handle(request: sanic.Request, path: str = "") -> None:
        if leaving():
            request.stream.keep_alive = False
        try:
            decoded = decode(request)
        except BadRequest as error:
            request.stream.keep_alive = False
            log.info("bad_request", reason=str(error))
            await _refuse(request, 400, "bad_request", str(error), None)
            return
        reply = _reply(request)
        call = calls.Call(request=decoded, reply=reply, received=clock.monotonic())
        outcome = await serve(call)
        if isinstance(outcome, outcomes.Answered):
            return
        if call.reply_started:
            reply.abort()
            return
        await _refuse(
            request,
            outcome.status,
            outcome.code,
            outcome.message,
            outcome.retry_after,
        )

    app.add_route(handle, "/", methods=METHODS, name="root")
    app.add_route(handle, "/<path:path>", methods=METHODS, name="any")


def add_readiness(app: sanic.Sanic, *, ready: abc.Callable[[], bool]) -> None:
    """Answer the platform's readiness checks of this host."""

    async def handle(request: sanic.Request) -> sanic.HTTPResponse:
        return sanic.empty(200 if ready() else 503)

    app.add_route(handle, names.READINESS_PATH, name="ready")


def add_directory(
    app: sanic.Sanic,
    *,
    addresses: abc.Callable[[str, str, str], list[str]],
    ttl: float,
) -> None:
    """Serve the directory, which answers which hosts a caller should use.

    `addresses` returns them by the caller's data centre and region, and the host name
    of its requests. Callers may keep an answer for `ttl` seconds.
    """

    async def handle(request: sanic.Request) -> sanic.HTTPResponse:
        asked = request.args
        hosts = addresses(
            asked.get("zone", ""), asked.get("region", ""), asked.get("name", "")
        )
        if not hosts:
            return sanic.json({"error": "no host is ready"}, status=503)
        return sanic.json({"addresses": hosts, "ttlS": ttl})

    app.add_route(handle, names.DIRECTORY_PATH, name="directory")


def decode(request: sanic.Request) -> calls.Request:
    """Return a caller's request; raise `BadRequest` if it breaks the protocol."""
    forwarded = []
    for name, value in request.headers.items():
        if not TOKEN.match(name) or CONTROL_CHARACTER.search(value):
            raise BadRequest("a header is malformed")
        lower = name.lower()
        if lower in names.RESERVED or lower in names.HOP_BY_HOP:
            continue
        forwarded.append((name, value))
    host = _header(request, "Host")
    attempt_id = _header(request, names.ATTEMPT_ID)
    if not host or not attempt_id:
        raise BadRequest("the host name or the attempt's id is missing")
    path, _, query = request.raw_url.decode("ascii").partition("?")
    if not path.startswith("/"):
        raise BadRequest("the target is not a path")
    return calls.Request(
        attempt_id=attempt_id,
        host=host.partition(":")[0].lower(),
        method=request.method,
        path=path,
        query=query,
        headers=tuple(forwarded),
        body=request.body or b"",
        key=_header(request, names.API_KEY),
        wait=_parse_deadline(_header(request, names.DEADLINE_MS)),
        prompt=_prompt(request),
        last_event_id=_header(request, names.LAST_EVENT_ID),
        resumes=_header(request, names.RESUMES) or None,
    )


def _header(request: sanic.Request, name: str) -> str | None:
    """Return a header's value, None without it; reject one that is repeated."""
    values = request.headers.getall(name, [])
    if len(values) > 1:
        raise BadRequest(f"{name} comes more than once")
    return values[0].strip() if values else None


def _parse_deadline(text: str | None) -> float | None:
    """Return the seconds that the caller waits, None without a deadline."""
    if text is None:
        return None
    try:
        milliseconds = float(text)
    except ValueError as error:
        raise BadRequest("the time limit is not a number") from error
    if not math.isfinite(milliseconds) or milliseconds <= 0:
        raise BadRequest("the time limit is not above zero")
    return milliseconds / 1000


def _prompt(request: sanic.Request) -> model.Prompt | None:
    counts = _header(request, names.TOKEN_COUNT)
    if counts is None:
        return None
    try:
        input_tokens, max_output = (int(n) for n in counts.split(","))
    except ValueError as error:
        raise BadRequest("the token counts are not two numbers") from error
    if input_tokens < 0 or max_output < 0:
        raise BadRequest("a token count is negative")
    prefix = _header(request, names.PROMPT_PREFIX)
    return model.Prompt(input_tokens, max_output, _parse_parts(prefix or ""))


def _parse_parts(prefix: str) -> tuple[model.Part, ...]:
    """Return the parts of a prompt that are listed as `name:tokens,...`."""
    parts = []
    for entry in prefix.split(","):
        if not entry:
            continue
        name, _, tokens = entry.strip().partition(":")
        if not name or not tokens.isdecimal():
            raise BadRequest("a part of the prompt is malformed")
        parts.append(model.Part(name, int(tokens)))
    if len(parts) > MAX_PARTS:
        raise BadRequest("the prompt has too many parts")
    return tuple(parts)


def _reply(request: sanic.Request) -> calls.Reply:
    """Return the writer of the answer to `request`."""
    open_response: list = []  # the streamed response, once it has started

    async def whole(status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        response = await _respond(request, status, headers)
        if request.method == "HEAD":
            await response.send(b"", True)
            return
        response.headers["content-length"] = str(len(body))
        await response.send(body, True)

    async def start(status: int, headers: list[tuple[str, str]]) -> None:
        response = await _respond(request, status, headers)
        open_response.append(response)
        await response.send(b"")

    async def chunk(data: bytes) -> None:
        await open_response[0].send(data)

    async def end() -> None:
        await open_response[0].send(b"", True)

    def abort() -> None:
        request.stream.keep_alive = False
        attempt_id = request.headers.get(names.ATTEMPT_ID)
        request.stream.protocol.force_close(connection.ABORT, request=attempt_id)

    return calls.Reply(
        whole=whole,
        start=start,
        chunk=chunk,
        end=end,
        abort=abort,
        has_left=request.stream.protocol.has_left,
    )


async def _respond(
    request: sanic.Request, status: int, headers: list[tuple[str, str]]
) -> sanic.HTTPResponse:
    response_headers = compat.Header()
    content_type = None
    for name, value in headers:
        if name.lower() == "content-type":
            content_type = value
            continue
        response_headers.add(name, value)
    return await request.respond(
        status=status, headers=response_headers, content_type=content_type
    )


async def _refuse(
    request: sanic.Request,
    status: int,
    code: str,
    message: str,
    retry_after: float | None,
) -> None:
    headers = {}
    if retry_after is not None:
        headers[names.RETRY_AFTER] = f"{retry_after:.2f}"
    body = sanic.json({"error": {"code": code, "message": message}}).body
    response = await request.respond(
        status=status, headers=headers, content_type="application/json"
    )
    await response.send(body, True)
