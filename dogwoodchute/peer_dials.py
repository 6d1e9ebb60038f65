"""When to dial which host: one attempt at a time, with growing pauses."""

import asyncio
from collections import abc

FIRST_RETRY = 0.2  # seconds before a failed dial is tried again
MAX_RETRY = 2.0  # seconds
YIELD = 0.5  # seconds that the host with the later name waits for a dial
GRACE = 1.0  # seconds that a host counts as heard while its lost stream is redialled
FORGET_AFTER = 60.0  # seconds
UNHEARD_CAUSES = frozenset({"silent", "slow reader"})


class Dial:
    """The dialling of one host."""

    def __init__(self, *, next_try: float) -> None:
        self.task: asyncio.Task | None = None
        self.delay = FIRST_RETRY  # seconds
        self.next_try = next_try  # monotonic seconds
        self.reason = ""  # why the last attempt failed
        self.heard_until = 0.0  # monotonic seconds

    @property
    def running(self) -> bool:
        """Whether an attempt is under way."""
        return self.task is not None and not self.task.done()


class Dials:
    """The dialling of all hosts by the host `own`."""

    def __init__(self, *, own: str, now: abc.Callable[[], float]) -> None:
        self._own = own
        self._now = now
        self._dials: dict[str, Dial] = {}

    def of(self, host: str) -> Dial:
        """Return the dialling of `host`.

        The host with the earlier name dials at once and the other a little later, so
        that two dials rarely cross.
        """
        if host not in self._dials:
            self._dials[host] = Dial(next_try=self._first_try(host))
        return self._dials[host]

    def _first_try(self, host: str) -> float:
        return self._now() + (YIELD if host < self._own else 0.0)

    def due(self, host: str) -> bool:
        """Return whether `host` may be dialled now."""
        dial = self.of(host)
        return not dial.running and self._now() >= dial.next_try

    def resting(self, host: str) -> bool:
        """Return whether the last attempt failed so lately that none is made now."""
        dial = self._dials.get(host)
        return dial is not None and dial.reason != "" and self._now() < dial.next_try

    def ended(self, host: str, reason: str) -> None:
        """Record the end of an attempt; `reason` is empty if the stream is open."""
        dial = self.of(host)
        dial.reason = reason
        if not reason:
            dial.delay = FIRST_RETRY
            dial.next_try = self._now()
            return
        dial.heard_until = 0.0
        dial.next_try = self._now() + dial.delay
        dial.delay = min(MAX_RETRY, 2 * dial.delay)

    def lost(self, host: str, reason: str) -> None:
        """Record the loss of the last stream to `host`."""
        dial = self.of(host)
        dial.next_try = self._first_try(host)
        if reason not in UNHEARD_CAUSES:
            dial.heard_until = self._now() + GRACE

    def heard(self) -> list[str]:
        """Return the hosts whose stream was lost just now and may be back at once."""
        now = self._now()
        return [name for name, dial in self._dials.items() if now < dial.heard_until]

    def prune(self, wanted: abc.Container[str]) -> None:
        """Forget hosts that nobody wants and that were not dialled lately."""
        old = self._now() - FORGET_AFTER
        for host, dial in list(self._dials.items()):
            if host not in wanted and dial.next_try < old and not dial.running:
                del self._dials[host]
