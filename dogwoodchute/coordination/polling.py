"""Which host polls which endpoint for its load, so that only one host polls each.

The endpoints of a service in a region are split into shards. Rendezvous hashing over
the region's hosts ranks them for each shard: the first is the shard's reporter, the
next ones replace it if it is gone. The reporter polls the endpoints of its shard; all
other hosts ask the reporter for changes.
"""

import math
import typing
from collections import abc

from dogwoodchute.coordination import ranking

SHARD_SIZE = 32  # endpoints


class Shard(typing.NamedTuple):
    """Endpoints of one service and region that share a reporter."""

    name: str
    region: str
    endpoints: tuple[str, ...]


def shards(service: str, region: str, endpoints: abc.Iterable[str]) -> list[Shard]:
    """Split the endpoints of a service in a region into shards of similar size."""
    names = sorted(endpoints)
    count = max(1, math.ceil(len(names) / SHARD_SIZE))
    return [
        Shard(f"{service}/{region}/{part}", region, tuple(names[part::count]))
        for part in range(count)
    ]


def rank(shard: str, hosts: abc.Iterable[str]) -> list[str]:
    """Return the hosts in the order in which they report a shard."""
    return sorted(hosts, key=lambda host: ranking.score(shard, host, 1.0), reverse=True)
