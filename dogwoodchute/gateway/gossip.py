"""Tells other hosts of this one's load at endpoints, by datagrams.

Nothing depends on a datagram's arrival: the load is a hint for the choice of endpoints,
and an old one is left out. In a large fleet a host tells its own load to the hosts of
its group only, and the group's sum to some others, as `coordination.load_groups` says.
"""

import asyncio
import random
import typing
from collections import abc

import msgpack

from dogwoodchute import log
from dogwoodchute.coordination import load_groups

INTERVAL = 0.25  # seconds between datagrams to one host, in a fleet without groups
GROUPS_INTERVAL = 0.5  # seconds between datagrams to one host, in a fleet with groups
DATAGRAMS_PER_SECOND = 80  # of one host at most; more to tell takes longer pauses
MAX_AGE = 1.5  # seconds for which a load counts, some intervals
FORMAT = 2  # of the datagrams; others are left out
MAX_ENDPOINTS = 256  # in one datagram

Load = dict[str, tuple[int, int]]  # requests and unread prompt tokens by endpoint


class Told(typing.NamedTuple):
    """What one datagram tells."""

    sender: str  # lifetime of a host
    count: int  # rises with each telling of the sender
    groups: int  # that the sender divides the fleet into; 0 for its own load
    group: int  # whose sum this is; 0 for the sender's own load
    hosts: int  # whose loads are summed
    age: float  # seconds, the mean of those loads as this was sent
    load: Load

    @property
    def source(self) -> tuple[str, int, int]:
        """Whose load this is; a later one replaces an earlier one."""
        return ("" if self.groups else self.sender, self.groups, self.group)


class _Heard(typing.NamedTuple):
    """A datagram and the monotonic seconds of its arrival."""

    at: float
    told: Told


class Loads(typing.NamedTuple):
    """The loads that other hosts told, summed, and their mean age in seconds."""

    told: list[Load]
    age: float


class _Sum(typing.NamedTuple):
    """What counts of what was heard, as long as nothing is heard or lapses."""

    load: Load
    as_of: float | None  # monotonic seconds, the mean over hosts; None without any
    holds_until: float  # monotonic seconds


class Gossip(asyncio.DatagramProtocol):
    """The loads that other hosts told, and this host's telling."""

    def __init__(
        self,
        *,
        id: str,
        load: abc.Callable[[], Load],
        peers: abc.Callable[[], dict[str, str]],
        now: abc.Callable[[], float],
    ) -> None:
        self._id = id
        self._load = load
        self._peers = peers  # IP number and port of other hosts, by lifetime
        self._now = now
        self._heard: dict[tuple[str, int, int], _Heard] = {}
        self._known: dict[str, str] = {}  # `peers` as last seen
        self._addresses: dict[str, tuple[str, int]] = {}  # by lifetime
        self._plan = load_groups.plan(id, ())
        self._sum: _Sum | None = None  # None after a change
        self._count = 0
        self._quiet_near = True  # an empty load was told last, or nothing yet
        self._quiet_far = True
        self._transport: asyncio.DatagramTransport | None = None

    def loads(self) -> Loads:
        """Return the loads of other hosts that are recent enough to count."""
        now = self._now()
        if self._sum is None or now > self._sum.holds_until:
            self._forget(now)
            self._sum = self._add_up(now)
        if self._sum.as_of is not None:
            return Loads([self._sum.load], now - self._sum.as_of)
        # Hosts that tell nothing had nothing to tell in their last pause.
        return Loads([], self._pause() / 2 if self._known else 0.0)

    @property
    def told_hosts(self) -> int:
        """Hosts that this one tells something each time."""
        return len(self._plan.near) + len(self._plan.far)

    async def start(self, ip: str, port: int) -> None:
        """Listen for datagrams."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, port))

    def stop(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Tell this host's load again and again until cancelled."""
        while True:
            self._look()
            self._tell()
            await asyncio.sleep(self._pause() * random.uniform(0.9, 1.1))

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Take what datagrams are sent through."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Take in another host's load, or the sum of a group."""
        told = decode(data)
        if told is None:
            log.warning("datagram_unreadable", peer=f"{addr[0]}:{addr[1]}")
            return
        before = self._heard.get(told.source)
        if before is not None and not _follows(told, before.told):
            return
        self._heard[told.source] = _Heard(self._now(), told)
        self._sum = None

    def error_received(self, exc: Exception) -> None:
        """Note that a host does not listen, which membership tells in time."""
        log.debug("datagram_failed", reason=str(exc))

    def _look(self) -> None:
        """Plan anew if other hosts live than before."""
        peers = self._peers()
        if peers == self._known:
            return
        if peers.keys() != self._known.keys():
            self._plan = load_groups.plan(self._id, peers.keys())
            self._sum = None
        self._known = peers
        self._addresses = {}
        for name, address in peers.items():
            ip, _, port = address.rpartition(":")
            self._addresses[name] = (ip, int(port))

    def _tell(self) -> None:
        """Tell loads; an empty one once, as it lapses by itself."""
        self._count += 1
        plan = self._plan
        own = self._load()
        if own or not self._quiet_near:
            self._send(Told(self._id, self._count, 0, 0, 1, 0.0, own), plan.near)
        self._quiet_near = not own
        if not plan.far:
            return
        now = self._now()
        heard = self._from_group(now)
        summed = total([own, *(each.told.load for each in heard)])
        told = Told(
            sender=self._id,
            count=self._count,
            groups=plan.groups,
            group=plan.group,
            hosts=1 + len(heard),
            age=sum(now - each.at for each in heard) / (1 + len(heard)),
            load=summed,
        )
        if summed or not self._quiet_far:
            self._send(told, plan.far)
        self._quiet_far = not summed

    def _from_group(self, now: float) -> list[_Heard]:
        """Return the recent own loads of the other hosts of this host's group."""
        return [
            each
            for each in self._heard.values()
            if now - each.at <= MAX_AGE and self._is_member(each.told)
        ]

    def _add_up(self, now: float) -> _Sum:
        counted = [each for each in self._heard.values() if self._counts(each.told)]
        if not counted:
            return _Sum({}, None, now + MAX_AGE)
        load = total(each.told.load for each in counted)
        known = sum(each.told.hosts for each in counted)
        as_of = sum(e.told.hosts * (e.at - e.told.age) for e in counted) / known
        return _Sum(load, as_of, min(each.at for each in counted) + MAX_AGE)

    def _send(self, told: Told, names: abc.Iterable[str]) -> None:
        data = encode(told)
        for name in names:
            self._transport.sendto(data, self._addresses[name])

    def _pause(self) -> float:
        least = INTERVAL if self._plan.groups == 1 else GROUPS_INTERVAL
        return max(least, self.told_hosts / DATAGRAMS_PER_SECOND)

    def _is_member(self, told: Told) -> bool:
        """Whether this is the own load of a host of this host's group."""
        plan = self._plan
        if told.groups:
            return False
        return load_groups.group_of(told.sender, plan.groups) == plan.group

    def _counts(self, told: Told) -> bool:
        """Whether this is a load that no other sum holds."""
        if not told.groups:
            return self._is_member(told)
        return told.groups == self._plan.groups and told.group != self._plan.group

    def _forget(self, now: float) -> None:
        for source in [s for s, each in self._heard.items() if now - each.at > MAX_AGE]:
            del self._heard[source]


def _follows(told: Told, before: Told) -> bool:
    """Whether a datagram was not overtaken by one from the same source."""
    return told.sender != before.sender or told.count > before.count


def total(loads: abc.Iterable[Load]) -> Load:
    """Return the sum of loads, by endpoint."""
    found: Load = {}
    for load in loads:
        for endpoint, (requests, tokens) in load.items():
            before = found.get(endpoint, (0, 0))
            found[endpoint] = (before[0] + requests, before[1] + tokens)
    return found


def encode(told: Told) -> bytes:
    """Return the datagram; of too many endpoints those with most requests are kept."""
    load = told.load
    if len(load) > MAX_ENDPOINTS:
        largest = sorted(load, key=load.get, reverse=True)[:MAX_ENDPOINTS]
        load = {endpoint: load[endpoint] for endpoint in largest}
    return msgpack.packb([FORMAT, *told[:-1], load])


def decode(data: bytes) -> Told | None:
    """Return what a datagram tells, None if it can't be read."""
    try:
        version, sender, count, groups, group, known, age, plain = msgpack.unpackb(data)
        if version != FORMAT:
            return None
        load = {str(k): (int(n), int(t)) for k, (n, t) in plain.items()}
        return Told(
            sender=str(sender),
            count=int(count),
            groups=int(groups),
            group=int(group),
            hosts=max(1, int(known)),
            age=float(age),
            load=load,
        )
    except (ValueError, TypeError, AttributeError):
        return None
