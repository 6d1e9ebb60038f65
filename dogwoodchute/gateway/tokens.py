"""Moves tokens of prepaid budgets between hosts, over the hosts' own protocol.

The giver counts tokens as gone before it answers, and the asker takes in each answer
once, so a message that is lost or late wastes tokens and never doubles them.
"""

from collections import abc

import aiohttp
import msgpack
import sanic

from dogwoodchute import log

PATH = "/tokens"
ASK_TIMEOUT = 0.25  # seconds: the way there and back, and a commit of the giver
MAX_ANSWER = 64  # bytes; a number takes nine at the most
FORMAT = "application/msgpack"

# Asks the host at a control address for an account's tokens; returns what it gave, None
# if it did not answer.
AskPeer = abc.Callable[[str, str, int], abc.Awaitable[int | None]]
Give = abc.Callable[[str, int], abc.Awaitable[int]]


class Asker:
    """The connections of this host to those that it asks."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def ask(self, address: str, account: str, tokens: int) -> int | None:
        """Return the tokens that the host at `address` gave, at most `tokens`.

        None stands for no answer; tokens in an answer that was lost are lost too.
        """
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
