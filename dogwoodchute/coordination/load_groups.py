"""Divides the hosts of a fleet into groups that exchange sums of their loads.

Hierarchical aggregation in two levels: a host sends its own load to all members of its
group, and each host outside the group receives the group's sum from one member. With
groups of about the square root of the fleet's size, each host sends to and receives
from about twice that many hosts.
"""

import math
import typing
from collections import abc

from dogwoodchute.coordination import hashing

MAX_UNGROUPED_HOSTS = 16  # up to this number all hosts form one group


class Plan(typing.NamedTuple):
    """The hosts that one host sends loads to, by name."""

    groups: int  # number of groups
    group: int  # the host's own group
    group_peers: tuple[str, ...]  # other members of the group; get the host's own load
    outside_peers: tuple[str, ...]  # hosts of other groups; get the group's sum


def group_count(fleet: int) -> int:
    """Return the number of groups for a fleet of `fleet` hosts, a power of two.

    Powers of two are far apart, so hosts whose views of the fleet differ by a few hosts
    mostly get the same number.
    """
    if fleet <= MAX_UNGROUPED_HOSTS:
        return 1
    return 2 ** round(math.log2(fleet) / 2)


def group_of(name: str, groups: int) -> int:
    """Return the group that a host belongs to."""
    return hashing.digest(name) % groups


def plan(own: str, others: abc.Collection[str]) -> Plan:
    """Return whom the host `own` sends loads to, in a fleet with `others`.

    Hosts with the same view of the fleet agree on one member of each group that sends
    the group's sum to a given host. While views differ, a host may receive a sum twice
    or not at all.
    """
    groups = group_count(1 + len(others))
    group = group_of(own, groups)
    inside = []
    outside = []
    for name in others:
        in_group = group_of(name, groups) == group
        (inside if in_group else outside).append(name)
    members = sorted([own, *inside])
    rank = members.index(own)
    receivers = [
        name for name in outside if hashing.digest(f"{name}|far") % len(members) == rank
    ]
    return Plan(groups, group, tuple(inside), tuple(receivers))
