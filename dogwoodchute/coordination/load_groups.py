"""Divides the hosts of a fleet into groups that tell one another sums of their loads.

Hierarchical aggregation in two levels: a host tells its own load to its group, and each
host outside of the group hears the group's sum from one member. With groups of about
the square root of the fleet, each host tells and hears twice that many.
"""

import math
import typing
from collections import abc

import xxhash

SMALL_FLEET = 16  # hosts, which tell one another without groups


class Plan(typing.NamedTuple):
    """Whom a host tells what, by name."""

    groups: int
    group: int  # the host's own
    near: tuple[str, ...]  # members of its group, which hear its own load
    far: tuple[str, ...]  # hosts of other groups, which hear the group's sum from it


def group_count(fleet: int) -> int:
    """Return the number of groups of `fleet` hosts, a power of two.

    A power of two so that hosts that count a few hosts more or less mostly agree.
    """
    if fleet <= SMALL_FLEET:
        return 1
    return 2 ** round(math.log2(fleet) / 2)


def group_of(name: str, groups: int) -> int:
    """Return the group that a host belongs to."""
    return _hash(name) % groups


def plan(own: str, others: abc.Collection[str]) -> Plan:
    """Return whom the host `own` tells what, in a fleet with `others`.

    Hosts that know the same fleet agree on one teller of each group for each host. If
    they differ for a while, a host hears a sum twice or not at all.
    """
    groups = group_count(1 + len(others))
    group = group_of(own, groups)
    near = []
    outside = []
    for name in others:
        inside = group_of(name, groups) == group
        (near if inside else outside).append(name)
    members = sorted([own, *near])
    rank = members.index(own)
    far = [name for name in outside if _hash(f"{name}|far") % len(members) == rank]
    return Plan(groups, group, tuple(near), tuple(far))


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
