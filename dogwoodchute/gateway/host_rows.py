"""The rows of the fleet's hosts in the store: their format and partitions.

An incarnation is one run of a host's process; each has a row of its own. Rows are
spread over partitions of their own, so that no other writer waits behind them.
"""

import json
import math
import typing

from dogwoodchute import bounded_json
from dogwoodchute.coordination import hashing, quarantine, texts

TABLE = "hosts"
PARTS = 12  # so that a start of all hosts at once stays below the rate of each
STARTING = "starting"
READY = "ready"
LEAVING = "leaving"
DOWN = "down"  # written by another host, after this one fell silent
STATES = (STARTING, READY, LEAVING, DOWN)
ADDRESSES = ("callers", "control", "gossip", "heartbeats")
TEXTS = ("name", "data_centre", "region", "state", *ADDRESSES)


class Host(typing.NamedTuple):
    """One incarnation of a host, as it describes itself in its row."""

    id: str  # of the incarnation
    name: str
    data_centre: str
    region: str
    callers: str  # address for requests
    control: str  # address for other hosts
    gossip: str  # address for other hosts' load reports
    heartbeats: str  # address for other hosts' heartbeats
    state: str
    link_mbps: float = 1000.0  # of the host's own link
    # Version of the incarnation's first row, 0 until that is known.
    registered: int = 0
    # Seconds of the store's clock, at or after the start of the process.
    began: float = math.inf
    # Ends of endpoints that this incarnation saw, see `coordination.quarantine`.
    crashes: tuple[quarantine.Crash, ...] = ()


def parts() -> list[str]:
    """Return the names of all partitions with rows of hosts."""
    return [f"{TABLE}-{number}" for number in range(PARTS)]


def part_of(incarnation: str) -> str:
    """Return the partition of an incarnation's row."""
    return f"{TABLE}-{hashing.digest(incarnation) % PARTS}"


def encode(host: Host) -> bytes:
    """Return the value of a host's row, in JSON."""
    fields = host._asdict()
    fields.pop("id")
    if not host.registered:
        fields.pop("began")
    if not host.crashes:
        fields.pop("crashes")
    return json.dumps(fields, separators=(",", ":")).encode()


def decode(incarnation: str, value: bytes) -> Host:
    """Return the host described by a row's value.

    Raises `KeyError`, `TypeError` or `ValueError` if it can't be decoded.
    """
    fields = bounded_json.load_object(value)
    described = {field: fields[field] for field in TEXTS}
    if not all(map(texts.is_name, (incarnation, *described.values()))):
        raise ValueError("the key or a field is no name")
    if described["state"] not in STATES:
        raise ValueError(f"unknown state {described['state']!r}")
    for field in ADDRESSES:
        # A host that listens on a port that the system chose writes 0.
        if not texts.is_port(described[field].rpartition(":")[2], least=0):
            raise ValueError(f"bad address {described[field]!r}")
    link = float(fields["link_mbps"])
    if link <= 0:
        raise ValueError(f"a link of {link} Mbit/s")
    return Host(
        id=incarnation,
        link_mbps=link,
        registered=int(fields["registered"]),
        began=float(fields.get("began", math.inf)),
        crashes=quarantine.decode_crashes(fields.get("crashes", [])),
        **described,
    )
