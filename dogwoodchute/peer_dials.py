"""When to dial which host: one attempt at a time, with exponential backoff."""

import asyncio
from collections import abc

MIN_RETRY_DELAY = 0.2  # seconds before a failed dial is retried
MAX_RETRY_DELAY = 2.0  # seconds
# Seconds that the host with the later name waits for the other to dial.
LATER_NAME_DELAY = 0.5
# Seconds that a host counts as recently open while its lost stream is redialled.
REDIAL_GRACE = 1.0
FORGET_AFTER = 60.0  # seconds
# Reasons of a loss after which a host doesn't count as recently open: it most likely
# receives nothing or sends nothing.
UNRESPONSIVE_REASONS = frozenset({"silent", "slow reader"})


class DialState:
    """The dial attempts to one host."""

    def __init__(self, *, next_try_at: float) -> None:
        self.task: asyncio.Task | None = None
        self.retry_delay = MIN_RETRY_DELAY  # seconds
        self.next_try_at = next_try_at  # monotonic seconds
        self.failure = ""  # reason of the last attempt's failure, empty if it succeeded
        self.recently_open_until = 0.0  # monotonic seconds

    @property
    def is_running(self) -> bool:
        """Whether an attempt is in progress."""
        return self.task is not None and not self.task.done()


class DialSchedule:
    """The dial attempts of the host `own_name` to all hosts."""

    def __init__(self, *, own_name: str, now: abc.Callable[[], float]) -> None:
        self._own_name = own_name
        self._now = now
        self._states: dict[str, DialState] = {}

    def state_of(self, host: str) -> DialState:
        """Return the dial state of `host`, a new one if there is none.

        The host with the earlier name dials at once and the other a little later, so
        that two hosts rarely dial each other at once.
        """
        if host not in self._states:
            self._states[host] = DialState(next_try_at=self._first_try_at(host))
        return self._states[host]

    def _first_try_at(self, host: str) -> float:
        return self._now() + (LATER_NAME_DELAY if host < self._own_name else 0.0)

    def is_due(self, host: str) -> bool:
        """Return whether `host` may be dialled now."""
        dial = self.state_of(host)
        return not dial.is_running and self._now() >= dial.next_try_at

    def is_backing_off(self, host: str) -> bool:
        """Return whether the last attempt failed and its retry is not due yet."""
        dial = self._states.get(host)
        return (
            dial is not None and dial.failure != "" and self._now() < dial.next_try_at
        )

    def record_attempt(self, host: str, failure: str) -> None:
        """Record the end of an attempt; `failure` is empty if the stream is open."""
        dial = self.state_of(host)
        dial.failure = failure
        if not failure:
            dial.retry_delay = MIN_RETRY_DELAY
            dial.next_try_at = self._now()
            return
        dial.recently_open_until = 0.0
        dial.next_try_at = self._now() + dial.retry_delay
        dial.retry_delay = min(MAX_RETRY_DELAY, 2 * dial.retry_delay)

    def record_loss(self, host: str, reason: str) -> None:
        """Record the loss of the last stream to `host`."""
        dial = self.state_of(host)
        dial.next_try_at = self._first_try_at(host)
        if reason not in UNRESPONSIVE_REASONS:
            dial.recently_open_until = self._now() + REDIAL_GRACE

    def recently_open(self) -> list[str]:
        """Return the responsive hosts whose stream was lost within `REDIAL_GRACE`."""
        now = self._now()
        return [
            name
            for name, dial in self._states.items()
            if now < dial.recently_open_until
        ]

    def prune(self, wanted: abc.Container[str]) -> None:
        """Forget hosts that are not in `wanted` and were not dialled recently."""
        forget_before = self._now() - FORGET_AFTER
        for host, dial in list(self._states.items()):
            if (
                host not in wanted
                and dial.next_try_at < forget_before
                and not dial.is_running
            ):
                del self._states[host]
