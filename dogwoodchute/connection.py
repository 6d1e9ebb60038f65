"""Connections of callers, which log what was lost when they are closed by force."""

import asyncio
import select
import time

import prometheus_client
from sanic.http import constants
from sanic.server.protocols import http_protocol

from dogwoodchute import log

# Reasons for closing a connection by force.
ABORT = "abort"  # an answer that was begun can't be completed
STOP = "stop"  # the host stops
TIMER = "timer"  # the caller sent nothing for too long

closed_by_force = prometheus_client.Counter(
    "dogwoodchute_connections_cut",
    "Connections that this host closed with a request under way or bytes unread.",
    ["reason", "stage"],
)
accepted = prometheus_client.Counter(
    "dogwoodchute_connections_accepted", "Connections that this host has taken."
)


class Connection(http_protocol.HttpProtocol):
    """A caller's connection; logs what it loses if it is closed by force."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Count an accepted connection."""
        accepted.inc()
        super().connection_made(transport)

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
        task = self._task
        super().check_timeouts()
        if task is not None and task.cancelling() and not self.idle:
            self._report(TIMER)

    def _report(
        self, reason: str, *, request: str | None = None, unsent: int = 0
    ) -> None:
        if self.idle and not unsent:
            return
        stage = "closing" if self.http is None else self.http.stage.name.lower()
        closed_by_force.labels(reason, stage).inc()
        log.warning(
            "connection_cut",
            reason=reason,
            stage=stage,
            request=request,
            unread=len(self.recv_buffer) or None,
            unsent=unsent or None,
            age=f"{time.monotonic() - self._time:.3f}",
        )
