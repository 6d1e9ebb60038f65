"""Moves tokens of prepaid budgets between hosts, over the hosts' own protocol.

The giver counts tokens as gone before it answers, and the asker takes in each answer
once, so a message that is lost or late wastes tokens and never doubles them.
"""

import typing
from collections import abc

import aiohttp
import msgpack
import sanic

from dogwoodchute import log

PATH = "/tokens"
ASK_TIMEOUT = 0.25  # seconds: the way there and back, and a commit of the giver
MAX_ANSWER = 64  # bytes; a number takes nine at the most
FIRST_PAUSE = 0.4  # seconds without asking a host that did not answer
MAX_PAUSE = 1.6  # seconds; the pause doubles up to it
FORMAT = "application/msgpack"

# Asks the host at a control address for an account's tokens; returns what it gave, None
# if it did not answer.
AskPeer = abc.Callable[[str, str, int], abc.Awaitable[int | None]]
Give = abc.Callable[[str, int], abc.Awaitable[int]]


class _Pause(typing.NamedTuple):
    """How long a host that did not answer is not asked again."""

    until: float  # monotonic seconds
    seconds: float


class Asker:
    """The connections of this host to those that it asks.

    Hosts that do not answer are not asked for a while: requests that wait for tokens
    have time for one such host, and others may have them.
    """

    def __init__(self, *, now: abc.Callable[[], float]) -> None:
        self._now = now
        self._session: aiohttp.ClientSession | None = None
        self._pauses: dict[str, _Pause] = {}  # by address

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def ask(self, address: str, account: str, tokens: int) -> int | None:
        """Return the tokens that the host at `address` gave, at most `tokens`.

        None stands for no answer; tokens in an answer that was lost are lost too.
        """
        pause = self._pauses.get(address)
        if pause is not None and self._now() < pause.until:
            return None
        asked = self._now()
        given = await self._post(address, account, tokens)
        if given is None:
            self._note_silence(address, asked)
        else:
            self._pauses.pop(address, None)
        return given

    def _note_silence(self, address: str, asked: float) -> None:
        before = self._pauses.get(address)
        if before is not None and asked < before.until:
            return  # it was asked together with one that began the pause
        seconds = FIRST_PAUSE
        if before is not None:
            seconds = min(MAX_PAUSE, 2 * before.seconds)
        self._pauses[address] = _Pause(self._now() + seconds, seconds)

    async def _post(self, address: str, account: str, tokens: int) -> int | None:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=ASK_TIMEOUT)
            )
        body = msgpack.packb([account, tokens])
        try:
            async with self._session.post(
                f"http://{address}{PATH}", data=body, headers={"Content-Type": FORMAT}
            ) as response:
                size = response.content_length
                if response.status != 200 or size is None or size > MAX_ANSWER:
                    return None
                given = msgpack.unpackb(await response.read())
        except (aiohttp.ClientError, OSError, ValueError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            log.warning("tokens_not_got", account=account, peer=address, reason=reason)
            return None
        if not isinstance(given, int) or not 0 <= given <= tokens:
            log.warning("tokens_refused", account=account, peer=address, given=given)
            return None
        return given


def add_routes(app: sanic.Sanic, *, give: Give) -> None:
    """Answer other hosts that ask for tokens."""

    async def handle(request: sanic.Request) -> sanic.HTTPResponse:
        try:
            account, tokens = msgpack.unpackb(request.body)
        except ValueError:
            return sanic.empty(status=400)
        if not isinstance(account, str) or not isinstance(tokens, int):
            return sanic.empty(status=400)
        return sanic.raw(
            msgpack.packb(await give(account, tokens)), content_type=FORMAT
        )

    app.add_route(handle, PATH, methods=["POST"], name="tokens")
