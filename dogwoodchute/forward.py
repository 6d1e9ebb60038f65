"""Calls endpoints over HTTP."""

import asyncio
import http
import json

import aiohttp

from dogwoodchute import clock, exchange as exchanges, outcomes, sse, state

HOP_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
NO_EFFECT_STATUS = frozenset({429, 503})
EVENT_STREAM = "text/event-stream"


class Forwarder:
    """The connections of this host to endpoints."""

    def __init__(self, *, host: state.HostState) -> None:
        self._host = host
        self._pooled: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the sessions; needs the running loop."""
        limits = self._host.config.limits
        timeout = aiohttp.ClientTimeout(
            total=limits.total_timeout,
            sock_connect=limits.connect_timeout,
            sock_read=limits.idle_timeout,
        )
        self._pooled = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), timeout=timeout
        )
        # A pooled connection may be silently dead, so a call that must not be
        # repeated always gets a connection of its own.
        self._fresh = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True), timeout=timeout
        )

    async def stop(self) -> None:
        """Close all connections."""
        for session in (self._pooled, self._fresh):
            if session is not None:
                await session.close()

    async def chat(self, exchange: exchanges.Exchange) -> outcomes.Outcome:
        """Run a chat request at `exchange.endpoint`."""
        endpoint = exchange.endpoint
        body = {
            **exchange.body,
            "max_tokens": exchange.output_limit,
            "stream": True,
            "stream_options": {"include_usage": True, "continuous_usage_stats": True},
        }
        body.pop("max_completion_tokens", None)
        url = f"http://{endpoint.address}{exchanges.CHAT_PATH}"
        headers = {"X-Request-Id": exchange.request_key}
        session = self._pooled if exchange.idempotent else self._fresh
        splitter = sse.Splitter()
        events: list[bytes] = []
        try:
            async with session.post(url, json=body, headers=headers) as response:
                exchange.dispatched = True
                if response.status != http.HTTPStatus.OK:
                    return await _refused(exchange, response)
                exchange.reply_headers = {"Content-Type": EVENT_STREAM}
                if exchange.stream:
                    await exchange.reply.start(200, exchange.reply_headers)
                    exchange.started = True
                while not splitter.done:
                    data = await _next_data(response, exchange.gone)
                    if data is None:
                        break
                    whole = splitter.feed(data)
                    if not whole:
                        continue
                    exchange.last_token = clock.monotonic()
                    if exchange.first_token is None:
                        exchange.first_token = exchange.last_token
                    if exchange.stream:
                        await exchange.reply.chunk(whole)
                    else:
                        events.append(whole)
        except aiohttp.ClientConnectorError as error:
            return _not_reached(exchange, error)
        except (aiohttp.ClientError, TimeoutError, sse.FormatError) as error:
            return _cut(exchange, splitter, str(error) or type(error).__name__)
        if not splitter.done:
            return _cut(exchange, splitter, "the answer ended early")
        exchange.used = sse.usage_tokens(splitter.last_event) or exchange.reserved
        if exchange.stream:
            exchange.held = [sse.DONE]
        else:
            exchange.reply_headers = {"Content-Type": "application/json"}
            exchange.held = [_whole_answer(exchange, b"".join(events))]
        return _answered(exchange, 200)

    async def plain(self, exchange: exchanges.Exchange) -> outcomes.Outcome:
        """Run a call of a plain service at `exchange.endpoint`."""
        request = exchange.request
        url = f"http://{exchange.endpoint.address}{request.path}"
        if request.query:
            url += f"?{request.query}"
        headers = {k: v for k, v in request.headers.items() if k not in HOP_HEADERS}
        headers["Idempotency-Key"] = exchange.request_key
        session = self._pooled if exchange.idempotent else self._fresh
        try:
            async with session.request(
                request.method, url, data=request.body or None, headers=headers
            ) as response:
                exchange.dispatched = True
                content = await response.read()
        except aiohttp.ClientConnectorError as error:
            return _not_reached(exchange, error)
        except (aiohttp.ClientError, TimeoutError) as error:
            exchange.used = exchange.reserved
            return _unknown(exchange, str(error) or type(error).__name__)
        exchange.used = exchange.service.price
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        exchange.reply_headers = {"Content-Type": content_type}
        exchange.held = [content]
        return _answered(exchange, response.status)


async def _next_data(
    response: aiohttp.ClientResponse, gone: asyncio.Event
) -> bytes | None:
    if gone.is_set():
        return None
    return await response.content.readany() or None


async def _refused(
    exchange: exchanges.Exchange, response: aiohttp.ClientResponse
) -> outcomes.NotRun:
    text = (await response.text())[:200]
    busy = response.status in NO_EFFECT_STATUS
    return outcomes.refuse(
        http.HTTPStatus.SERVICE_UNAVAILABLE if busy else http.HTTPStatus.BAD_GATEWAY,
        "endpoint_busy" if busy else "endpoint_refused",
        f"The endpoint answered {response.status}: {text}",
        step="dispatch",
        peer=exchange.endpoint.name,
        retry_after=1.0 if busy else None,
    )


def _not_reached(exchange: exchanges.Exchange, error: Exception) -> outcomes.NotRun:
    return outcomes.refuse(
        http.HTTPStatus.BAD_GATEWAY,
        "endpoint_unreachable",
        f"The endpoint could not be reached ({error}); retry.",
        step="dispatch",
        peer=exchange.endpoint.name,
        retry_after=1.0,
    )


def _cut(
    exchange: exchanges.Exchange, splitter: sse.Splitter, reason: str
) -> outcomes.Unknown:
    exchange.used = sse.usage_tokens(splitter.last_event) or 0
    return _unknown(exchange, reason)


def _unknown(exchange: exchanges.Exchange, reason: str) -> outcomes.Unknown:
    return outcomes.Unknown(
        status=int(http.HTTPStatus.BAD_GATEWAY),
        code="endpoint_failed",
        message=f"The endpoint failed while it ran the request: {reason}.",
        step="dispatch",
        peer=exchange.endpoint.name,
        tokens=exchange.used,
    )


def _answered(exchange: exchanges.Exchange, status: int) -> outcomes.Answered:
    exchange.status = status
    return outcomes.Answered(
        status=status, tokens=exchange.used, endpoint=exchange.endpoint.name
    )


def _whole_answer(exchange: exchanges.Exchange, events: bytes) -> bytes:
    """Join the events of a stream into the body of a whole answer."""
    parts = []
    finish = None
    usage = None
    for line in events.split(b"\n"):
        if not line.startswith(b"data:"):
            continue
        event = json.loads(line[5:])
        usage = event.get("usage") or usage
        for choice in event.get("choices", []):
            parts.append(choice.get("delta", {}).get("content") or "")
            finish = choice.get("finish_reason") or finish
    message = {"role": "assistant", "content": "".join(parts)}
    answer = {
        "id": exchange.request_key,
        "object": "chat.completion",
        "model": exchange.service.name,
        "choices": [{"index": 0, "message": message, "finish_reason": finish}],
        "usage": usage,
    }
    return json.dumps(answer).encode()
