"""A caller's request and its state in the gateway."""

import typing
from collections import abc

from dogwoodchute import pooled_connection
from dogwoodchute.gateway import model

# How far an answer has come.
SILENT = "silent"  # no byte arrived
BEGUN = "begun"  # a part of the head or more, but no whole event
EVENTS = "events"


class Request(typing.NamedTuple):
    """The decoded request of a caller."""

    attempt_id: str  # unique; a retry by the caller has another one
    host: str
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]  # those to forward, as received
    body: bytes
    key: str | None
    wait: float | None  # seconds that the caller waits, None if it sent no deadline
    prompt: model.Prompt | None
    last_event_id: str | None
    # Attempt id that brought the first event of the stream that the caller takes up,
    # None if it names none. The caller made the id, so it may be any text.
    resumes: str | None = None


class Reply(typing.NamedTuple):
    """Writes the answer to the caller.

    `whole` writes a complete answer. A stream is written by `start`, any number of
    `chunk` and `end`. `abort` closes the connection, so that an answer that ends early
    never looks complete.
    """

    whole: abc.Callable[[int, list[tuple[str, str]], bytes], abc.Awaitable[None]]
    start: abc.Callable[[int, list[tuple[str, str]]], abc.Awaitable[None]]
    chunk: abc.Callable[[bytes], abc.Awaitable[None]]
    end: abc.Callable[[], abc.Awaitable[None]]
    abort: abc.Callable[[], None]
    has_left: abc.Callable[[], bool]  # whether the caller has closed the connection


class Send:
    """One send of a call to an endpoint."""

    def __init__(
        self,
        *,
        endpoint: model.Endpoint,
        at: float,
        expected_wait: float = 0.0,
    ) -> None:
        self.endpoint = endpoint
        self.at = at  # monotonic seconds
        # Prompt tokens that the engine has yet to process, as it has not cached them.
        self.waiting_tokens = 0
        # Estimated seconds to wait for other requests and the network.
        self.expected_wait = expected_wait
        self.may_have_run_before = False  # the call, by an earlier send
        self.is_second_connect = False  # connecting took too long before
        self.is_waiting = True  # `waiting_tokens` still count at the endpoint
        self.answer_began = False  # a byte of an answer arrived
        self.events = 0  # whole ones that arrived
        # Of the connection that carries it, None before one is asked for.
        self.use: pooled_connection.Use | None = None
        # How the answer tells its end, and how its connection ended; None if unknown.
        self.framing: str | None = None
        self.connection_end: str | None = None

    @property
    def is_unsent(self) -> bool:
        """Whether no byte of the call was written to the endpoint."""
        return self.use is None or not self.use.is_connected

    @property
    def progress(self) -> str:
        """How far the answer has come."""
        if self.events:
            return EVENTS
        return BEGUN if self.answer_began else SILENT


class Call:
    """The state of one request; each filter fills in what later ones need."""

    def __init__(self, *, request: Request, reply: Reply, received: float) -> None:
        self.request = request
        self.reply = reply
        self.received = received  # monotonic seconds
        self.deadline = received  # monotonic seconds
        self.config: model.Config | None = None
        self.route: model.Route | None = None
        self.service: model.Service | None = None
        self.account: model.Account | None = None
        # The regions in which it may be served and kept, None for anywhere.
        self.allowed_regions: frozenset[str] | None = None
        self.priority = 0
        self.reserved = 0  # tokens
        self.delivered_events = 0
        self.may_have_run = False  # at any endpoint
        self.run_started = False  # an endpoint started to run it, as far as is known
        self.spent = 0  # tokens that were counted as used when the run started
        # Called at each chunk of a stream that arrives from an endpoint.
        self.on_chunk: abc.Callable[[], None] = lambda: None
        self.reply_started = False  # the head of the answer has been sent to the caller
        self.last_event_id = request.last_event_id  # of the last event delivered
        # The software version at which the stream goes on, None before it began.
        self.software: str | None = None
        # Those that were to be written down as the one that began it.
        self.recorded_versions: set[str] = set()
        # Ids of endpoints, including those that could not be reached.
        self.tried_endpoints: list[str] = []
        # Ids of endpoints to which connecting took too long; each is tried once more if
        # no other one is left.
        self.slow_to_connect: set[str] = set()
        self.sends = 0  # how often the request was sent
        self.send: Send | None = None  # the last one whose answer was waited for
        # Estimates for the endpoint chosen last: seconds to wait for other requests and
        # the network, and prompt tokens that are cached there.
        self.expected_wait = 0.0
        self.cached_tokens = 0
        self.first_byte_at: float | None = None  # monotonic seconds

    @property
    def is_retryable(self) -> bool:
        """Whether the call may be sent again after it may have run."""
        return self.is_resumable or self.route.kind == model.IDEMPOTENT

    @property
    def is_resumable(self) -> bool:
        """Whether the call is a stream that may go on at another endpoint."""
        return self.route.kind == model.STREAM and self.route.resumable

    @property
    def tokens_used(self) -> int:
        """Tokens to bill: the input once, and at most the output that was delivered."""
        prompt = self.request.prompt
        if prompt is None or not self.run_started:
            return 0
        engine = self.service.engine
        per_event = engine.tokens_per_event if engine is not None else 1
        output_tokens = min(prompt.max_output, self.delivered_events * per_event)
        return prompt.input_tokens + output_tokens
