"""Sends requests to endpoints over HTTP."""

import asyncio
import hashlib
import http
from collections import abc

import aiohttp
import yarl

from dogwoodchute import (
    answer_end,
    bounded_read,
    clock,
    endpoint_connection,
    engine_client,
    exchange as exchanges,
    failures,
    outcomes,
    send_once,
    state,
    streams,
)
from dogwoodchute.coordination import cadence, resume

CANCEL_PATH = "/v1/cancel"
RESUME_TOKEN_HEADER = "X-Resume-Token"
# The id of a chat and of a plain call; an endpoint may repeat it in its answer.
CHAT_ID_HEADER = "X-Request-Id"
CALL_ID_HEADER = "Idempotency-Key"
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers removed from callers' requests and from endpoints' replies.
UNFORWARDED_REQUEST_HEADERS = HOP_BY_HOP_HEADERS | {
    "authorization",
    "host",
    "idempotency-key",
}
UNFORWARDED_REPLY_HEADERS = HOP_BY_HOP_HEADERS | {
    "date",
    "server",
    "idempotency-key",
    exchanges.OUTCOME_HEADER.lower(),
}
# A plain service may answer with one of these after it began the call, so none of them
# proves that the call was not run.
BUSY_STATUSES = frozenset({429, 502, 503, 504})


class Forwarder:
    """Sends requests to endpoints over this host's pools of connections."""

    def __init__(self, *, host: state.HostState) -> None:
        self._host = host
        self._pooled: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None
        self._background: set[asyncio.Task] = set()
        self._timings: dict[str, engine_client.EngineTiming] = {}

    async def start(self) -> None:
        """Open the sessions; call it inside the running event loop."""
        self._pooled = self._session(_connector())
        # A pooled connection may be dead without a sign of it, so a call that must
        # not be repeated always gets a new connection.
        self._fresh = self._session(_connector(force_close=True))

    async def stop(self) -> None:
        """Close all connections."""
        for session in (self._pooled, self._fresh):
            if session is not None:
                await session.close()

    def session(self, *, fresh: bool) -> aiohttp.ClientSession:
        """Return a session; one with `fresh` opens a connection for each request."""
        return self._fresh if fresh else self._pooled

    async def chat(self, exchange: exchanges.Exchange) -> outcomes.Outcome:
        """Run a chat request at `exchange.endpoint` and return its outcome."""
        base = f"http://{exchange.endpoint.address}"
        request_id = engine_request_id(exchange)
        body = {
            **exchange.body,
            "max_tokens": exchange.output_limit,
            "stream": True,
            "stream_options": {"include_usage": True, "continuous_usage_stats": True},
        }
        body.pop("max_completion_tokens", None)

        async def cancel() -> int | None:
            return await self._cancel(base, request_id)

        client = engine_client.EngineClient(
            pooled=self._pooled,
            fresh=self._fresh,
            url=base + exchanges.CHAT_PATH,
            body=body,
            headers={CHAT_ID_HEADER: request_id, "Accept-Encoding": "identity"},
            check_answer=lambda response: _check_id(
                response, CHAT_ID_HEADER, request_id
            ),
            cancel=cancel,
            cancel_in_background=lambda: self._run_in_background(cancel()),
        )
        run = streams.ChatRun(
            exchange=exchange,
            client=client,
            timing=self._timing(exchange.endpoint.name),
            limits=engine_client.StreamLimits(
                total=exchange.deadline - self._host.now(),
                caller_idle=self._host.config.limits.idle_timeout,
            ),
            resume_headers=lambda: {RESUME_TOKEN_HEADER: self.resume_token(exchange)},
        )
        return await run.run()

    async def plain(self, exchange: exchanges.Exchange) -> outcomes.Outcome:
        """Run a call of a plain service at `exchange.endpoint`.

        Sets `exchange.used` to the price for an answer, and for an unknown outcome of a
        non-idempotent call; a busy answer and other unknown outcomes cost nothing.
        """
        request = exchange.request
        headers = {
            k: v
            for k, v in request.headers.items()
            if k not in UNFORWARDED_REQUEST_HEADERS
        }
        request_id = engine_request_id(exchange)
        headers[CALL_ID_HEADER] = request_id
        session = self.session(fresh=not exchange.idempotent)
        was_dispatched, exchange.dispatched = exchange.dispatched, True
        try:
            async with session.request(
                request.method,
                exact_url(exchange.endpoint.address, request.path, request.query),
                data=request.body or None,
                headers=headers,
                allow_redirects=False,
                timeout=self._plain_timeout(exchange),
                skip_auto_headers=("User-Agent", "Content-Type", "Accept-Encoding"),
            ) as response:
                _check_status(response)
                _check_id(response, CALL_ID_HEADER, request_id)
                content = await self._read_bounded(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            exchange.dispatched = was_dispatched
            return failures.unreachable(exchange, error)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return failures.plain_unknown(exchange, str(error) or type(error).__name__)
        if exchange.idempotent and response.status in BUSY_STATUSES:
            return failures.plain_busy(exchange, response)
        exchange.used = (
            0 if response.status in BUSY_STATUSES else exchange.service.price
        )
        exchange.reply_headers = {
            k: v
            for k, v in response.headers.items()
            if k.lower() not in UNFORWARDED_REPLY_HEADERS
        }
        exchange.deferred_body = [content]
        exchange.status = response.status
        return outcomes.Answered(
            status=response.status,
            tokens=exchange.used,
            endpoint=exchange.endpoint.name,
        )

    def resume_token(self, exchange: exchanges.Exchange) -> str:
        """Return the token with which the caller may resume at another host."""
        config = self._host.config
        ticket = resume.Ticket(
            account=exchange.account.name,
            request_key=exchange.request_key,
            endpoint=exchange.endpoint.name,
            reserved=exchange.reserved,
            fingerprint=exchange.fingerprint,
            expires=int(clock.wall() + config.limits.resume_lifetime),
            address=exchange.endpoint.address,
            software=exchange.software,
        )
        return resume.sign(ticket, fleet_key=config.keys.fleet_key)

    def _session(self, connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._host.config.limits.connect_timeout
        )
        # A cookie jar would send cookies of one caller's answer in another's request.
        return aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            middlewares=(send_once.middleware,),
        )

    def _timing(self, endpoint: str) -> engine_client.EngineTiming:
        timing = self._timings.get(endpoint)
        if timing is None:
            limits = self._host.config.limits
            timing = self._timings[endpoint] = engine_client.EngineTiming(
                first_event=cadence.GapEstimator(
                    floor=limits.first_event_floor, ceiling=limits.idle_timeout
                ),
                event_gap=cadence.GapEstimator(
                    floor=limits.silence_floor, ceiling=limits.silence_ceiling
                ),
            )
        return timing

    async def _cancel(self, base: str, request_id: str) -> int | None:
        """Cancel a stream at its engine.

        Returns the tokens that it used, None if the engine reports no usable number.
        """
        timeout = aiohttp.ClientTimeout(total=self._host.config.limits.connect_timeout)
        try:
            async with self._fresh.post(
                base + CANCEL_PATH, json={"request_id": request_id}, timeout=timeout
            ) as response:
                if response.status != http.HTTPStatus.OK:
                    return None
                answer = await bounded_read.read_report(response)
                tokens = answer["usage"]["total_tokens"]
        except (aiohttp.ClientError, OSError, ValueError, LookupError, TypeError):
            return None
        return tokens if isinstance(tokens, int) and tokens >= 0 else None

    def _run_in_background(self, work: abc.Coroutine) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _plain_timeout(self, exchange: exchanges.Exchange) -> aiohttp.ClientTimeout:
        limits = self._host.config.limits
        return aiohttp.ClientTimeout(
            total=max(0.001, exchange.deadline - self._host.now()),
            sock_connect=limits.connect_timeout,
            sock_read=limits.idle_timeout,
        )

    async def _read_bounded(self, response: aiohttp.ClientResponse) -> bytes:
        limit = self._host.config.limits.answer_bytes
        body = await bounded_read.read(response, limit=limit)
        answer_end.check_whole(response, body)
        return body


def _connector(**options: object) -> aiohttp.TCPConnector:
    return endpoint_connection.connector(closes_after=_closes_after, **options)


def _closes_after(status: int, headers: abc.Mapping[str, str], raw: list) -> bool:
    """Return whether a connection is not used again after an answer.

    A second copy of an answer may arrive late, on a connection that is in use again. It
    can be told from the next answer only if the endpoint repeats the request's id.
    """
    repeats_id = CHAT_ID_HEADER in headers or CALL_ID_HEADER in headers
    return status in BUSY_STATUSES or not repeats_id


def _check_status(response: aiohttp.ClientResponse) -> None:
    """Raise `aiohttp.ClientPayloadError` unless the status is one of an answer."""
    if response.status not in outcomes.FINAL_STATUSES:
        reason = f"{response.status} is no status of a final answer"
        raise aiohttp.ClientPayloadError(reason)


def _check_id(response: aiohttp.ClientResponse, header: str, request_id: str) -> None:
    """Raise `aiohttp.ClientPayloadError` if an answer names another request."""
    repeated = response.headers.get(header)
    if repeated is not None and repeated != request_id:
        raise aiohttp.ClientPayloadError("the answer is for another request")


def engine_request_id(exchange: exchanges.Exchange) -> str:
    """Return the id under which the endpoint knows a request.

    It depends on the client account as well, as two may use the same request key.
    """
    text = f"{exchange.account.name}\n{exchange.request_key}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def exact_url(address: str, path: str, query: str) -> yarl.URL:
    """Return a URL whose path and query keep the caller's percent-encoding."""
    url = f"http://{address}{path}"
    if query:
        url += f"?{query}"
    return yarl.URL(url, encoded=True)
