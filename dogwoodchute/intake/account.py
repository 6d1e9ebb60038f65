"""One account of what all connections of callers hold, and who is closed beyond it.

This answers the load of callers that don't behave: many bodies that stop short of their
end, heads that never end, connections that send nothing, answers that nobody reads.
Each is legal by itself. Beyond a limit the connection is closed that holds most and
moves least, so ordinary callers, who hold little and go on, keep their room.
"""

import typing
from collections import abc

import prometheus_client

from dogwoodchute import log
from dogwoodchute.intake import limits

# Reasons for closing a connection.
MEMORY = "memory"
CONNECTIONS = "connections"
# Seconds that are added to the time since a connection's last byte, so that of those
# that move now the largest is closed.
MOVING = 0.05
LOG_INTERVAL = 1.0  # seconds between log lines of one reason

held_bytes = prometheus_client.Gauge(
    "dogwoodchute_intake_bytes", "Bytes that connections of callers hold."
)
open_connections = prometheus_client.Gauge(
    "dogwoodchute_intake_connections", "Open connections of callers."
)
refused = prometheus_client.Counter(
    "dogwoodchute_intake_refused",
    "Connections closed and requests refused as callers hold too much, by reason.",
    ["reason"],
)


class Connection(typing.Protocol):
    """A connection of a caller, as the account sees it."""

    @property
    def held(self) -> int:
        """Bytes that the process keeps for it."""

    @property
    def moved_at(self) -> float:
        """Monotonic seconds of the last byte that was received or sent."""

    @property
    def is_expendable(self) -> bool:
        """Whether it can be closed without the loss of a request that was passed on."""

    def discard(self, reason: str) -> None:
        """Close it at once."""


def choose(connections: abc.Iterable[Connection], now: float) -> Connection | None:
    """Return the connection to close: the one that holds most and moves least.

    Returns None if each has a request that was passed on.
    """
    return max(
        (each for each in connections if each.is_expendable),
        key=lambda each: each.held * (now - each.moved_at + MOVING),
        default=None,
    )


class Account:
    """The connections of all listeners of a process."""

    def __init__(self, *, now: abc.Callable[[], float]) -> None:
        self._now = now
        self._limits = limits.limits()
        self._held: dict[Connection, int] = {}  # bytes
        self._total = 0  # bytes
        self._logged_at: dict[str, float] = {}  # monotonic seconds by reason
        self._unlogged: dict[str, int] = {}  # refusals since then, by reason
        # Read when an operator asks, as both change with each byte of a caller.
        held_bytes.set_function(lambda: self._total)
        open_connections.set_function(lambda: len(self._held))

    def set_limits(self, new_limits: limits.Limits) -> None:
        """Set the limits, for open connections too."""
        self._limits = new_limits

    def open(self, connection: Connection) -> None:
        """Add a connection; this may close any, also the new one."""
        self._held[connection] = 0
        self.update(connection)
        while len(self._held) > self._limits.connections:
            others = (each for each in self._held if each is not connection)
            self._discard(choose(others, self._now()) or connection, CONNECTIONS)

    def close(self, connection: Connection) -> None:
        """Remove a connection that has ended."""
        self._total -= self._held.pop(connection, 0)

    def update(self, connection: Connection) -> None:
        """Count anew what a connection holds; this may close any."""
        if connection not in self._held:
            return
        self._count(connection)
        if self._total > self._limits.memory:
            self._relieve()

    def admits(self, connection: Connection) -> bool:
        """Return whether a whole request may be passed on.

        False if what all connections hold is too much and nothing can be closed.
        """
        self.update(connection)
        is_admitted = connection in self._held and self._total <= self._limits.memory
        if not is_admitted:
            self._record(MEMORY)
        return is_admitted

    def _relieve(self) -> None:
        """Close connections until what all hold is within the limit."""
        for each in self._held:
            self._count(each)
        while self._total > self._limits.memory:
            chosen = choose(self._held, self._now())
            if chosen is None:
                return
            self._discard(chosen, MEMORY)

    def _count(self, connection: Connection) -> None:
        held = connection.held
        self._total += held - self._held[connection]
        self._held[connection] = held

    def _discard(self, connection: Connection, reason: str) -> None:
        self._total -= self._held.pop(connection)
        self._record(reason)
        connection.discard(reason)

    def _record(self, reason: str) -> None:
        refused.labels(reason).inc()
        self._unlogged[reason] = self._unlogged.get(reason, 0) + 1
        now = self._now()
        if now - self._logged_at.get(reason, float("-inf")) < LOG_INTERVAL:
            return
        self._logged_at[reason] = now
        log.warning(
            "intake_refused",
            reason=reason,
            count=self._unlogged.pop(reason),
            held=self._total,
            connections=len(self._held),
        )
