"""The other hosts of the fleet, with those that were live until lately.

Hosts that divide a rate without talking must hardly differ in whom they count. One that
is cut off sees others go, which still send; so hosts count for a while after that.
"""

import typing
from collections import abc

from dogwoodchute.gateway import host_rows, rows

KEPT = 60.0  # seconds for which a host that has gone counts
# Seconds after a host's row was first read until all others know of it too.
SETTLING = 3.0
FRESH = 5.0  # seconds; an older copy of the table shows no host as gone


class Fleet(typing.Protocol):
    """What the rows of all hosts say."""

    # Monotonic seconds at which this host's own row was first read, None before that.
    registered_at: float | None

    @property
    def live(self) -> tuple[host_rows.Host, ...]:
        """The other live hosts."""


class RecentHosts:
    """The names of the other hosts that may hold shares of a rate."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        read_at: abc.Callable[[], float | None],
        now: abc.Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._read_at = read_at  # monotonic seconds of the last read of the table
        self._now = now
        self._seen_at: dict[str, float] = {}  # monotonic seconds by name
        self._names: tuple[str, ...] = ()

    @property
    def is_settled(self) -> bool:
        """Whether the other hosts know of this one, so that it may hold a share."""
        registered_at = self._fleet.registered_at
        return registered_at is not None and self._now() - registered_at >= SETTLING

    @property
    def names(self) -> tuple[str, ...]:
        """The names; the same tuple is returned until one is added or dropped."""
        self._see_live()
        if self._is_fresh():
            oldest = self._now() - KEPT
            for name, seen_at in list(self._seen_at.items()):
                if seen_at < oldest:
                    del self._seen_at[name]
        if self._seen_at.keys() != set(self._names):
            self._names = tuple(sorted(self._seen_at))
        return self._names

    def apply_changes(
        self, all_rows: dict[str, rows.Row], changed: list[rows.Row]
    ) -> None:
        """Note who is live after each change of the hosts' rows."""
        self._see_live()

    def _see_live(self) -> None:
        now = self._now()
        self._seen_at.update((host.name, now) for host in self._fleet.live)

    def _is_fresh(self) -> bool:
        read_at = self._read_at()
        return read_at is not None and self._now() - read_at < FRESH
