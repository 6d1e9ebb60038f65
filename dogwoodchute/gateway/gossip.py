"""Tells other hosts of this one's load at endpoints, by datagrams.

Nothing depends on a datagram's arrival: the load is a hint for the choice of endpoints,
and an old one is left out.
"""

import asyncio
import random
import typing
from collections import abc

import msgpack

from dogwoodchute import log

INTERVAL = 0.25  # seconds between datagrams to one host, in a small fleet
HOSTS_PER_INTERVAL = (
    16  # datagrams of one host in an interval; more hosts, longer waits
)
MAX_AGE = 1.5  # seconds for which a load counts, some intervals of a small fleet
FORMAT = 1  # of the datagrams; others are left out
MAX_ENDPOINTS = 256  # in one datagram

Load = dict[str, tuple[int, int]]  # requests and unread prompt tokens by endpoint


class Loads(typing.NamedTuple):
    """The loads that other hosts told, and their mean age in seconds."""

    told: list[Load]
    age: float


class Gossip(asyncio.DatagramProtocol):
    """The loads that other hosts told, and this host's telling."""

    def __init__(
        self,
        *,
        id: str,
        load: abc.Callable[[], Load],
        peers: abc.Callable[[], list[str]],
        now: abc.Callable[[], float],
    ) -> None:
        self._id = id
        self._load = load
        self._peers = peers  # IP number and port of other hosts
        self._now = now
        self._told: dict[str, tuple[float, int, Load]] = {}
        self._count = 0
        self._transport: asyncio.DatagramTransport | None = None

    def loads(self) -> Loads:
        """Return the loads of other hosts that are recent enough to count."""
        now = self._now()
        told = [(at, load) for at, _, load in self._told.values() if now - at < MAX_AGE]
        if not told:
            return Loads([], 0.0)
        age = sum(now - at for at, _ in told) / len(told)
        return Loads([load for _, load in told], age)

    async def start(self, ip: str, port: int) -> None:
        """Listen for datagrams."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, port)
        )

    def stop(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Tell this host's load again and again until cancelled."""
        while True:
            peers = self._peers()
            self._tell(peers)
            pause = INTERVAL * max(1.0, len(peers) / HOSTS_PER_INTERVAL)
            await asyncio.sleep(pause * random.uniform(0.9, 1.1))

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Take in another host's load."""
        told = decode(data)
        if told is None:
            log.warning("datagram_unreadable", peer=f"{addr[0]}:{addr[1]}")
            return
        name, count, load = told
        before = self._told.get(name)
        if before is not None and before[1] >= count:
            return
        self._told[name] = (self._now(), count, load)
        self._forget()

    def error_received(self, exc: Exception) -> None:
        """Note that a host does not listen, which membership tells in time."""
        log.debug("datagram_failed", reason=str(exc))

    def _tell(self, peers: list[str]) -> None:
        self._count += 1
        data = encode(self._id, self._count, self._load())
        for peer in peers:
            ip, _, port = peer.rpartition(":")
            self._transport.sendto(data, (ip, int(port)))

    def _forget(self) -> None:
        oldest = self._now() - 10 * MAX_AGE
        for name in [n for n, (at, _, _) in self._told.items() if at < oldest]:
            del self._told[name]


def encode(name: str, count: int, load: Load) -> bytes:
    """Return the datagram with a host's load; `count` rises with each."""
    kept = dict(list(load.items())[:MAX_ENDPOINTS])
    return msgpack.packb([FORMAT, name, count, kept])


def decode(data: bytes) -> tuple[str, int, Load] | None:
    """Return name, count and load in a datagram, None if it can't be read."""
    try:
        version, name, count, plain = msgpack.unpackb(data)
        if version != FORMAT:
            return None
        load = {str(k): (int(n), int(t)) for k, (n, t) in plain.items()}
        return str(name), int(count), load
    except (ValueError, TypeError, AttributeError):
        return None
