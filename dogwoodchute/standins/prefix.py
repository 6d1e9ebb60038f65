"""The prefix cache of the engine stand-in, and the events that it publishes."""

import collections
import typing
from collections import abc

import xxhash

BLOCK_BYTES = 64  # bytes of prompt text in one block
MAX_LOG = 1000  # newest events, which can still be fetched


class CacheEvent(typing.NamedTuple):
    """A block was stored or removed at the time `at`, in seconds."""

    sequence: int
    kind: str  # "stored" or "removed"
    block: str
    at: float


def prompt_text(messages: list[dict]) -> str:
    """Return the text of a prompt, which is split into blocks."""
    return "".join(f"{m.get('role', '')}\n{m.get('content', '')}\n" for m in messages)


def block_hashes(text: str) -> list[str]:
    """Return the hash of each full block, chained with the blocks before it."""
    data = text.encode()
    hashes = []
    previous = b""
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = data[start : start + BLOCK_BYTES]
        previous = xxhash.xxh64(previous + block).digest()
        hashes.append(previous.hex())
    return hashes


class PrefixCache:
    """Holds up to `capacity` blocks and evicts the least recently used ones.

    Events are published `lag` seconds late. Every `drop_every`-th one is lost, if set.
    """

    def __init__(self, *, capacity: int, now: abc.Callable[[], float]) -> None:
        self.capacity = capacity
        self.lag = 0.0
        self.drop_every = 0
        self._now = now
        self._blocks: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._sequence = 0
        self._log: collections.deque[CacheEvent] = collections.deque(maxlen=MAX_LOG)

    def __len__(self) -> int:
        return len(self._blocks)

    def use(self, hashes: list[str]) -> int:
        """Store a prompt's blocks; return how many leading ones were cached."""
        cached = 0
        for block in hashes:
            if block not in self._blocks:
                break
            cached += 1
        for block in hashes:
            if block not in self._blocks:
                self._publish("stored", block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.capacity:
            block, _ = self._blocks.popitem(last=False)
            self._publish("removed", block)
        return cached

    def clear(self) -> None:
        """Remove all blocks, as a restart does."""
        for block in self._blocks:
            self._publish("removed", block)
        self._blocks.clear()

    def events(self, after: int) -> list[CacheEvent]:
        """Return the published events with a sequence number above `after`."""
        latest_at = self._now() - self.lag
        return [e for e in self._log if e.sequence > after and e.at <= latest_at]

    def _publish(self, kind: str, block: str) -> None:
        self._sequence += 1
        if self.drop_every and self._sequence % self.drop_every == 0:
            return
        self._log.append(CacheEvent(self._sequence, kind, block, self._now()))
