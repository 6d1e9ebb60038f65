"""Ranks hosts for a client account by weighted rendezvous hashing.

Rendezvous hashing: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to
Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998. Weights by the
logarithmic form: J. Resch, "New Hashing Algorithms for Data Storage", SNIA Storage
Developer Conference, 2015: the score of a host with weight w and a uniform hash h in
(0, 1) is ``-w / ln h``. If one host changes, keys move only to or from that
host.
"""

import math
import typing
from collections import abc

import xxhash

MIN_WEIGHT = 0.1  # of a fully loaded host; an idle one has weight 1
HASH_SPAN = 2.0**64


class Candidate(typing.NamedTuple):
    """A host that a locate answer may name."""

    host: str
    region: str
    load: float = 0.0  # 0 idle, 1 full
    alive: bool = True
    leaving: bool = False
    stale: bool = False  # has not reached the store for too long


def score(key: str, host: str, weight: float) -> float:
    """Return the weighted rendezvous score of `host` for `key`."""
    digest = xxhash.xxh3_64_intdigest(f"{host}|{key}".encode())
    return -weight / math.log((digest + 0.5) / HASH_SPAN)


def eligible(candidates: abc.Iterable[Candidate]) -> list[Candidate]:
    """Return the hosts that callers may be sent to.

    Dead and leaving hosts are never returned. Full hosts are returned only if all
    others are full or stale, and stale hosts only if all are stale.
    """
    usable = [c for c in candidates if c.alive and not c.leaving]
    fresh = [c for c in usable if not c.stale]
    not_full = [c for c in fresh if c.load < 1]
    return not_full or fresh or usable


def rank(
    account: str,
    candidates: abc.Iterable[Candidate],
    *,
    region: str,
    near: int,
    far: int,
    spread: int = 1,
    caller: str = "",
) -> list[Candidate]:
    """Return up to `near` hosts of `region`, then up to `far` of others, best first.

    If `region` has no eligible host, up to `near` hosts of other regions come first.

    The callers of a large account are spread over its first `spread` hosts: each
    `caller` gets those in an order of its own that stays the same.
    """
    ranked = sorted(
        eligible(candidates),
        key=lambda c: (-score(account, c.host, weight(c.load)), c.host),
    )
    local = [c for c in ranked if c.region == region][:near]
    remote = [c for c in ranked if c.region != region]
    if not local:
        local, remote = remote[:near], remote[near:]
    first = sorted(
        local[:spread],
        key=lambda c: (-score(f"{account}|{caller}", c.host, 1.0), c.host),
    )
    return first + local[spread:] + remote[:far]


def weight(load: float) -> float:
    """Return the weight of a host under `load`."""
    return max(MIN_WEIGHT, 1.0 - load)
