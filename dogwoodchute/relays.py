"""Relays a whole request to the callers' API of a peer, and the answer back.

The peer authenticates, reserves, runs and bills; this host bills nothing.
"""

import asyncio
import http
import json

import aiohttp
import yarl

from dogwoodchute import (
    answer_end,
    exchange as exchanges,
    forward,
    outcomes,
    peers,
    sse,
    state,
)
from dogwoodchute.coordination import signed_tokens

RELAYED_BY_HEADER = "X-Relayed-By"
TOKEN_PURPOSE = "relay"
UNFORWARDED_HEADERS = forward.HOP_BY_HOP_HEADERS | {
    "host",
    RELAYED_BY_HEADER.lower(),
    "idempotency-key",
}


def was_relayed(exchange: exchanges.Exchange, *, host: state.HostState) -> bool:
    """Return whether another host of the fleet relayed this request to this one."""
    token = exchange.request.headers.get(RELAYED_BY_HEADER.lower(), "")
    fleet_key = host.config.keys.fleet_key
    payload = signed_tokens.verify(token, purpose=TOKEN_PURPOSE, fleet_key=fleet_key)
    return payload is not None and payload[1:] == [exchange.request_key]


async def forward_to_peer(
    exchange: exchanges.Exchange,
    peer: peers.Peer,
    *,
    host: state.HostState,
    session: aiohttp.ClientSession,
) -> outcomes.Outcome | peers.NotSent:
    """Run a request at `peer` and return its outcome.

    Returns `NotSent` if it is certain that the peer never received the request.
    """
    relaying = asyncio.create_task(_relay(exchange, peer, host=host, session=session))
    disconnect = asyncio.create_task(exchange.caller_disconnected.wait())
    try:
        await asyncio.wait({relaying, disconnect}, return_when=asyncio.FIRST_COMPLETED)
        if relaying.done():
            return relaying.result()
        # The `finally` closes the connection, so that the peer cancels the run and
        # bills the part that ran.
        return _unknown(peer, "caller_gone", "The caller disconnected.")
    finally:
        relaying.cancel()
        disconnect.cancel()


async def _relay(
    exchange: exchanges.Exchange,
    peer: peers.Peer,
    *,
    host: state.HostState,
    session: aiohttp.ClientSession,
) -> outcomes.Outcome | peers.NotSent:
    request = exchange.request
    config = host.config
    headers = {k: v for k, v in request.headers.items() if k not in UNFORWARDED_HEADERS}
    headers["Idempotency-Key"] = exchange.request_key
    headers[RELAYED_BY_HEADER] = signed_tokens.sign(
        [config.host.id, exchange.request_key],
        purpose=TOKEN_PURPOSE,
        fleet_key=config.keys.fleet_key,
    )
    timeout = aiohttp.ClientTimeout(
        total=max(0.001, exchange.deadline - host.now()),
        sock_connect=config.limits.connect_timeout,
    )
    was_dispatched, exchange.dispatched = exchange.dispatched, True
    try:
        async with session.request(
            request.method,
            _url(exchange, peer),
            data=request.body or None,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
            skip_auto_headers=("User-Agent", "Content-Type", "Accept-Encoding"),
        ) as response:
            return await _receive(exchange, peer, response)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        exchange.dispatched = was_dispatched
        return peers.NotSent(reason=str(error), peer=peer.host)
    except (aiohttp.ClientError, OSError, TimeoutError, sse.FormatError) as error:
        reason = str(error) or type(error).__name__
        return _unknown(peer, "peer_failed", f"The host {peer.host} failed: {reason}.")


async def _receive(
    exchange: exchanges.Exchange, peer: peers.Peer, response: aiohttp.ClientResponse
) -> outcomes.Outcome:
    exchange.reply_headers = {
        k: v
        for k, v in response.headers.items()
        if k.lower() not in forward.UNFORWARDED_REPLY_HEADERS
    }
    exchange.status = response.status
    if exchange.stream and response.content_type == "text/event-stream":
        return await _receive_stream(exchange, peer, response)
    content = await response.read()
    answer_end.check_whole(response, content)
    outcome_label = response.headers.get(exchanges.OUTCOME_HEADER)
    if outcome_label is not None:
        return _peer_outcome(peer, response, outcome_label, content)
    exchange.deferred_body = [content]
    return outcomes.Answered(status=response.status, tokens=0, endpoint=peer.host)


async def _receive_stream(
    exchange: exchanges.Exchange, peer: peers.Peer, response: aiohttp.ClientResponse
) -> outcomes.Outcome:
    splitter = sse.Splitter()
    while not splitter.done:
        data = await response.content.readany()
        if not data:
            return _unknown(peer, "peer_failed", f"The host {peer.host} broke off.")
        events = splitter.feed(data)
        if not events:
            continue
        if not exchange.reply_started:
            await exchange.reply.start(response.status, exchange.reply_headers)
            exchange.reply_started = True
        await exchange.reply.chunk(events)
    exchange.deferred_body = [sse.DONE]
    return outcomes.Answered(status=response.status, tokens=0, endpoint=peer.host)


def _url(exchange: exchanges.Exchange, peer: peers.Peer) -> yarl.URL:
    request = exchange.request
    if request.service is None:
        return forward.exact_url(peer.caller_address, exchanges.CHAT_PATH, "")
    path = f"/services/{request.service}{request.path}"
    return forward.exact_url(peer.caller_address, path, request.query)


def _peer_outcome(
    peer: peers.Peer,
    response: aiohttp.ClientResponse,
    outcome_label: str,
    content: bytes,
) -> outcomes.NotRun | outcomes.Unknown:
    """Return the outcome of a reply that the peer itself made, without an answer.

    Hosts remove `X-Outcome` from endpoints' answers, so one that is there is the
    peer's.
    """
    try:
        error = json.loads(content)["error"]
        code, message = str(error["code"]), str(error["message"])
    except (ValueError, LookupError, TypeError):
        code, message = "peer_failed", f"The host {peer.host} told no reason."
    if outcome_label != "not_run":
        return _unknown(peer, code, message, status=response.status)
    after = response.headers.get("Retry-After", "")
    return outcomes.NotRun(
        status=response.status,
        code=code,
        message=message,
        step="relay",
        peer=peer.host,
        retry_after=float(after) if after.isdecimal() else None,
    )


def _unknown(
    peer: peers.Peer,
    code: str,
    message: str,
    *,
    status: int = http.HTTPStatus.BAD_GATEWAY,
) -> outcomes.Unknown:
    return outcomes.Unknown(
        status=int(status), code=code, message=message, step="relay", peer=peer.host
    )
