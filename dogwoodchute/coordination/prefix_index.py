"""Which endpoint likely holds which prompt prefix in its cache.

A prompt is cut into blocks; a block's hash covers all that precedes it, as in the
block hashes of paged attention (Kwon et al., 2023). Endpoints publish the hashes that
they add and remove, late and with gaps, so the index is a hint and never more.
"""

import collections
from collections import abc

import xxhash

BLOCK = 64  # bytes of prompt text
MAX_BLOCKS = 128
GAP_WORTH = 0.5  # belief in entries from before a gap in the events


def block_hashes(text: bytes) -> tuple[int, ...]:
    """Return the chained hashes of the whole blocks at the head of `text`."""
    hashes = []
    previous = b""
    for start in range(0, min(len(text), BLOCK * MAX_BLOCKS) - BLOCK + 1, BLOCK):
        previous = xxhash.xxh64_digest(previous + text[start : start + BLOCK])
        hashes.append(int.from_bytes(previous, "big"))
    return tuple(hashes)


class PrefixIndex:
    """Bounded maps from block hashes to the endpoints that hold them."""

    def __init__(self, *, max_entries: int = 50_000) -> None:
        self._max_entries = max_entries
        self._holders: collections.OrderedDict[tuple[str, int], int]
        self._holders = collections.OrderedDict()  # value: the endpoint's generation
        self._generation: dict[str, int] = {}
        self._last: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def last(self, endpoint: str) -> int:
        """Return the number of the last event taken from an endpoint."""
        return self._last.get(endpoint, 0)

    def apply(
        self, endpoint: str, seq: int, add: abc.Iterable[int], remove: abc.Iterable[int]
    ) -> None:
        """Take one cache event; a number that skips ahead marks a gap."""
        last = self._last.get(endpoint, 0)
        if seq <= last:
            return
        if seq != last + 1 and last:
            self.mark_gap(endpoint)
        self._last[endpoint] = seq
        for block in remove:
            self._holders.pop((endpoint, block), None)
        self._add(endpoint, add)

    def note(self, endpoint: str, blocks: abc.Iterable[int]) -> None:
        """Expect an endpoint to hold the blocks of a prompt that it is given."""
        self._add(endpoint, blocks)

    def mark_gap(self, endpoint: str) -> None:
        """Halve the belief in all that is known of an endpoint."""
        self._generation[endpoint] = self._generation.get(endpoint, 0) + 1

    def restart(self, endpoint: str) -> None:
        """Take events from the start again, as after an engine's restart."""
        self.mark_gap(endpoint)
        self._last[endpoint] = 0

    def keep(self, endpoints: set[str]) -> None:
        """Drop all that is known of endpoints that are not in `endpoints`."""
        for key in [key for key in self._holders if key[0] not in endpoints]:
            del self._holders[key]
        for known in (self._generation, self._last):
            for name in set(known) - endpoints:
                del known[name]

    def match(self, endpoint: str, blocks: tuple[int, ...]) -> float:
        """Return how many leading blocks an endpoint likely holds."""
        generation = self._generation.get(endpoint, 0)
        held = 0.0
        for block in blocks:
            found = self._holders.get((endpoint, block))
            if found is None:
                break
            held += 1.0 if found == generation else GAP_WORTH
        return held

    def _add(self, endpoint: str, blocks: abc.Iterable[int]) -> None:
        generation = self._generation.get(endpoint, 0)
        for block in blocks:
            self._holders[endpoint, block] = generation
            self._holders.move_to_end((endpoint, block))
        while len(self._holders) > self._max_entries:
            self._holders.popitem(last=False)
