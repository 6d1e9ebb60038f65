"""When a host has read enough tables to serve callers."""

from collections import abc

from dogwoodchute import log
from dogwoodchute.gateway import rows
from dogwoodchute.gateway.following import mirror

# Seconds for which the table of hosts is waited for after the others. Parts of the
# store may be unavailable, and a host can serve without it.
MAX_HOSTS_WAIT = 1.0


class Readiness:
    """Whether a host has read what it needs to serve callers.

    Until it has read the table of hosts, a host takes itself for one that was killed
    and is alone, so it draws few tokens and takes all retries of the fleet for its own.
    It also may not know the quarantined parts of prompts yet.

    `has_needed` says whether the tables were read without which nothing can be served,
    `has_hosts` whether the hosts' was. `started_at` is the start of the process in
    monotonic seconds.
    """

    def __init__(
        self,
        *,
        has_needed: abc.Callable[[], bool],
        has_hosts: abc.Callable[[], bool],
        started_at: float,
        now: abc.Callable[[], float],
    ) -> None:
        self._has_needed = has_needed
        self._has_hosts = has_hosts
        self._started_at = started_at
        self._now = now
        self._waits_since: float | None = None  # monotonic seconds; for the hosts
        self._is_ready = False

    def check(self) -> bool:
        """Return whether callers can be served; once true, it stays so."""
        if self._is_ready or not self._has_needed():
            return self._is_ready
        now = self._now()
        if self._waits_since is None:
            self._waits_since = now
        has_hosts = self._has_hosts()
        if not has_hosts and now - self._waits_since < MAX_HOSTS_WAIT:
            return False
        self._is_ready = True
        log.info(
            "became_ready", seconds=f"{now - self._started_at:.3f}", hosts=has_hosts
        )
        return True

    def wrap(self, on_change: mirror.OnChange) -> mirror.OnChange:
        """Return a callback that calls `on_change` and then checks for readiness."""

        def run(all_rows: dict[str, rows.Row], changed: list[rows.Row]) -> None:
            on_change(all_rows, changed)
            self.check()

        return run
