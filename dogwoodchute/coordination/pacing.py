"""Paces what a host sends: a token bucket, and a bounded queue with priorities."""

URGENT = 0  # heartbeats
REQUEST = 1  # calls and their answers
GOSSIP = 2  # hints
PRIORITIES = (URGENT, REQUEST, GOSSIP)


class Bucket:
    """A token bucket that may go into debt by one item.

    In any window of `t` seconds at most ``burst + rate * t`` bytes and one item more
    pass, so an item larger than the burst still gets through.
    """

    def __init__(self, *, rate: float, burst: float) -> None:
        self.rate = rate  # bytes a second
        self.burst = burst  # bytes
        self._level = burst
        self._filled: float | None = None  # monotonic seconds

    def wait(self, now: float) -> float:
        """Return the seconds until the next item may pass, 0 if it may now."""
        self._fill(now)
        return 0.0 if self._level > 0 else (1 - self._level) / self.rate

    def take(self, size: int, now: float) -> None:
        """Count an item of `size` bytes as passed."""
        self._fill(now)
        self._level -= size

    def _fill(self, now: float) -> None:
        if self._filled is not None and now > self._filled:
            gained = (now - self._filled) * self.rate
            self._level = min(self.burst, self._level + gained)
        self._filled = now if self._filled is None else max(now, self._filled)


class Outbox:
    """Frames that wait to be sent on one stream, bounded in bytes.

    Frames leave by priority, and in order of arrival within a priority.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.bytes = 0
        self._queues: tuple[dict[int, bytes], ...] = ({}, {}, {})
        self._tickets = 0

    def push(self, priority: int, frame: bytes) -> int | None:
        """Add a frame and return its ticket, None if there is no room for it."""
        if self.bytes + len(frame) > self.max_bytes:
            return None
        self._tickets += 1
        self._queues[priority][self._tickets] = frame
        self.bytes += len(frame)
        return self._tickets

    def waiting(self, priority: int) -> bool:
        """Return whether a frame of `priority` waits."""
        return bool(self._queues[priority])

    def pop(self, priority: int) -> bytes:
        """Remove and return the oldest frame of `priority`."""
        queue = self._queues[priority]
        frame = queue.pop(next(iter(queue)))
        self.bytes -= len(frame)
        return frame

    def holds(self, ticket: int) -> bool:
        """Return whether the frame of `ticket` has not been popped."""
        return any(ticket in queue for queue in self._queues)

    def discard(self, ticket: int) -> bool:
        """Remove a frame; return False if it has been popped."""
        for queue in self._queues:
            frame = queue.pop(ticket, None)
            if frame is not None:
                self.bytes -= len(frame)
                return True
        return False


def shared_interval(hosts: int, *, fleet_rate: float, shortest: float) -> float:
    """Return the seconds between two calls of one host.

    All `hosts` together then make at most `fleet_rate` calls a second, and none makes
    two within `shortest` seconds.
    """
    return max(shortest, hosts / fleet_rate)
