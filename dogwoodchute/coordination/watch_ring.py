"""Decides which hosts watch which, so that the death of each is noticed by a few.

All hosts form a ring, in the order of their hashes. Each host sends heartbeats to the
hosts after it and watches those before it. So a host's cost does not grow with the
fleet. Views of the fleet that differ for a moment do no harm: a host that is watched
without knowing it still answers a direct question.
"""

import typing
from collections import abc

from dogwoodchute.coordination import hashing

WATCHERS = 4  # of each host; all of them may die together with it


class Neighbours(typing.NamedTuple):
    """The hosts that watch a host, and those that it watches, by name."""

    watchers: tuple[str, ...]
    watched: tuple[str, ...]


def neighbours(own: str, others: abc.Iterable[str]) -> Neighbours:
    """Return the neighbours of the host `own` on the ring of it and `others`."""
    names = {own, *others}
    ring = sorted(names, key=lambda name: (hashing.digest(name), name))
    position = ring.index(own)
    count = min(WATCHERS, len(ring) - 1)
    after = [ring[(position + n) % len(ring)] for n in range(1, count + 1)]
    before = [ring[(position - n) % len(ring)] for n in range(1, count + 1)]
    return Neighbours(tuple(after), tuple(before))
