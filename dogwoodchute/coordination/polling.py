"""Which host asks which endpoint for its load, so that each is asked by one.

The endpoints of a service in a region form shards; rendezvous hashing over the hosts of
that region names each shard's reporter and those that follow if it is gone. A reporter
asks its shard's endpoints; every other host asks the reporter for what changed.
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
    """Split the endpoints of a service in a region into shards of like size."""
    names = sorted(endpoints)
    count = max(1, math.ceil(len(names) / SHARD_SIZE))
    return [
        Shard(f"{service}/{region}/{part}", region, tuple(names[part::count]))
        for part in range(count)
    ]


def rank(shard: str, hosts: abc.Iterable[str]) -> list[str]:
    """Return the hosts in the order in which they report a shard."""
    return sorted(hosts, key=lambda host: ranking.score(shard, host, 1.0), reverse=True)
