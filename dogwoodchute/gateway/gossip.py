"""Gossip of this host's load at endpoints, by UDP datagrams to other hosts.

Nothing depends on a datagram's arrival: a load is a hint for the choice of endpoints,
and an old one is ignored. In a large fleet a host sends its own load to the hosts of
its group only, and the group's sum to some hosts of other groups; see
`coordination.load_groups`.
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
DATAGRAMS_PER_SECOND = 80  # sent by one host; more recipients mean longer intervals
MAX_AGE = 1.5  # seconds for which a load counts: several intervals
FORMAT = 2  # version of the datagrams; others are ignored
MAX_ENDPOINTS = 256  # in one datagram

Load = dict[str, tuple[int, int]]  # requests and waiting prompt tokens by endpoint


class Told(typing.NamedTuple):
    """The content of one datagram. Its fields are sent in this order."""

    sender: str  # id of a host's lifetime
    count: int  # rises with each round of the sender
    groups: int  # into which the sender divides the fleet; 0 for its own load
    group: int  # whose loads are summed; 0 for the sender's own load
    hosts: int  # whose loads are summed
    age: float  # seconds: the mean age of those loads when this was sent
    load: Load

    @property
    def source(self) -> tuple[str, int, int]:
        """Whose load this is; a later report replaces an earlier one."""
        return ("" if self.groups else self.sender, self.groups, self.group)


class _Received(typing.NamedTuple):
    """A report and the monotonic seconds of its arrival."""

    received_at: float
    told: Told


class Loads(typing.NamedTuple):
    """The loads that other hosts reported, summed, and their mean age in seconds."""

    told: list[Load]
    age: float


class _Sum(typing.NamedTuple):
    """The sum of the reports that count, valid until one arrives or expires."""

    load: Load
    as_of: float | None  # monotonic seconds: the mean over hosts; None without hosts
    valid_until: float  # monotonic seconds


class Gossip(asyncio.DatagramProtocol):
    """Sends this host's load to other hosts and collects theirs."""

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
        self._received: dict[tuple[str, int, int], _Received] = {}
        self._last_peers: dict[str, str] = {}  # the last result of `peers`
        self._addresses: dict[str, tuple[str, int]] = {}  # by lifetime
        self._plan = load_groups.plan(id, ())
        self._sum: _Sum | None = None  # cached; None after a change
        self._round = 0  # rounds of reports sent
        # Whether the last report to hosts of this group, and of others, was empty or
        # none was sent yet.
        self._was_empty_near = True
        self._was_empty_far = True
        self._transport: asyncio.DatagramTransport | None = None

    def loads(self) -> Loads:
        """Return the loads of other hosts that are recent enough."""
        now = self._now()
        if self._sum is None or now > self._sum.valid_until:
            self._drop_old(now)
            self._sum = self._sum_reports(now)
        if self._sum.as_of is not None:
            return Loads([self._sum.load], now - self._sum.as_of)
        # Hosts without load send no reports: as of half an interval ago on average, no
        # other host had a load.
        return Loads([], self._interval() / 2 if self._last_peers else 0.0)

    @property
    def told_hosts(self) -> int:
        """The number of hosts that this one reports to in each round."""
        return len(self._plan.group_peers) + len(self._plan.outside_peers)

    async def start(self, ip: str, port: int) -> None:
        """Listen for datagrams on a local address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, port))

    def stop(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Send this host's load at intervals until cancelled."""
        while True:
            self._update_peers()
            self._send_reports()
            await asyncio.sleep(self._interval() * random.uniform(0.9, 1.1))

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Set the transport for sending; called by asyncio."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Record another host's load or the sum of a group; called by asyncio."""
        told = decode(data)
        if told is None:
            log.warning("datagram_unreadable", peer=f"{addr[0]}:{addr[1]}")
            return
        before = self._received.get(told.source)
        if before is not None and not _is_newer(told, before.told):
            return
        self._received[told.source] = _Received(self._now(), told)
        self._sum = None

    def error_received(self, exc: Exception) -> None:
        """Log that a host does not listen; membership removes it in time."""
        log.debug("datagram_failed", reason=str(exc))

    def _update_peers(self) -> None:
        """Update the plan and the addresses if the live hosts have changed."""
        peers = self._peers()
        if peers == self._last_peers:
            return
        if peers.keys() != self._last_peers.keys():
            self._plan = load_groups.plan(self._id, peers.keys())
            self._sum = None
        self._last_peers = peers
        self._addresses = {}
        for name, address in peers.items():
            ip, _, port = address.rpartition(":")
            self._addresses[name] = (ip, int(port))

    def _send_reports(self) -> None:
        """Send reports; an empty load only once, as older reports expire."""
        self._round += 1
        plan = self._plan
        own = self._load()
        if own or not self._was_empty_near:
            self._send_to(
                Told(self._id, self._round, 0, 0, 1, 0.0, own), plan.group_peers
            )
        self._was_empty_near = not own
        if not plan.outside_peers:
            return
        now = self._now()
        received = self._group_reports(now)
        group_load = total([own, *(each.told.load for each in received)])
        told = Told(
            sender=self._id,
            count=self._round,
            groups=plan.groups,
            group=plan.group,
            hosts=1 + len(received),
            age=sum(now - each.received_at for each in received) / (1 + len(received)),
            load=group_load,
        )
        if group_load or not self._was_empty_far:
            self._send_to(told, plan.outside_peers)
        self._was_empty_far = not group_load

    def _group_reports(self, now: float) -> list[_Received]:
        """Return recent reports of the other hosts of this host's group."""
        return [
            each
            for each in self._received.values()
            if now - each.received_at <= MAX_AGE and self._is_member(each.told)
        ]

    def _sum_reports(self, now: float) -> _Sum:
        counted = [each for each in self._received.values() if self._counts(each.told)]
        if not counted:
            return _Sum({}, None, now + MAX_AGE)
        load = total(each.told.load for each in counted)
        host_count = sum(each.told.hosts for each in counted)
        as_of = (
            sum(e.told.hosts * (e.received_at - e.told.age) for e in counted)
            / host_count
        )
        return _Sum(load, as_of, min(each.received_at for each in counted) + MAX_AGE)

    def _send_to(self, told: Told, names: abc.Iterable[str]) -> None:
        data = encode(told)
        for name in names:
            self._transport.sendto(data, self._addresses[name])

    def _interval(self) -> float:
        minimum = INTERVAL if self._plan.groups == 1 else GROUPS_INTERVAL
        return max(minimum, self.told_hosts / DATAGRAMS_PER_SECOND)

    def _is_member(self, told: Told) -> bool:
        """Return whether this is the own load of a host of this host's group."""
        plan = self._plan
        if told.groups:
            return False
        return load_groups.group_of(told.sender, plan.groups) == plan.group

    def _counts(self, told: Told) -> bool:
        """Return whether this load is not contained in another report that counts."""
        if not told.groups:
            return self._is_member(told)
        return told.groups == self._plan.groups and told.group != self._plan.group

    def _drop_old(self, now: float) -> None:
        for source in [
            s for s, each in self._received.items() if now - each.received_at > MAX_AGE
        ]:
            del self._received[source]


def _is_newer(told: Told, before: Told) -> bool:
    """Return whether a report is newer than the last one of its source.

    Datagrams may overtake one another. Reports of different senders aren't ordered.
    """
    return told.sender != before.sender or told.count > before.count


def total(loads: abc.Iterable[Load]) -> Load:
    """Return the sum of loads, by endpoint."""
    sums: Load = {}
    for load in loads:
        for endpoint, (requests, tokens) in load.items():
            before = sums.get(endpoint, (0, 0))
            sums[endpoint] = (before[0] + requests, before[1] + tokens)
    return sums


def encode(told: Told) -> bytes:
    """Return the datagram of a report.

    If there are too many endpoints, those with the most requests are kept.
    """
    load = told.load
    if len(load) > MAX_ENDPOINTS:
        largest = sorted(load, key=load.get, reverse=True)[:MAX_ENDPOINTS]
        load = {endpoint: load[endpoint] for endpoint in largest}
    return msgpack.packb([FORMAT, *told[:-1], load])


def decode(data: bytes) -> Told | None:
    """Return the report in a datagram, None if it can't be decoded."""
    try:
        version, sender, count, groups, group, hosts, age, plain = msgpack.unpackb(data)
        if version != FORMAT:
            return None
        load = {str(k): (int(n), int(t)) for k, (n, t) in plain.items()}
        return Told(
            sender=str(sender),
            count=int(count),
            groups=int(groups),
            group=int(group),
            hosts=max(1, int(hosts)),
            age=float(age),
            load=load,
        )
    except (ValueError, TypeError, AttributeError):
        return None
