"""Sends single calls to the platform's store or a relay, and measures and logs them."""

import typing
import urllib.parse
from collections import abc

import aiohttp
import prometheus_client

from dogwoodchute import answer_end, clock, log, pooled_connection
from dogwoodchute.platform import names

CONNECT_TIMEOUT = 0.6  # seconds
IDLE_TIMEOUT = 10.0  # seconds for which an unused connection is kept
SLOW_CALL = 0.5  # seconds, beyond the time for which the call asks to be held open
LARGE_ANSWER_BYTES = 100_000
MAX_ANSWER_BYTES = 16 * 1024 * 1024  # a page of rows has a few megabytes at the most
STALL_TIMEOUT = 0.6  # seconds without bytes, after which an answer counts as stalled
KINDS = {
    names.GET_PATH: "read",
    names.FEED_PATH: "feed",
    names.TX_PATH: "commit",
}
# A relay sets it to one of the two values below if the store did not answer it.
RELAY_STATUS_HEADER = "X-Relay-Status"
NOT_SENT = "not-sent"
NO_ANSWER = "no-answer"
MAX_ERA_DIGITS = 6  # of a number of restores
TOO_MANY_REQUESTS = 429  # status of an answer to a call beyond a bound
SERVICE_UNAVAILABLE = 503  # status of an answer: the store did nothing
STATUSES_WITH_BODY = frozenset({200, 412})  # whose body is needed; all bodies are JSON

call_seconds = prometheus_client.Histogram(
    "dogwoodchute_store_call_seconds",
    "Seconds from a call of the store to the end of its answer.",
    ["kind", "outcome"],
    buckets=(0.01, 0.05, 0.1, 0.3, 0.6, 1.2, 2.5, 5, 10),
)
bytes_received = prometheus_client.Counter(
    "dogwoodchute_store_bytes_received",
    "Bytes of answers of the store, those of unfinished answers included.",
    ["kind"],
)


class Answer(typing.NamedTuple):
    """A complete answer of the store, whatever its status."""

    status: int
    content: bytes
    era: int = 0  # of the store, 0 if the answer doesn't name it


class NotSent(typing.NamedTuple):
    """The call certainly had no effect."""

    reason: str
    peer: str


class NoAnswer(typing.NamedTuple):
    """The call may have had its effect, or may have it later."""

    reason: str
    peer: str
    # No byte came over a connection that was open before, so this tells nothing of new
    # connections.
    is_stale_connection: bool = False


CallOutcome = Answer | NotSent | NoAnswer


def is_too_many_requests(outcome: CallOutcome) -> bool:
    """Return whether the store answered that it gets too many calls."""
    return isinstance(outcome, Answer) and outcome.status == TOO_MANY_REQUESTS


def reached_store(outcome: CallOutcome) -> bool:
    """Return whether the store itself answered, if only that it gets too many calls."""
    return isinstance(outcome, Answer) and outcome.status != SERVICE_UNAVAILABLE


def is_refusal(outcome: CallOutcome) -> bool:
    """Return whether the store, or a relay, answered that it did nothing."""
    refusals = (TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE)
    return isinstance(outcome, Answer) and outcome.status in refusals


def is_stale_connection(outcome: CallOutcome) -> bool:
    """Return whether only a connection that was open before has failed."""
    return isinstance(outcome, NoAnswer) and outcome.is_stale_connection


def failure_reason(outcome: CallOutcome) -> str:
    """Return the words for an outcome that is no success, for logs and results."""
    if isinstance(outcome, Answer):
        return f"status {outcome.status}"
    return outcome.reason


class Sink(typing.NamedTuple):
    """Receives an answer as it arrives: its status and era first, then its bytes."""

    begin: abc.Callable[[int, int], abc.Awaitable[None]]
    write: abc.Callable[[bytes], abc.Awaitable[None]]


class Call(typing.NamedTuple):
    """A call, and how long its answer may take; times are in seconds."""

    method: str
    target: str
    body: bytes
    read_timeout: float  # the longest time without bytes
    total_timeout: float  # in which the whole answer must have arrived
    wait: float = 0.0  # for which the call asks the store to hold it open
    table: str = ""  # that is read, if any

    @property
    def kind(self) -> str:
        """What the call does, for logs and metrics."""
        return KINDS.get(urllib.parse.urlsplit(self.target).path, "other")


class _Progress:
    """How much of a call's answer has arrived, and when."""

    def __init__(self, *, call: Call) -> None:
        self.call = call
        self._sent_at = clock.monotonic()
        self.received_at = 0.0  # monotonic seconds of the last bytes of the body
        self.head_seconds: float | None = None
        self.content = bytearray()

    @property
    def seconds(self) -> float:
        """Seconds since the call was sent."""
        return clock.monotonic() - self._sent_at


class Transport:
    """The connections of one process to the store and to relays."""

    def __init__(self) -> None:
        self._session = pooled_connection.LazySession(
            keepalive_timeout=IDLE_TIMEOUT, auto_decompress=False
        )
        self._in_flight: set[_Progress] = set()

    def receiving(self, table: str) -> bool:
        """Return whether bytes of a table's rows are arriving at present."""
        stalled_before = clock.monotonic() - STALL_TIMEOUT
        return any(
            progress.call.table == table and progress.received_at > stalled_before
            for progress in self._in_flight
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def send(
        self, address: str, call: Call, *, sink: Sink | None = None
    ) -> CallOutcome:
        """Send a call to `address` and return its outcome.

        With `sink`, the answer is also written to it as it arrives.
        """
        progress = _Progress(call=call)
        self._in_flight.add(progress)
        try:
            outcome = await self._send(address, call, progress, sink)
        finally:
            self._in_flight.discard(progress)
        _record_call(address, call, progress, outcome)
        return outcome

    async def _send(
        self, address: str, call: Call, progress: _Progress, sink: Sink | None
    ) -> CallOutcome:
        use = pooled_connection.track_use()
        try:
            async with self._session.get().request(
                call.method,
                f"http://{address}{call.target}",
                data=call.body or None,
                headers={"Content-Type": "application/json"} if call.body else None,
                timeout=_timeout(call),
            ) as response:
                progress.head_seconds = progress.seconds
                era = _era(response.headers)
                if sink is not None:
                    await sink.begin(response.status, era)
                async for chunk in response.content.iter_any():
                    progress.content += chunk
                    if len(progress.content) > MAX_ANSWER_BYTES:
                        reason = f"the answer exceeds {MAX_ANSWER_BYTES} bytes"
                        return NoAnswer(reason, address)
                    progress.received_at = clock.monotonic()
                    if sink is not None:
                        await sink.write(chunk)
                if not _is_whole(response, progress.content):
                    return NoAnswer("the answer ended early", address)
                relay_status = response.headers.get(RELAY_STATUS_HEADER)
        except aiohttp.ClientConnectorError as error:
            return NotSent(str(error), address)
        except aiohttp.ConnectionTimeoutError:
            return NotSent("connecting timed out", address)
        except TimeoutError as error:
            reason = str(error) or type(error).__name__
            self._session.doubt(address, reason, use=use)
            is_stale = use.is_reused and progress.head_seconds is None
            return NoAnswer(reason, address, is_stale_connection=is_stale)
        except (aiohttp.ClientError, OSError) as error:
            return NoAnswer(str(error) or type(error).__name__, address)
        if relay_status == NOT_SENT:
            return NotSent("the relay did not reach the store", address)
        if relay_status == NO_ANSWER:
            return NoAnswer("the relay got no answer", address)
        return Answer(response.status, bytes(progress.content), era)


def _is_whole(response: aiohttp.ClientResponse, content: bytearray) -> bool:
    """Return whether an answer that was read to its end is the whole one."""
    if response.status not in STATUSES_WITH_BODY:
        return True
    return answer_end.tells_its_end(response) or answer_end.is_closed_json(content)


def _era(headers: abc.Mapping[str, str]) -> int:
    """Return the store's era that an answer names, 0 if it names none."""
    text = headers.get(names.STORE_ERA, "")
    return int(text) if text.isdecimal() and len(text) <= MAX_ERA_DIGITS else 0


def _timeout(call: Call) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=call.total_timeout,
        sock_connect=CONNECT_TIMEOUT,
        sock_read=call.read_timeout,
    )


def _record_call(
    address: str, call: Call, progress: _Progress, outcome: CallOutcome
) -> None:
    """Count a call that has ended, and log it if it was slow or large."""
    seconds, size = progress.seconds, len(progress.content)
    answered = isinstance(outcome, Answer)
    call_seconds.labels(call.kind, "answered" if answered else "failed").observe(
        seconds
    )
    bytes_received.labels(call.kind).inc(size)
    body_seconds = 0.0
    if progress.head_seconds is not None:
        body_seconds = seconds - progress.head_seconds
    slow = seconds > SLOW_CALL + call.wait or body_seconds > SLOW_CALL
    if not slow and size < LARGE_ANSWER_BYTES:
        return
    log.info(
        "store_call_slow" if slow else "store_call_large",
        kind=call.kind,
        peer=address,
        answered=answered,
        seconds=round(seconds, 3),
        body_seconds=round(body_seconds, 3),
        bytes=size,
    )
