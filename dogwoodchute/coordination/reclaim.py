"""Decides whether a host process is certainly gone, so that its grants are reclaimed.

Missing heartbeats alone prove nothing: the process may be cut off and still running.
"""

import typing
from collections import abc


class Evidence(typing.NamedTuple):
    """What the reclaiming host knows about the hosts of the fleet."""

    revision: int  # of the host list
    listed: frozenset[str] | None  # hosts of the host list, None without a list
    # Incarnation in each host's registration row, None if the rows were unreadable.
    registered: abc.Mapping[str, str] | None
    alive: frozenset[str]  # incarnations whose heartbeats arrive


def host_of(incarnation: str) -> str:
    """Return the name of the host that an incarnation ran on."""
    return incarnation.rpartition("-")[0]


def is_gone(incarnation: str, seen_listed: int | None, evidence: Evidence) -> bool:
    """Return whether `incarnation` certainly lost the right to its grant.

    `seen_listed` is the last host list revision in which the incarnation found its own
    host, as its grant row says, None if it never did. An older list without the host
    proves nothing. A host that is neither listed nor registered is gone too, since a
    live one registers when it starts.
    """
    if incarnation in evidence.alive:
        return False
    host = host_of(incarnation)
    current = (evidence.registered or {}).get(host)
    if current is not None and current != incarnation:
        return True
    if evidence.listed is None or host in evidence.listed:
        return False
    if seen_listed is not None:
        return evidence.revision > seen_listed
    return evidence.registered is not None and current is None
