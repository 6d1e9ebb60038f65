"""Which endpoints likely have which prompt prefixes in their caches.

A prompt is split into blocks. The hash of a block covers all blocks before it too, as
in the block hashes of paged attention (Kwon et al., 2023). Endpoints publish events
with the hashes that they add and remove. The events arrive late and some are lost, so
the index is only a hint.
"""

import collections
from collections import abc

import xxhash

BLOCK = 64  # bytes of prompt text
MAX_BLOCKS = 128
GAP_WORTH = 0.5  # worth of an entry from before a gap in the events


def block_hashes(text: bytes) -> tuple[int, ...]:
    """Return the chained hashes of the full blocks of `text`, `MAX_BLOCKS` at most."""
    hashes = []
    previous = b""
    for start in range(0, min(len(text), BLOCK * MAX_BLOCKS) - BLOCK + 1, BLOCK):
        previous = xxhash.xxh64_digest(previous + text[start : start + BLOCK])
        hashes.append(int.from_bytes(previous, "big"))
    return tuple(hashes)


class PrefixIndex:
    """A bounded map from blocks to the endpoints that likely have them cached."""

    def __init__(self, *, max_entries: int = 50_000) -> None:
        self._max_entries = max_entries
        # The endpoint's generation by endpoint and block, least recently added first.
        self._holders: collections.OrderedDict[tuple[str, int], int]
        self._holders = collections.OrderedDict()
        self._generation: dict[str, int] = {}  # number of gaps, by endpoint
        self._last: dict[str, int] = {}  # number of the last event, by endpoint

    def __len__(self) -> int:
        return len(self._holders)

    def last_event_number(self, endpoint: str) -> int:
        """Return the number of the last event applied of an endpoint."""
        return self._last.get(endpoint, 0)

    def apply(
        self, endpoint: str, seq: int, add: abc.Iterable[int], remove: abc.Iterable[int]
    ) -> None:
        """Apply one cache event of an endpoint.

        Events with an old number are ignored; a number that is too high marks a gap.
        """
        last = self._last.get(endpoint, 0)
        if seq <= last:
            return
        if seq != last + 1 and last:
            self.mark_gap(endpoint)
        self._last[endpoint] = seq
        for block in remove:
            self._holders.pop((endpoint, block), None)
        self._add(endpoint, add)

    def add_expected(self, endpoint: str, blocks: abc.Iterable[int]) -> None:
        """Add the blocks of a prompt that is being sent to an endpoint."""
        self._add(endpoint, blocks)

    def mark_gap(self, endpoint: str) -> None:
        """Mark that events were lost; earlier entries then count `GAP_WORTH` each."""
        self._generation[endpoint] = self._generation.get(endpoint, 0) + 1

    def restart(self, endpoint: str) -> None:
        """Accept event numbers from 1 on again, as after a restart of the engine."""
        self.mark_gap(endpoint)
        self._last[endpoint] = 0

    def keep(self, endpoints: set[str]) -> None:
        """Drop all entries of endpoints that are not in `endpoints`."""
        for key in [key for key in self._holders if key[0] not in endpoints]:
            del self._holders[key]
        for known in (self._generation, self._last):
            for name in set(known) - endpoints:
                del known[name]

    def match(self, endpoint: str, blocks: tuple[int, ...]) -> float:
        """Return how many leading blocks an endpoint likely has cached.

        Entries from before a gap count `GAP_WORTH` each.
        """
        generation = self._generation.get(endpoint, 0)
        cached = 0.0
        for block in blocks:
            found = self._holders.get((endpoint, block))
            if found is None:
                break
            cached += 1.0 if found == generation else GAP_WORTH
        return cached

    def _add(self, endpoint: str, blocks: abc.Iterable[int]) -> None:
        generation = self._generation.get(endpoint, 0)
        for block in blocks:
            self._holders[endpoint, block] = generation
            self._holders.move_to_end((endpoint, block))
        while len(self._holders) > self._max_entries:
            self._holders.popitem(last=False)
