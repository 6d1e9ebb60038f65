"""Rate limits of what a host sends: a token bucket and a bounded priority queue."""

# Priorities of frames, most urgent first.
URGENT = 0  # heartbeats
REQUEST = 1  # calls and their answers
GOSSIP = 2  # hints
PRIORITIES = (URGENT, REQUEST, GOSSIP)


class Bucket:
    """A token bucket whose level one item may make negative.

    In any window of `t` seconds at most ``burst + rate * t`` bytes plus one item pass.
    So an item that is larger than the burst can be sent too.
    """

    def __init__(self, *, rate: float, burst: float) -> None:
        self.rate = rate  # bytes a second
        self.burst = burst  # bytes
        self._level = burst
        self._filled_at: float | None = None  # monotonic seconds

    def wait(self, now: float) -> float:
        """Return the seconds until the next item may be sent, 0 if it may now."""
        self._fill(now)
        return 0.0 if self._level > 0 else (1 - self._level) / self.rate

    def take(self, size: int, now: float) -> None:
        """Count an item of `size` bytes as sent."""
        self._fill(now)
        self._level -= size

    def _fill(self, now: float) -> None:
        if self._filled_at is not None and now > self._filled_at:
            gained = (now - self._filled_at) * self.rate
            self._level = min(self.burst, self._level + gained)
        self._filled_at = now if self._filled_at is None else max(now, self._filled_at)


class Outbox:
    """Frames that wait to be sent on one stream, bounded in bytes.

    There is a queue for each priority. `push` returns a ticket, a number by which the
    frame can be found or removed as long as it waits.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.bytes = 0
        self._queues: tuple[dict[int, bytes], ...] = ({}, {}, {})
        self._tickets = 0

    def push(self, priority: int, frame: bytes) -> int | None:
        """Add a frame and return its ticket, None if the outbox is too full."""
        if self.bytes + len(frame) > self.max_bytes:
            return None
        self._tickets += 1
        self._queues[priority][self._tickets] = frame
        self.bytes += len(frame)
        return self._tickets

    def has_waiting(self, priority: int) -> bool:
        """Return whether any frame of `priority` waits."""
        return bool(self._queues[priority])

    def pop(self, priority: int) -> bytes:
        """Remove and return the oldest frame of `priority`."""
        queue = self._queues[priority]
        frame = queue.pop(next(iter(queue)))
        self.bytes -= len(frame)
        return frame

    def holds(self, ticket: int) -> bool:
        """Return whether the frame of `ticket` still waits."""
        return any(ticket in queue for queue in self._queues)

    def discard(self, ticket: int) -> bool:
        """Remove a frame; return whether it still waited."""
        for queue in self._queues:
            frame = queue.pop(ticket, None)
            if frame is not None:
                self.bytes -= len(frame)
                return True
        return False


def shared_interval(hosts: int, *, fleet_rate: float, shortest: float) -> float:
    """Return the seconds between two calls of one host.

    They are at least `shortest`, and such that all `hosts` together make at most
    `fleet_rate` calls per second.
    """
    return max(shortest, hosts / fleet_rate)
