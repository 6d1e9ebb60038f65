"""Connections of callers, which log what they cut off."""

import asyncio
import time

import prometheus_client
from sanic.http import constants
from sanic.server.protocols import http_protocol

from dogwoodchute import log

ABORT = "abort"  # an answer that began can't be ended
STOP = "stop"  # the host stops
TIMER = "timer"  # the caller was silent for too long

cuts = prometheus_client.Counter(
    "dogwoodchute_connections_cut",
    "Connections that this host closed with a request under way or bytes unread.",
    ["reason", "stage"],
)
accepted = prometheus_client.Counter(
    "dogwoodchute_connections_accepted", "Connections that this host has taken."
)


class Connection(http_protocol.HttpProtocol):
    """A caller's connection."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Count a connection that was taken."""
        accepted.inc()
        super().connection_made(transport)

    @property
    def idle(self) -> bool:
        """Whether no byte of a request has come that is not answered."""
        if self.recv_buffer:
            return False
        return self.http is None or self.http.stage is constants.Stage.IDLE

    def close_if_idle(self) -> bool:
        """Close unless a request is under way; return whether no more work is left."""
        if self.idle or self.http is None:
            self.close()
            return True
        return False

    def cut(self, reason: str, *, request: str | None = None) -> None:
        """Close at once, with what is still to be written left out."""
        transport = self.transport
        if transport is None:
            return
        self._report(reason, request=request, unsent=transport.get_write_buffer_size())
        transport.abort()

    def check_timeouts(self) -> None:
        """Close the connection if its caller is silent for too long."""
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
        cuts.labels(reason, stage).inc()
        log.warning(
            "connection_cut",
            reason=reason,
            stage=stage,
            request=request,
            unread=len(self.recv_buffer) or None,
            unsent=unsent or None,
            age=f"{time.monotonic() - self._time:.3f}",
        )
