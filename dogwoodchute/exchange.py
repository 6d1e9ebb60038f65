"""One request on its way through the filter chain."""

import asyncio
import functools
import hashlib
import typing
from collections import abc

from dogwoodchute import catalog, outcomes
from dogwoodchute.coordination import admission
from dogwoodchute.platform import table

CHAT_PATH = "/v1/chat/completions"
OUTCOME_HEADER = "X-Outcome"  # of a request that this fleet did not answer
ATTEMPT_HEADER = "x-attempt"  # the number of times that the caller sent the request


class Request(typing.NamedTuple):
    """What the caller sent. Header names are in lower case."""

    method: str
    path: str  # the path at the endpoint
    query: str
    headers: dict[str, str]
    body: bytes
    bearer: str | None
    service: str | None  # None for a chat request, whose body names the model
    idempotency_key: str | None
    idempotent: bool | None  # the caller's own mark, None if it made none

    @property
    def first_attempt(self) -> bool:
        """Whether the caller certainly never sent this request before."""
        if self.idempotency_key is None:
            return True
        return self.headers.get(ATTEMPT_HEADER) == "1"


class Reply(typing.NamedTuple):
    """How the chain writes to the caller while the request runs."""

    start: abc.Callable[[int, dict[str, str]], abc.Awaitable[None]]
    chunk: abc.Callable[[bytes], abc.Awaitable[None]]


class Settlement(typing.NamedTuple):
    """What must be written in the same commit as a request's bill."""

    checks: list[table.Check]
    writes: list[table.Write]
    ended: abc.Callable[[], None]  # called once the store has it


Settle = abc.Callable[[outcomes.Outcome], abc.Awaitable[Settlement]]


class Resume(typing.NamedTuple):
    """The stream that a caller continues, from a verified token."""

    endpoint: str
    last_event_id: str


class Exchange:
    """The state of one request; each filter fills in what later ones need."""

    def __init__(
        self, *, request: Request, reply: Reply, received: float, request_key: str
    ) -> None:
        self.request = request
        self.reply = reply
        self.received = received  # monotonic seconds
        self.deadline = received  # monotonic seconds
        self.first_token_due = received  # monotonic seconds
        self.request_key = request_key
        self.account: catalog.ClientAccount | None = None
        self.service: catalog.Service | None = None
        self.idempotent = True
        self.stream = False
        self.body: dict = {}  # the parsed body of a chat request
        self.output_limit = 0  # tokens
        self.reserved = 0  # tokens
        self.used = 0  # tokens that the endpoint reported
        self.answer_tokens = 0  # events of a stream, about one for each token
        self.endpoint: catalog.Endpoint | None = None
        self.ticket: admission.Ticket | None = None  # set while admitted
        self.dispatched = False  # a byte may have reached an endpoint
        self.settle: Settle | None = None  # set for a claimed call
        self.settled = False  # the reservation has become a bill
        self.maybe_ran: outcomes.Unknown | None = None  # an earlier try's outcome
        self.resume: Resume | None = None  # the caller continues a stream
        self.unbilled = False  # a repeat whose first run is billed already
        self.started = False  # the reply's head has been sent
        self.held: list[bytes] = []  # sent after the bill is durable
        self.status = 200
        self.reply_headers: dict[str, str] = {}
        self.gone = asyncio.Event()  # the caller has disconnected
        self.first_token: float | None = None  # monotonic seconds
        self.last_token: float | None = None  # monotonic seconds

    @property
    def fingerprint(self) -> bytes:
        """What a repeat under the same key must equal."""
        parts = [self.request.method, self.request.path, self.request.query]
        parts.append(self.request.service or "")
        parts.append("idempotent" if self.idempotent else "non-idempotent")
        return "\n".join(parts).encode() + b"\n" + self.request.body

    @functools.cached_property
    def digest(self) -> str:
        """The SHA-256 hex digest of `fingerprint`, taken once the service is known."""
        return hashlib.sha256(self.fingerprint).hexdigest()


Proceed = abc.Callable[[], abc.Awaitable[outcomes.Outcome]]
Filter = abc.Callable[[Exchange, Proceed], abc.Awaitable[outcomes.Outcome]]


def chain(filters: list[Filter]) -> abc.Callable[..., abc.Awaitable[outcomes.Outcome]]:
    """Return a function that passes an exchange through `filters` in order.

    The last filter must answer without calling `proceed`.
    """

    async def run(exchange: Exchange, position: int = 0) -> outcomes.Outcome:
        async def proceed() -> outcomes.Outcome:
            return await run(exchange, position + 1)

        return await filters[position](exchange, proceed)

    return run
