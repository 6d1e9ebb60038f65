"""Transfers tokens of prepaid budgets between hosts, by HTTP requests between them.

The giving host subtracts tokens before it answers, and the receiving host adds those of
each answer once. So a lost or late message wastes tokens but never duplicates them.
"""

import typing
from collections import abc

import aiohttp
import msgpack
import sanic

from dogwoodchute import log, pooled_connection

PATH = "/tokens"
GIVE_BACK_PATH = "/tokens/back"
REFUSED = 409  # status: the host does not take tokens back now
REQUEST_TIMEOUT = 0.25  # seconds for a round trip and a commit of the giving host
MAX_ANSWER = 64  # bytes; a msgpack integer takes at most nine
FIRST_PAUSE = 0.4  # seconds without requests to a host that did not answer
MAX_PAUSE = 1.6  # seconds; the backoff doubles up to this
FORMAT = "application/msgpack"

# Requests an account's tokens from the host at a control address; returns how many it
# gave, None if it did not answer.
RequestFromHost = abc.Callable[[str, str, int], abc.Awaitable[int | None]]
TransferOut = abc.Callable[[str, int], abc.Awaitable[int]]
# Gives tokens back to the host at a control address; returns whether it certainly did
# not get them.
GiveBack = abc.Callable[[str, str, int], abc.Awaitable[bool]]
# Takes tokens back that another host gives; returns whether they were taken.
TakeBack = abc.Callable[[str, int], bool]


class _Backoff(typing.NamedTuple):
    """The time in which a host that did not answer gets no further request."""

    until: float  # monotonic seconds
    seconds: float


class TransferClient:
    """The HTTP client with which this host requests tokens from others.

    After a host did not answer it gets no requests for a while. Callers' requests that
    wait for tokens have time for only one host that does not answer, and other hosts
    may have tokens.
    """

    def __init__(self, *, now: abc.Callable[[], float]) -> None:
        self._now = now
        self._session = pooled_connection.LazySession(
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT)
        )
        self._backoffs: dict[str, _Backoff] = {}  # by address

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def request(self, address: str, account: str, tokens: int) -> int | None:
        """Request `tokens` from the host at `address`; return how many it gave.

        Returns None if it did not answer. Tokens in a lost answer are lost.
        """
        backoff = self._backoffs.get(address)
        if backoff is not None and self._now() < backoff.until:
            return None
        sent_at = self._now()
        given = await self._post(address, account, tokens)
        if given is None:
            self._record_no_answer(address, sent_at)
        else:
            self._backoffs.pop(address, None)
        return given

    async def give_back(self, address: str, account: str, tokens: int) -> bool:
        """Give tokens back to the host at `address`.

        Returns whether it certainly did not get them. Without an answer it may have
        them, so they must not be used here.
        """
        backoff = self._backoffs.get(address)
        if backoff is not None and self._now() < backoff.until:
            return True
        session = self._session.get()
        use = pooled_connection.track_use()
        body = msgpack.packb([account, tokens])
        url = f"http://{address}{GIVE_BACK_PATH}"
        try:
            async with session.post(
                url, data=body, headers={"Content-Type": FORMAT}
            ) as response:
                return response.status == REFUSED
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return True
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            self._doubt_if_silent(address, error, use)
            log.warning(
                "tokens_lost",
                account=account,
                peer=address,
                tokens=tokens,
                reason=reason,
            )
            return False

    def _doubt_if_silent(
        self, address: str, error: Exception, use: pooled_connection.Use
    ) -> None:
        if isinstance(error, TimeoutError):
            self._session.doubt(address, "no answer to a transfer", use=use)

    def _record_no_answer(self, address: str, sent_at: float) -> None:
        previous = self._backoffs.get(address)
        if previous is not None and sent_at < previous.until:
            return  # sent before the backoff began, by a concurrent request
        seconds = FIRST_PAUSE
        if previous is not None:
            seconds = min(MAX_PAUSE, 2 * previous.seconds)
        self._backoffs[address] = _Backoff(self._now() + seconds, seconds)

    async def _post(self, address: str, account: str, tokens: int) -> int | None:
        session = self._session.get()
        use = pooled_connection.track_use()
        body = msgpack.packb([account, tokens])
        try:
            async with session.post(
                f"http://{address}{PATH}", data=body, headers={"Content-Type": FORMAT}
            ) as response:
                size = response.content_length
                if response.status != 200 or size is None or size > MAX_ANSWER:
                    return None
                given = msgpack.unpackb(await response.read())
        except (aiohttp.ClientError, OSError, ValueError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            self._doubt_if_silent(address, error, use)
            log.warning("tokens_not_got", account=account, peer=address, reason=reason)
            return None
        if not isinstance(given, int) or not 0 <= given <= tokens:
            log.warning("tokens_refused", account=account, peer=address, given=given)
            return None
        return given


def add_routes(
    app: sanic.Sanic, *, transfer_out: TransferOut, take_back: TakeBack
) -> None:
    """Serve token requests of other hosts, and take what they give back."""

    async def handle(request: sanic.Request) -> sanic.HTTPResponse:
        decoded = _decode(request.body)
        if decoded is None:
            return sanic.empty(status=400)
        given = await transfer_out(*decoded)
        return sanic.raw(msgpack.packb(given), content_type=FORMAT)

    async def handle_back(request: sanic.Request) -> sanic.HTTPResponse:
        decoded = _decode(request.body)
        if decoded is None or not take_back(*decoded):
            return sanic.empty(status=REFUSED)
        return sanic.empty(status=200)

    app.add_route(handle, PATH, methods=["POST"], name="tokens")
    app.add_route(handle_back, GIVE_BACK_PATH, methods=["POST"], name="tokens_back")


def _decode(body: bytes) -> tuple[str, int] | None:
    """Return the account and the tokens of a request, None if it can't be decoded."""
    try:
        account, tokens = msgpack.unpackb(body)
    except (ValueError, TypeError):
        return None
    is_valid = isinstance(account, str) and type(tokens) is int and tokens >= 0
    return (account, tokens) if is_valid else None
