"""Evidence that a host process is gone. Silence is none."""

import typing
from collections import abc


class Evidence(typing.NamedTuple):
    """What one reclaiming host knows.

    `listed` are the hosts of the host list at `revision`, None without a list.
    `registered` maps each host to the incarnation of its registration row, None if the
    rows could not be read. `alive` are the incarnations whose heartbeats arrive.
    """

    revision: int
    listed: frozenset[str] | None
    registered: abc.Mapping[str, str] | None
    alive: frozenset[str]


def host_of(incarnation: str) -> str:
    """Return the host of an incarnation."""
    return incarnation.rpartition("-")[0]


def is_gone(incarnation: str, seen_listed: int | None, evidence: Evidence) -> bool:
    """Return whether `incarnation` is certainly no longer entitled to its grant.

    `seen_listed` is the last host list revision in which it saw its host, as its grant
    row tells, None if it never did. A list that is older proves nothing. A host that
    is neither listed nor registered is gone too: a live one registers at its start.
    """
    if incarnation in evidence.alive:
        return False
    host = host_of(incarnation)
    newer = (evidence.registered or {}).get(host)
    if newer is not None and newer != incarnation:
        return True
    if evidence.listed is None or host in evidence.listed:
        return False
    if seen_listed is not None:
        return evidence.revision > seen_listed
    return evidence.registered is not None and newer is None
