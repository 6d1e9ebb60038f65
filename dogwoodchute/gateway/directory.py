"""Chooses which hosts a caller is told to use."""

import typing
from collections import abc

MIN_HOSTS = 2  # so that a caller whose host fails has another
MAX_HOSTS = 64


class Candidate(typing.NamedTuple):
    """A host that takes callers."""

    address: str
    data_centre: str
    region: str


def addresses(
    candidates: abc.Iterable[Candidate], *, data_centre: str, region: str
) -> list[str]:
    """Return the addresses for a caller, those of its data centre if they suffice.

    Callers spread over all addresses that they get, so farther hosts are named only
    where there are fewer than `MIN_HOSTS` near ones.
    """
    known = sorted(set(candidates))
    chosen = [c for c in known if c.data_centre == data_centre]
    if len(chosen) < MIN_HOSTS:
        chosen = [c for c in known if c.region == region or c in chosen]
    if len(chosen) < MIN_HOSTS:
        chosen = known
    return [c.address for c in chosen[:MAX_HOSTS]]
