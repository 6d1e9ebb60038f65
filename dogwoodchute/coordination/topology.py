"""Which hosts of a fleet keep streams to one another: a sparse, undirected graph.

The hosts of a data centre form two rings, each ordered by a hash of its own. The data
centres form two rings too, one ordered by region and name and one by hash. Data centres
that are neighbours on a ring are joined by a few streams between hosts that rendezvous
hashing chooses. A ring without one of its members is a path, so the graph stays
connected if a whole data centre is lost. All hosts with the same list of members
compute the same graph.
"""

import typing
from collections import abc

import xxhash

RINGS = 2  # inside a data centre, and among data centres
PAIR_LINKS = 3  # streams between two neighbouring data centres
# Two neighbours on each ring inside the data centre, and one stream at most to each
# neighbouring data centre.
MAX_DEGREE = 2 * RINGS + 2 * RINGS


class Place(typing.NamedTuple):
    """A host and its location."""

    host: str
    region: str
    data_centre: str


def edges(places: abc.Iterable[Place]) -> set[tuple[str, str]]:
    """Return the graph's edges, each as a sorted pair of hosts."""
    centres: dict[tuple[str, str], list[str]] = {}
    for place in sorted(set(places)):
        centre = (place.region, place.data_centre)
        centres.setdefault(centre, []).append(place.host)
    found: set[tuple[str, str]] = set()
    for hosts in centres.values():
        for ring in range(RINGS):
            found.update(_ring(_shuffled(hosts, str(ring))))
    for one, other in _centre_pairs(list(centres)):
        salt = f"{one}|{other}"
        near = _shuffled(centres[one], salt)[:PAIR_LINKS]
        far = _shuffled(centres[other], salt)[:PAIR_LINKS]
        found.update(_edge(a, b) for a, b in zip(near, far, strict=False))
    return found


def neighbours(places: abc.Iterable[Place], host: str) -> set[str]:
    """Return the hosts that `host` keeps streams to."""
    found = set()
    for one, other in edges(places):
        if one == host:
            found.add(other)
        elif other == host:
            found.add(one)
    return found


def _centre_pairs(centres: list[tuple[str, str]]) -> set[tuple]:
    by_hash = sorted(centres, key=lambda c: (_digest("/".join(c), "centres"), c))
    return _ring(sorted(centres)) | _ring(by_hash)


def _ring(items: list) -> set[tuple]:
    if len(items) < 2:
        return set()
    return {_edge(items[i - 1], items[i]) for i in range(len(items))}


def _edge(one: object, other: object) -> tuple:
    return (one, other) if one < other else (other, one)


def _shuffled(hosts: list[str], salt: str) -> list[str]:
    return sorted(hosts, key=lambda host: (_digest(host, salt), host))


def _digest(text: str, salt: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{salt}|{text}".encode())
