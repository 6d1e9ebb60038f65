"""The state of one request and the chain of filters that handles it."""

import asyncio
import functools
import hashlib
import typing
from collections import abc

from dogwoodchute import catalog, outcomes
from dogwoodchute.coordination import admission
from dogwoodchute.platform import table

CHAT_PATH = "/v1/chat/completions"
OUTCOME_HEADER = "X-Outcome"  # set on replies other than an endpoint's answer
ATTEMPT_HEADER = "x-attempt"  # how many times the caller has sent the request


class Request(typing.NamedTuple):
    """The request as the caller sent it. Header names are in lower case."""

    method: str
    path: str  # the path at the endpoint
    query: str
    headers: dict[str, str]
    body: bytes
    bearer: str | None
    service: str | None  # None for a chat request, whose body names the model
    idempotency_key: str | None
    idempotent: bool | None  # as the caller declared it, None if it didn't

    @property
    def first_attempt(self) -> bool:
        """Whether it is certain that the caller never sent this request before."""
        if self.idempotency_key is None:
            return True
        return self.headers.get(ATTEMPT_HEADER) == "1"


class Reply(typing.NamedTuple):
    """Writes to the caller while the request runs."""

    # Sends the status and headers.
    start: abc.Callable[[int, dict[str, str]], abc.Awaitable[None]]
    chunk: abc.Callable[[bytes], abc.Awaitable[None]]  # sends a part of the body


class Settlement(typing.NamedTuple):
    """Checks and writes that must be in the same commit as a request's bill."""

    checks: list[table.Check]
    writes: list[table.Write]
    on_durable: abc.Callable[[], None]  # called once the commit is durable


Settle = abc.Callable[[outcomes.Outcome], abc.Awaitable[Settlement]]


class Resume(typing.NamedTuple):
    """The stream that a caller resumes, from its verified resume token."""

    endpoint: str  # name of the endpoint that serves the stream
    last_event_id: str
    # Of the engine when the stream began, empty if unknown: its address, and a digest
    # of its software.
    address: str = ""
    software: str = ""


class Exchange:
    """The state of one request; each filter sets the fields that later ones need."""

    def __init__(
        self, *, request: Request, reply: Reply, received: float, request_key: str
    ) -> None:
        self.request = request
        self.reply = reply
        self.received = received  # monotonic seconds
        self.deadline = received  # monotonic seconds
        self.first_token_deadline = received  # monotonic seconds
        self.request_key = request_key
        self.account: catalog.ClientAccount | None = None
        self.service: catalog.Service | None = None
        self.idempotent = True
        self.stream = False
        self.body: dict = {}  # the parsed body of a chat request
        self.output_limit = 0  # tokens
        self.reserved = 0  # tokens
        self.used = 0  # tokens, as the endpoint reported them or by price
        self.answer_tokens = 0  # events in the stream, about one for each token
        self.endpoint: catalog.Endpoint | None = None
        self.ticket: admission.AdmissionRequest | None = None  # set once admitted
        self.software = ""  # digest of that of the engine, once its events told it
        self.answer_began = False  # the head of an answer arrived in the last try
        self.dispatched = False  # a byte may have reached an endpoint
        self.settle: Settle | None = None  # set for a claimed call
        self.settled = False  # the reservation has been replaced by a bill
        # The outcome of an earlier attempt that may have run the request.
        self.earlier_unknown: outcomes.Unknown | None = None
        self.resume: Resume | None = None  # set if the caller resumes a stream
        # A repeated request whose first run has been billed; this run is not billed.
        self.already_billed = False
        self.reply_started = False  # the reply's status and headers have been sent
        # Chunks of the body that are sent once the bill is durable.
        self.deferred_body: list[bytes] = []
        self.status = 200
        self.reply_headers: dict[str, str] = {}
        self.caller_disconnected = asyncio.Event()
        self.first_token: float | None = None  # monotonic seconds
        self.last_token: float | None = None  # monotonic seconds

    @property
    def _fingerprinted_bytes(self) -> bytes:
        """The bytes that a repeated request with the same key must match."""
        parts = [self.request.method, self.request.path, self.request.query]
        parts.append(self.request.service or "")
        parts.append("idempotent" if self.idempotent else "non-idempotent")
        return "\n".join(parts).encode() + b"\n" + self.request.body

    @functools.cached_property
    def fingerprint(self) -> str:
        """The SHA-256 hex digest that a repeated request with the same key must match.

        Cached, so it must first be read after the service and idempotency are set.
        """
        return hashlib.sha256(self._fingerprinted_bytes).hexdigest()


Proceed = abc.Callable[[], abc.Awaitable[outcomes.Outcome]]
Filter = abc.Callable[[Exchange, Proceed], abc.Awaitable[outcomes.Outcome]]


def chain(filters: list[Filter]) -> abc.Callable[..., abc.Awaitable[outcomes.Outcome]]:
    """Return a function that runs an exchange through `filters` in order.

    Each filter awaits `proceed()` to run those after it; the last one must return an
    outcome without calling it.
    """

    async def run(exchange: Exchange, position: int = 0) -> outcomes.Outcome:
        async def proceed() -> outcomes.Outcome:
            return await run(exchange, position + 1)

        return await filters[position](exchange, proceed)

    return run
