"""Decides from where a host gets the store's tables.

A few hosts of each region, its sources, follow the store; all others follow a source,
so that a change crosses the link to the store's region a few times only. Sources are
the best of the region's ready hosts by rendezvous hashing, weighted with the speed of
their links, so that all hosts with the same view name the same ones. Nothing depends on
a common view: each answer tells how old the source's knowledge is, and a host goes to
the store itself when its own becomes too old.

When the sources fail together, as when the store is away, the other hosts go to the
store in groups, one after the other, so that they don't all ask for the same bytes.
"""

import typing
from collections import abc

from dogwoodchute.coordination import ranking

SOURCES = 3  # of a region
MAX_AGE = 1.5  # seconds of knowledge that is fresh, under the bound of small sites
MAX_RECEIVING_AGE = 4.0  # seconds, while the news are on their way to the source
GROUP_DELAY = 0.25  # seconds of age between the groups of `SOURCES` hosts
RETRY_DELAY = 1.0  # seconds between calls of a store that failed, times the group
STALE_REST = 1.0  # seconds without calls of a source that knew nothing fresh
FAILED_REST = 3.0  # seconds without calls of a source that did not answer
KEY = "tables"  # of the ranking of sources


class Peer(typing.NamedTuple):
    """A host that has the tables."""

    name: str
    region: str
    address: str
    link_mbps: float


class Plan(typing.NamedTuple):
    """Whom to ask now, and when to go to the store.

    `group` is 0 for a host that follows the store. Else it says how many groups of
    hosts go to the store before this one does.
    """

    peers: list[Peer]
    group: int


def fresh(age: float, *, receiving: bool = False) -> bool:
    """Return whether to follow a source whose knowledge has this age, in seconds.

    While bytes are coming in at the source, one more host that fetched them would only
    make them late for all.
    """
    return age <= (MAX_RECEIVING_AGE if receiving else MAX_AGE)


def rank(peers: abc.Iterable[Peer]) -> list[Peer]:
    """Return the hosts of a region in the order in which they become sources."""
    return sorted(
        peers,
        key=lambda p: (-ranking.score(KEY, p.name, max(1.0, p.link_mbps)), p.name),
    )


class Sources:
    """The sources as one host sees them, and how its calls went."""

    def __init__(self, *, name: str, region: str) -> None:
        self._name = name
        self._region = region
        self._rest_until: dict[str, float] = {}  # monotonic seconds by host
        self._failed_until: dict[str, float] = {}  # likewise, without an answer
        self._failed_at = 0.0  # monotonic seconds: the last time that a source failed
        self._store_after = 0.0  # monotonic seconds: the store is asked again

    def plan(self, peers: list[Peer], *, direct: bool, now: float) -> Plan:
        """Return whom to ask.

        `peers` are the ready hosts, this one included once it is ready. `direct` tells
        whether the store answers this host.
        """
        near = rank(
            peer
            for peer in peers
            if peer.region == self._region
            and now >= self._failed_until.get(peer.name, 0.0)
        )
        sources = [peer for peer in near[:SOURCES] if peer.name != self._name]
        if len(sources) < len(near[:SOURCES]) or not sources:
            asked = [] if direct else [*sources, *self._far_sources(peers)]
            return Plan(self._order(asked, now), group=0)
        names = [peer.name for peer in near]
        place = names.index(self._name) if self._name in names else SOURCES
        if not direct:
            sources = [*sources, *self._far_sources(peers)]
        return Plan(self._order(sources, now), group=place // SOURCES)

    def note_peer(self, name: str, *, answered: bool, now: float) -> None:
        """Take in that a source knew nothing fresh, or did not answer.

        In the place of one that did not answer the next host of the ranking is a
        source: that one learns of it in the same way.
        """
        if answered:
            self._rest_until[name] = now + STALE_REST
        else:
            self._failed_at = now
            self._failed_until[name] = now + FAILED_REST

    def note_store(self, *, answered: bool, group: int, now: float) -> None:
        """Take in how a call of the store went."""
        self._store_after = now if answered else now + RETRY_DELAY * group

    def store_due(self, age: float | None, *, group: int, now: float) -> bool:
        """Return whether to go to the store after no source knew anything fresh.

        `age` is that of this host's own knowledge in seconds, None without any. The
        hosts that take the place of failed sources get some time before others follow.
        """
        if group == 0 or age is None:
            return True
        first = max(self._store_after, self._failed_at + GROUP_DELAY * group)
        return age > MAX_AGE + GROUP_DELAY * (group - 1) and now >= first

    def _far_sources(self, peers: list[Peer]) -> list[Peer]:
        """Return the first source of each other region."""
        regions = sorted({peer.region for peer in peers} - {self._region})
        return [rank(p for p in peers if p.region == region)[0] for region in regions]

    def _order(self, sources: list[Peer], now: float) -> list[Peer]:
        """Return the sources to ask, near ones first, without those that rest."""
        ordered = sorted(
            sources,
            key=lambda p: (
                p.region != self._region,
                -ranking.score(self._name, p.name, 1.0),
                p.name,
            ),
        )
        return [p for p in ordered if now >= self._rest_until.get(p.name, 0.0)]
