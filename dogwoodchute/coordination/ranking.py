"""Ranks hosts for a client account by weighted rendezvous hashing.

Rendezvous hashing: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to
Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998. Weights by the
logarithmic form: J. Resch, "New Hashing Algorithms for Data Storage", SNIA Storage
Developer Conference, 2015: the score of a host with weight w and a uniform hash h in
(0, 1) is ``-w / ln h``. A change of one host moves only keys to or from that host.
"""

import math
import typing
from collections import abc

import xxhash

MIN_WEIGHT = 0.1  # of an idle host's
HASH_SPAN = 2.0**64


class Candidate(typing.NamedTuple):
    """A host as one locate answer sees it."""

    host: str
    region: str
    load: float = 0.0  # 0 idle, 1 full
    alive: bool = True
    leaving: bool = False
    stale: bool = False  # without the store for too long


def score(key: str, host: str, weight: float) -> float:
    """Return the weighted rendezvous score of `host` for `key`."""
    digest = xxhash.xxh3_64_intdigest(f"{host}|{key}".encode())
    return -weight / math.log((digest + 0.5) / HASH_SPAN)


def eligible(candidates: abc.Iterable[Candidate]) -> list[Candidate]:
    """Return the hosts that callers may be sent to.

    Dead and leaving hosts never are. Full and stale ones are only when no other is
    left, full ones first.
    """
    usable = [c for c in candidates if c.alive and not c.leaving]
    fresh = [c for c in usable if not c.stale]
    calm = [c for c in fresh if c.load < 1]
    return calm or fresh or usable


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
    """Return up to `near` hosts of `region` and then `far` of others, best first.

    The callers of a large account are spread over its first `spread` hosts: each
    `caller` gets those in an order of its own, which stays the same for that caller.
    """
    ordered = sorted(
        eligible(candidates),
        key=lambda c: (-score(account, c.host, weight(c.load)), c.host),
    )
    own = [c for c in ordered if c.region == region][:near]
    others = [c for c in ordered if c.region != region]
    if not own:
        own, others = others[:near], others[near:]
    head = sorted(
        own[:spread],
        key=lambda c: (-score(f"{account}|{caller}", c.host, 1.0), c.host),
    )
    return head + own[spread:] + others[:far]


def weight(load: float) -> float:
    """Return the weight of a host under `load`."""
    return max(MIN_WEIGHT, 1.0 - load)
