"""Decides from where a host fetches the store's tables.

A few hosts of each region, its sources, fetch the tables from the store. All other
hosts fetch them from a source, so that a change crosses the link to the store's region
only a few times. The sources are the first of the region's ready hosts by rendezvous
hashing, weighted by link speed, so all hosts with the same view of the fleet choose the
same ones. Hosts whose views differ still work: each answer tells the age of the
source's tables, and a host asks the store itself when its own become too old.

When all sources fail together, as when the store is unreachable for them, the groups of
the other hosts form a binary tree. A host then follows the nearest one above it that
has fresh tables, and asks the store itself if there is none. Each level of the tree
waits longer than the one above it, so that hosts don't all fetch the same bytes at
once, and the longest wait grows with the logarithm of the number of hosts. A host that
the store answers goes on following it, for those below, until another host has fresh
tables.
"""

import typing
from collections import abc

from dogwoodchute.coordination import ranking

SOURCES_PER_REGION = 3  # hosts of a region, also the size of a group
MAX_AGE = 1.5  # seconds of age of fresh tables; below the bound of small deployments
MAX_RECEIVING_AGE = 4.0  # seconds, while the source is receiving a change
LEVEL_DELAY = 0.2  # seconds between levels of groups that start to ask the store
RETRY_DELAY = 1.0  # seconds between calls to a failing store, times the group
REGAIN_DELAY = 1.0  # seconds for which sources may still be in a call that fails
STALE_SOURCE_PAUSE = 1.0  # seconds without calls to a source without fresh tables
FAILED_SOURCE_PAUSE = 3.0  # seconds without calls to a source that did not answer
KEY = "tables"  # hash key of the ranking of sources


class Peer(typing.NamedTuple):
    """A host that has the tables."""

    name: str
    region: str
    address: str
    link_mbps: float


class Plan(typing.NamedTuple):
    """Which peers to ask for the tables, in order, and when to ask the store.

    `group` is 0 for a host that always asks the store, such as a source. Otherwise it
    is the number of groups of hosts before this host's, and `ancestors` are the hosts
    above it in the tree, nearest first, to ask when it is time to ask the store.
    """

    peers: list[Peer]
    group: int
    ancestors: abc.Sequence[Peer] = ()


def is_fresh(age: float, *, receiving: bool = False) -> bool:
    """Return whether tables of this age, in seconds, are fresh enough to use.

    `receiving` tells that the source is receiving a change. Then another host that
    fetched the same bytes from the store would only delay them for all.
    """
    return seconds_fresh(age, receiving=receiving) >= 0


def seconds_fresh(age: float, *, receiving: bool = False) -> float:
    """Return the seconds for which tables of this age stay fresh, negative if old."""
    return (MAX_RECEIVING_AGE if receiving else MAX_AGE) - age


def level(group: int) -> int:
    """Return the depth of a group in the binary tree, 0 for the sources."""
    return group.bit_length()


def rank(peers: abc.Iterable[Peer]) -> list[Peer]:
    """Return the hosts of a region in the order in which they become sources."""
    return sorted(
        peers,
        key=lambda p: (-ranking.score(KEY, p.name, max(1.0, p.link_mbps)), p.name),
    )


def _above(group: int) -> list[int]:
    """Return the groups on the way from a group to the sources, nearest first."""
    return [group >> height for height in range(1, level(group) + 1)]


class Sources:
    """The sources that one host chooses, and the results of its calls.

    All times are in monotonic seconds.
    """

    def __init__(self, *, name: str, region: str) -> None:
        self.follows_store = False  # whether the store answered last, not a peer
        self._name = name
        self._region = region
        self._stale_until: dict[str, float] = {}  # by host; not asked until then
        self._failed_until: dict[str, float] = {}  # by host; not a source until then
        self._failed_at = 0.0  # when a source last failed to answer
        self._store_after = 0.0  # when the store may be asked again
        self._store_failed_at = 0.0
        self._is_store_reachable = True
        self._regained_at = 0.0  # when the store was reachable again
        self._last_peers: list[Peer] | None = None
        self._last_ranked: list[Peer] = []  # those of this region

    def plan(self, peers: list[Peer], *, store_reachable: bool, now: float) -> Plan:
        """Return which peers to ask.

        `peers` are the ready hosts, including this one once it is ready. A list that
        was passed before must not have changed since.
        `store_reachable` tells whether the store answers this host. If it does not, the
        first sources of other regions are asked too.
        """
        candidates = [
            peer
            for peer in self._ranked(peers)
            if now >= self._failed_until.get(peer.name, 0.0)
        ]
        sources = [
            peer for peer in candidates[:SOURCES_PER_REGION] if peer.name != self._name
        ]
        if len(sources) < len(candidates[:SOURCES_PER_REGION]) or not sources:
            # This host is a source itself, or the region has none.
            asked = [] if store_reachable else [*sources, *self._remote_sources(peers)]
            return Plan(self._ask_order(asked, now), group=0)
        names = [peer.name for peer in candidates]
        position = (
            names.index(self._name) if self._name in names else SOURCES_PER_REGION
        )
        if not store_reachable:
            sources = [*sources, *self._remote_sources(peers)]
        group, place = divmod(position, SOURCES_PER_REGION)
        ancestors = [
            candidates[above * SOURCES_PER_REGION + place] for above in _above(group)
        ]
        asked = self._ask_order(sources, now)
        if not asked:
            asked = [peer for peer in ancestors if self._may_ask(peer, now)][:1]
        return Plan(asked, group=group, ancestors=ancestors)

    def nearest(self, peers: list[Peer]) -> list[Peer]:
        """Return other hosts to ask what they know: a few here, one of each region.

        `peers` are as in `plan`. Hosts that failed lately are included.
        """
        local = [peer for peer in self._ranked(peers) if peer.name != self._name]
        return [*local[:SOURCES_PER_REGION], *self._remote_sources(peers)]

    def record_contact(self, *, reachable: bool, now: float) -> None:
        """Record whether the store answers this host, as seen from all its calls."""
        if reachable and not self._is_store_reachable:
            self._regained_at = now
        self._is_store_reachable = reachable

    def record_fresh_peer(self) -> None:
        """Record that a peer had fresh tables."""
        self.follows_store = False

    def record_peer_result(self, name: str, *, answered: bool, now: float) -> None:
        """Record that a source had no fresh tables, or did not answer.

        The next host of the ranking becomes a source in place of one that did not
        answer. That host detects the failure in the same way.
        """
        if answered:
            self._stale_until[name] = now + STALE_SOURCE_PAUSE
        else:
            self._failed_at = now
            self._failed_until[name] = now + FAILED_SOURCE_PAUSE

    def record_store_result(self, *, answered: bool, group: int, now: float) -> None:
        """Record whether the store answered a call."""
        self.follows_store = answered
        if not answered:
            self._store_failed_at = now
        self._store_after = now if answered else now + RETRY_DELAY * group

    def store_pause(self, age: float | None, *, group: int, now: float) -> float:
        """Return the seconds until the store is to be asked, 0 for now.

        No other host had fresh tables. `age` is that of this host's own tables in
        seconds, None if it has none. After a source failed, and once the store is
        reachable again, each level waits `LEVEL_DELAY` longer than the one above it, so
        that sources and the hosts that replace failed ones ask first.
        """
        if group == 0 or age is None or self.follows_store:
            return 0.0
        delay = LEVEL_DELAY * level(group)
        store_after = self._store_after
        if self._regained_at > self._store_failed_at:
            store_after = min(store_after, self._regained_at + REGAIN_DELAY + delay)
        earliest = max(store_after, self._failed_at + delay)
        return max(0.0, MAX_AGE + delay - LEVEL_DELAY - age, earliest - now)

    def _ranked(self, peers: list[Peer]) -> list[Peer]:
        """Return the hosts of this region, ranked once for each list."""
        if peers is not self._last_peers:
            self._last_peers = peers
            self._last_ranked = rank(p for p in peers if p.region == self._region)
        return self._last_ranked

    def _remote_sources(self, peers: list[Peer]) -> list[Peer]:
        """Return the first source of each other region."""
        regions = sorted({peer.region for peer in peers} - {self._region})
        return [rank(p for p in peers if p.region == region)[0] for region in regions]

    def _ask_order(self, sources: list[Peer], now: float) -> list[Peer]:
        """Return the sources to ask, those of this region first.

        Sources whose tables lately were not fresh are left out.
        """
        ordered = sorted(
            sources,
            key=lambda p: (
                p.region != self._region,
                -ranking.score(self._name, p.name, 1.0),
                p.name,
            ),
        )
        return [peer for peer in ordered if self._may_ask(peer, now)]

    def _may_ask(self, peer: Peer, now: float) -> bool:
        """Return whether it is long enough since a peer had no fresh tables."""
        return now >= self._stale_until.get(peer.name, 0.0)
