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
        """The other live hosts; the same tuple until a row changes."""


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
        self._live: tuple[host_rows.Host, ...] = ()  # as last seen
        self._gone_at: dict[str, float] = {}  # monotonic seconds by name
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
        if self._gone_at and self._is_fresh():
            self._drop_old()
        return self._names

    def apply_changes(
        self, all_rows: dict[str, rows.Row], changed: list[rows.Row]
    ) -> None:
        """Note who is live after each change of the hosts' rows."""
        self._see_live()

    def _see_live(self) -> None:
        live = self._fleet.live
        if live is self._live:
            return
        now = self._now()
        # Those that are missing now were live until this change.
        self._gone_at.update((host.name, now) for host in self._live)
        for host in live:
            self._gone_at.pop(host.name, None)
        self._live = live
        self._update_names()

    def _drop_old(self) -> None:
        oldest = self._now() - KEPT
        kept = {name: at for name, at in self._gone_at.items() if at >= oldest}
        if len(kept) < len(self._gone_at):
            self._gone_at = kept
            self._update_names()

    def _update_names(self) -> None:
        live = {host.name for host in self._live}
        self._names = tuple(sorted(live | self._gone_at.keys()))

    def _is_fresh(self) -> bool:
        read_at = self._read_at()
        return read_at is not None and self._now() - read_at < FRESH
