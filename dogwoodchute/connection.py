"""Connections of callers, which log what was lost when they are closed by force."""

import asyncio
import select
import time

import prometheus_client
from sanic.http import constants
from sanic.server.protocols import http_protocol

from dogwoodchute import log
from dogwoodchute.intake import account

# Reasons for closing a connection by force.
ABORT = "abort"  # an answer that was begun can't be completed
STOP = "stop"  # the host stops
TIMER = "timer"  # the caller sent nothing for too long

# Seconds without any byte taken by a caller, while some wait for it. Callers that read
# slowly take some now and then; none waits as long for the end of an answer.
UNREAD_TIMEOUT = 60.0
CONNECTION_BYTES = 16 << 10  # that an open connection takes
FIELD_BYTES = 400  # that a field of a head takes, beside its text
# Stages of a request whose head was read.
ANSWERING = (
    constants.Stage.HANDLER,
    constants.Stage.RESPONSE,
    constants.Stage.FAILED,
)

closed_by_force = prometheus_client.Counter(
    "dogwoodchute_connections_cut",
    "Connections that this host closed with a request under way or bytes unread.",
    ["reason", "stage"],
)
accepted = prometheus_client.Counter(
    "dogwoodchute_connections_accepted", "Connections that this host has taken."
)


class Connection(http_protocol.HttpProtocol):
    """A caller's connection; logs what it loses if it is closed by force.

    It tells the process's account of callers (`intake.account`) what it holds.
    """

    # Sanic's metaclass leaves instances without a dictionary.
    __slots__ = ("_account", "_head_began_at", "_is_passed_on", "_reading", "_sent")

    def __init__(self, **options: object) -> None:
        super().__init__(**options)
        self._account: account.Account = self.app.ctx.account
        self._head_began_at: float | None = None  # monotonic seconds, of a partial head
        self._is_passed_on = False  # the request that was read whole
        self._sent = 0  # bytes of answers
        # Bytes that the caller had taken, and monotonic seconds at which it took more.
        self._reading = (0, time.monotonic())

    @property
    def held(self) -> int:
        """Bytes that the process keeps for this connection, as an estimate."""
        held = CONNECTION_BYTES + len(self.recv_buffer)
        if self.transport is not None:
            held += self.transport.get_write_buffer_size()
        http = self.http
        if http is None or http.stage not in ANSWERING or http.request is None:
            return held
        held += len(http.request.head) + FIELD_BYTES * len(http.request.headers)
        # Sanic sets both only once a head was read.
        return held + (http.request_bytes or 0) - (http.request_bytes_left or 0)

    @property
    def moved_at(self) -> float:
        """Monotonic seconds of the last byte that was received or sent."""
        return self._time

    @property
    def is_expendable(self) -> bool:
        """Whether no request that was passed on would be lost with this connection.

        One that follows it, and whose body is incomplete, is none.
        """
        http = self.http
        if not self._is_passed_on or http is None or http.stage not in ANSWERING:
            return True
        return http.stage is constants.Stage.HANDLER and bool(http.request_body)

    def discard(self, reason: str) -> None:
        """Close at once; the account of callers logs the reason."""
        closed_by_force.labels(reason, self._stage).inc()
        if self.transport is not None:
            self.transport.abort()

    def admit_request(self) -> bool:
        """Return whether the request that was read whole may be passed on."""
        self._head_began_at = None
        self._is_passed_on = self._account.admits(self)
        return self._is_passed_on

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Count an accepted connection."""
        accepted.inc()
        super().connection_made(transport)
        self._time = time.monotonic()
        self._account.open(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Count a connection that has ended."""
        self._account.close(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count what the caller sent."""
        if self.idle:
            self._is_passed_on = False
            self._head_began_at = time.monotonic()
        super().data_received(data)
        self._account.update(self)

    async def send(self, data: bytes) -> None:
        """Send a part of an answer, and count what the caller hasn't read."""
        await super().send(data)
        self._sent += len(data)
        self._account.update(self)

    def read_on(self) -> None:
        """Read on while a request that was read whole is answered.

        Sanic pauses when many bytes wait, and reads on only when it needs more, so the
        end of a connection that is paused would be seen after the answer.
        """
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def has_left(self) -> bool:
        """Return whether the caller has closed, though that may not be read yet.

        A host that is late reads a request and the close behind it one after the other.
        """
        if self.transport is None or self.transport.is_closing():
            return True
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket"), select.POLLRDHUP)
        return bool(poller.poll(0))

    @property
    def idle(self) -> bool:
        """Whether no request is under way and none has begun to arrive."""
        if self.recv_buffer:
            return False
        return self.http is None or self.http.stage is constants.Stage.IDLE

    def close_if_idle(self) -> bool:
        """Close unless a request is under way; return whether none is."""
        if self.idle or self.http is None:
            self.close()
            return True
        return False

    def force_close(self, reason: str, *, request: str | None = None) -> None:
        """Close at once and discard what is not yet written.

        `request` is the id of the request to log.
        """
        transport = self.transport
        if transport is None:
            return
        self._report(reason, request=request, unsent=transport.get_write_buffer_size())
        transport.abort()

    def check_timeouts(self) -> None:
        """Close the connection if its caller has sent nothing for too long."""
        if self._is_too_slow():
            self._report(TIMER)
            self.discard(TIMER)
            return
        task = self._task
        super().check_timeouts()
        if task is not None and task.cancelling() and not self.idle:
            self._report(TIMER)

    def _is_too_slow(self) -> bool:
        """Return whether a head takes too long, or bytes have stopped for too long.

        These are bytes of a body that arrives, or of an answer that the caller reads.
        """
        http = self.http
        if http is None or self._task is None:
            return False
        now = time.monotonic()
        if self._has_stopped_reading(now):
            return True
        if http.stage is constants.Stage.REQUEST:
            # A head that came behind another request counts from the first check on.
            self._head_began_at = self._head_began_at or now
            return now - self._head_began_at > self.app.ctx.head_timeout
        is_reading = http.stage is constants.Stage.HANDLER and http.request_body
        return bool(is_reading) and now - self._time > self.keep_alive_timeout

    def _has_stopped_reading(self, now: float) -> bool:
        """Return whether bytes wait of which the caller has taken none for too long."""
        unread = self.transport.get_write_buffer_size() if self.transport else 0
        taken, taken_at = self._reading
        if not unread or self._sent - unread > taken:
            self._reading = (self._sent - unread, now)
            return False
        return now - taken_at > UNREAD_TIMEOUT

    @property
    def _stage(self) -> str:
        return "closing" if self.http is None else self.http.stage.name.lower()

    def _report(
        self, reason: str, *, request: str | None = None, unsent: int = 0
    ) -> None:
        if self.idle and not unsent:
            return
        closed_by_force.labels(reason, self._stage).inc()
        log.warning(
            "connection_cut",
            reason=reason,
            stage=self._stage,
            request=request,
            unread=len(self.recv_buffer) or None,
            unsent=unsent or None,
            age=f"{time.monotonic() - self._time:.3f}",
        )
