"""The HTTP API for callers."""

import asyncio
import json
import secrets
from collections import abc

import sanic

from dogwoodchute import clock, exchange as exchanges, log, metrics, outcomes, state

MAX_KEY = 128  # characters of an Idempotency-Key
NON_IDEMPOTENT = "x-non-idempotent"
PLAIN_METHODS = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")

Run = abc.Callable[[exchanges.Exchange], abc.Awaitable[outcomes.Outcome]]


def add_routes(app: sanic.Sanic, *, host: state.HostState, run: Run) -> None:
    """Register the callers' routes on `app`; `run` is the filter chain."""

    async def chat(request: sanic.Request) -> sanic.HTTPResponse | None:
        return await serve(request, host=host, run=run, service=None, path="")

    async def plain(
        request: sanic.Request, service: str, path: str
    ) -> sanic.HTTPResponse | None:
        raw = request.raw_url.decode("ascii", "replace").partition("?")[0]
        rest = raw.removeprefix("/services/").partition("/")[2]
        return await serve(
            request, host=host, run=run, service=service, path=f"/{rest}"
        )

    async def models(request: sanic.Request) -> sanic.HTTPResponse:
        account = host.account_of_key(bearer(request) or "")
        if account is None:
            return unauthorized()
        names = [n for n in account.services if n in host.current.services]
        data = [{"id": name, "object": "model"} for name in sorted(names)]
        return sanic.json({"object": "list", "data": data})

    app.add_route(chat, exchanges.CHAT_PATH, methods=["POST"], name="chat")
    app.add_route(models, "/v1/models", methods=["GET"], name="models")
    app.add_route(
        plain,
        "/services/<service:str>/<path:path>",
        methods=PLAIN_METHODS,
        name="plain",
    )


def bearer(request: sanic.Request) -> str | None:
    """Return the bearer token of a request, None if it has none."""
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None


def unauthorized() -> sanic.HTTPResponse:
    """Return the 401 reply to a request without a valid key."""
    body = {"code": "unknown_key", "message": "Send 'Authorization: Bearer <key>'."}
    return sanic.json({"error": {**body, "outcome": "not_run"}}, status=401)


def error_body(outcome: outcomes.NotRun | outcomes.Unknown, request_key: str) -> dict:
    """Return the JSON body of a reply or error event for an outcome without answer."""
    error = {
        "code": outcome.code,
        "message": outcome.message,
        "request_key": request_key,
        "outcome": outcomes.label(outcome),
        "step": outcome.step,
    }
    return {"error": error}


async def serve(
    request: sanic.Request,
    *,
    host: state.HostState,
    run: Run,
    service: str | None,
    path: str,
) -> sanic.HTTPResponse | None:
    """Run one HTTP request through the filter chain and write its outcome.

    Returns the response, None if it has been streamed already.
    """
    key = request.headers.get("idempotency-key", "").strip().strip('"')
    request_key = key or secrets.token_hex(16)
    if len(request_key) > MAX_KEY or not request_key.isprintable():
        refusal = outcomes.refuse(
            400,
            "bad_idempotency_key",
            f"Use an Idempotency-Key of 1 to {MAX_KEY} printable characters.",
            step="read",
        )
        return sanic.json(error_body(refusal, ""), status=400)
    writer = _Writer(request=request, request_key=request_key)
    declared = request.headers.get(NON_IDEMPOTENT)
    exchange = exchanges.Exchange(
        request=exchanges.Request(
            method=request.method,
            path=path,
            query=request.query_string,
            headers=dict(request.headers),
            body=request.body,
            bearer=bearer(request),
            service=service,
            idempotency_key=key or None,
            idempotent=(
                None if declared is None else declared.lower() not in ("1", "true")
            ),
        ),
        reply=exchanges.Reply(start=writer.start, chunk=writer.chunk),
        received=clock.monotonic(),
        request_key=request_key,
    )
    exchange.deadline = exchange.received + host.config.limits.total_timeout
    # The chain runs in its own task, so that a disconnecting caller cancels neither
    # a commit nor the settling of a claim.
    task = asyncio.create_task(_run_counted(exchange, host=host, run=run))
    try:
        outcome = await asyncio.shield(task)
    except asyncio.CancelledError:
        exchange.caller_disconnected.set()
        raise
    return await writer.finish(exchange, outcome)


async def _run_counted(
    exchange: exchanges.Exchange, *, host: state.HostState, run: Run
) -> outcomes.Outcome:
    host.in_flight += 1
    metrics.in_flight.inc()
    try:
        outcome = await run(exchange)
    except Exception:
        log.exception("request_failed", request=exchange.request_key)
        outcome = _internal_error(exchange)
    finally:
        host.in_flight -= 1
        metrics.in_flight.dec()
    _report(exchange, outcome)
    return outcome


def _report(exchange: exchanges.Exchange, outcome: outcomes.Outcome) -> None:
    """Log a request's outcome and record its metrics."""
    elapsed = clock.monotonic() - exchange.received
    service = exchange.service.name if exchange.service else ""
    label = outcomes.label(outcome)
    metrics.requests.labels(service, label, getattr(outcome, "code", "")).inc()
    metrics.seconds.labels(service).observe(elapsed)
    metrics.tokens.labels(service).inc(exchange.used)
    if exchange.first_token is not None:
        wait = exchange.first_token - exchange.received
        metrics.first_token_seconds.labels(service).observe(wait)
    log.info(
        "request",
        request=exchange.request_key,
        account=exchange.account.name if exchange.account else None,
        service=service or None,
        outcome=label,
        code=getattr(outcome, "code", None),
        step=getattr(outcome, "step", None),
        peer=getattr(outcome, "peer", None),
        endpoint=getattr(outcome, "endpoint", None),
        tokens=exchange.used,
        seconds=f"{elapsed:.4f}",
    )


def _internal_error(exchange: exchanges.Exchange) -> outcomes.Outcome:
    message = "The router failed; retry with the same Idempotency-Key."
    if exchange.dispatched:
        return outcomes.Unknown(
            status=500, code="internal_error", message=message, step="chain"
        )
    return outcomes.refuse(500, "internal_error", message, step="chain")


class _Writer:
    """Writes one reply to its caller, streamed or whole."""

    def __init__(self, *, request: sanic.Request, request_key: str) -> None:
        self._request = request
        self._request_key = request_key
        self._response = None  # set once the reply's head was sent

    async def start(self, status: int, headers: dict[str, str]) -> None:
        headers = {**headers, "Idempotency-Key": self._request_key}
        content_type = headers.pop("Content-Type", None)
        self._response = await self._request.respond(
            status=status, headers=headers, content_type=content_type
        )

    async def chunk(self, data: bytes) -> None:
        await self._response.send(data)

    async def finish(
        self, exchange: exchanges.Exchange, outcome: outcomes.Outcome
    ) -> sanic.HTTPResponse | None:
        if isinstance(outcome, outcomes.Answered):
            if self._response is None:
                headers = {
                    **exchange.reply_headers,
                    "Idempotency-Key": self._request_key,
                }
                content_type = headers.pop("Content-Type", None)
                return sanic.HTTPResponse(
                    b"".join(exchange.deferred_body),
                    status=exchange.status,
                    headers=headers,
                    content_type=content_type,
                )
            await self._response.send(b"".join(exchange.deferred_body), True)
            return None
        body = error_body(outcome, self._request_key)
        if self._response is None:
            headers = {
                "Idempotency-Key": self._request_key,
                exchanges.OUTCOME_HEADER: outcomes.label(outcome),
            }
            retry_after = getattr(outcome, "retry_after", None)
            if retry_after is not None:
                headers["Retry-After"] = str(max(1, round(retry_after)))
            return sanic.json(body, status=outcome.status, headers=headers)
        event = f"event: error\ndata: {json.dumps(body)}\n\n"
        await self._response.send(event.encode(), True)
        return None
