"""One caller's request on its way through the gateway."""

import typing
from collections import abc

from dogwoodchute.gateway import model


class Request(typing.NamedTuple):
    """What the caller sent, decoded."""

    attempt_id: str  # of this attempt; a caller's retry has another one
    host: str
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]  # those to be forwarded, as received
    body: bytes
    key: str | None
    wait: float | None  # seconds that the caller will wait, None if it did not say
    prompt: model.Prompt | None
    last_event_id: str | None


class Reply(typing.NamedTuple):
    """How the answer is written. `chunk` may be awaited again and again.

    `abort` cuts the connection, so that an answer that ends early never looks whole.
    """

    whole: abc.Callable[[int, list[tuple[str, str]], bytes], abc.Awaitable[None]]
    start: abc.Callable[[int, list[tuple[str, str]]], abc.Awaitable[None]]
    chunk: abc.Callable[[bytes], abc.Awaitable[None]]
    end: abc.Callable[[], abc.Awaitable[None]]
    abort: abc.Callable[[], None]


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
        self.priority = 0
        self.reserved = 0  # tokens
        self.delivered_events = 0
        self.may_have_run = False  # at some endpoint
        self.consumed = False  # an endpoint began to work on it, as far as can be told
        self.spent = 0  # tokens that were counted as used when it began to run
        self.began: abc.Callable[[], None] = lambda: None  # called at its first token
        self.started = False  # the answer's head is on its way to the caller
        self.last_event_id = request.last_event_id  # of the last event delivered
        self.tried: list[str] = []  # endpoints, with those that were not reached
        self.sends = 0  # times that the request was sent
        self.sent_at: float | None = None  # monotonic seconds of the last send
        self.expected = 0.0  # seconds that other requests were expected to take first
        self.cached = 0  # prompt tokens thought to be cached where it goes next
        self.unread = 0  # prompt tokens thought not to be cached, at the last send
        self.first_byte: float | None = None  # monotonic seconds

    @property
    def repeatable(self) -> bool:
        """Whether a second run can do no harm."""
        if self.route.kind == model.STREAM:
            return self.route.resumable
        return self.route.kind == model.IDEMPOTENT

    @property
    def tokens_used(self) -> int:
        """Tokens to bill: the input once, and what was delivered at the most."""
        prompt = self.request.prompt
        if prompt is None or not self.consumed:
            return 0
        engine = self.service.engine
        per_event = engine.tokens_per_event if engine is not None else 1
        output = min(prompt.max_output, self.delivered_events * per_event)
        return prompt.input_tokens + output
