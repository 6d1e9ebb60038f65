"""Chooses the hosts that a caller should send its requests to."""

import typing
from collections import abc

MIN_HOSTS = 2  # so that a caller has another host if one fails
MAX_HOSTS = 64


class Candidate(typing.NamedTuple):
    """A host that accepts requests of callers."""

    address: str
    data_centre: str
    region: str


def addresses(
    candidates: abc.Iterable[Candidate],
    *,
    data_centre: str,
    region: str,
    allowed: frozenset[str] | None = None,
) -> list[str]:
    """Return the addresses of hosts for a caller in a data centre and region.

    Callers spread over all addresses that they get, so hosts outside of the data centre
    and then of the region are added only if there are fewer than `MIN_HOSTS` near ones.
    Hosts of other regions get requests, with their bodies, only if all requests may be
    kept there: `allowed` holds these regions, None stands for all.
    """
    hosts = sorted(set(candidates))
    chosen = [c for c in hosts if c.data_centre == data_centre]
    if len(chosen) < MIN_HOSTS:
        chosen = [c for c in hosts if c.region == region or c in chosen]
    if len(chosen) < MIN_HOSTS:
        chosen = [
            c for c in hosts if c in chosen or allowed is None or c.region in allowed
        ]
    return [c.address for c in chosen[:MAX_HOSTS]]
