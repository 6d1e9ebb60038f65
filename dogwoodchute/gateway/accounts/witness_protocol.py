"""Questions to witnesses (see `coordination.witnesses`), by HTTP between hosts.

A question names the incarnation that it is for; another one of the same host knows
nothing of what that one has confirmed, and answers nothing.
"""

import math

import aiohttp
import msgpack
import sanic

from dogwoodchute import log, pooled_connection
from dogwoodchute.coordination import witnesses
from dogwoodchute.gateway.accounts import witnessing

CONFIRM_PATH = "/witness/confirm"
DENY_PATH = "/witness/deny"
FORMAT = "application/msgpack"
# Seconds for an answer; a witness may ask the store before it answers.
TIMEOUT = 1.6
MAX_ANSWER = 64  # bytes


class Client:
    """The HTTP client with which this host asks witnesses."""

    def __init__(self) -> None:
        self._session = pooled_connection.LazySession(
            timeout=aiohttp.ClientTimeout(total=TIMEOUT)
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def confirm(
        self, address: str, witness: str, holder: str, asked: float
    ) -> witnesses.Confirmation | None:
        """Ask a witness to confirm a holder's commits up to `asked`."""
        contact = await self._ask(address, CONFIRM_PATH, [witness, holder, asked])
        if not isinstance(contact, float) or not math.isfinite(contact):
            return None
        return witnesses.Confirmation(contact, asked)

    async def denies(
        self, address: str, witness: str, question: witnessing.Denial
    ) -> bool:
        """Return whether a witness denies a holder's commits."""
        return await self._ask(address, DENY_PATH, [witness, *question]) is True

    async def _ask(self, address: str, path: str, body: list) -> object:
        """Send a question; return the decoded answer, None without one."""
        use = pooled_connection.track_use()
        try:
            async with self._session.get().post(
                f"http://{address}{path}",
                data=msgpack.packb(body),
                headers={"Content-Type": FORMAT},
            ) as response:
                size = response.content_length
                if response.status != 200 or size is None or size > MAX_ANSWER:
                    return None
                return msgpack.unpackb(await response.read())
        except (aiohttp.ClientError, OSError, ValueError, TimeoutError) as error:
            if isinstance(error, TimeoutError):
                self._session.doubt(address, "no answer of a witness", use=use)
            reason = str(error) or type(error).__name__
            log.info("witness_unanswered", peer=address, path=path, reason=reason)
            return None


def add_routes(app: sanic.Sanic, *, id: str, witness: witnessing.Witnessing) -> None:
    """Answer questions to the incarnation `id` as `witness` does."""

    async def handle_confirm(request: sanic.Request) -> sanic.HTTPResponse:
        fields = _decode(request, texts=2, times=1)
        if fields is None or fields[0] != id:
            return _unanswered(fields)
        confirmation = await witness.confirm(*fields[1:])
        log.info(
            "witness_answered",
            holder=fields[1],
            asked=f"{fields[2]:.3f}",
            confirmed=confirmation is not None,
        )
        return _answer(confirmation.contact if confirmation is not None else None)

    async def handle_deny(request: sanic.Request) -> sanic.HTTPResponse:
        fields = _decode(request, texts=2, times=2)
        if fields is None or fields[0] != id:
            return _unanswered(fields)
        question = witnessing.Denial(*fields[1:])
        denies = witness.denies(question)
        log.info(
            "witness_denies" if denies else "witness_does_not_deny",
            **question._asdict(),
        )
        return _answer(denies)

    app.add_route(handle_confirm, CONFIRM_PATH, methods=["POST"], name="confirm")
    app.add_route(handle_deny, DENY_PATH, methods=["POST"], name="deny")


def _answer(plain: object) -> sanic.HTTPResponse:
    return sanic.raw(msgpack.packb(plain), content_type=FORMAT)


def _unanswered(fields: list | None) -> sanic.HTTPResponse:
    """Return the answer to a question that is malformed or for another incarnation."""
    return sanic.empty(status=400 if fields is None else 404)


def _decode(request: sanic.Request, *, texts: int, times: int) -> list | None:
    """Return a question's texts and then times, None if it can't be decoded."""
    try:
        fields = msgpack.unpackb(request.body)
        is_valid = isinstance(fields, list) and len(fields) == texts + times
        is_valid = is_valid and all(isinstance(each, str) for each in fields[:texts])
        is_valid = is_valid and all(
            isinstance(each, float) and math.isfinite(each) for each in fields[texts:]
        )
    except (ValueError, TypeError):
        is_valid = False
    if not is_valid:
        log.warning("witness_question_unreadable", peer=request.ip)
        return None
    return fields
