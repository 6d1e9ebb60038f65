"""Gossip of load at endpoints, of what they say and of crashes, by UDP datagrams.

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
from dogwoodchute.gateway import crash_reports, datagrams
from dogwoodchute.gateway.registered import endpoint_words

INTERVAL = 0.25  # seconds between datagrams to one host, in a fleet without groups
GROUPS_INTERVAL = 0.5  # seconds between datagrams to one host, in a fleet with groups
# Sent by one host at most; with many recipients the intervals are longer.
DATAGRAMS_PER_SECOND = 80
MAX_AGE = 1.5  # seconds for which a load counts: several intervals
MAX_REPORTED_AGE = 60.0  # seconds; an older report is none of a running host
FORMAT = 5  # version of the datagrams; others are ignored
MAX_ENDPOINTS = 256  # in one datagram

Load = dict[str, tuple[int, int]]  # requests and waiting prompt tokens by endpoint


class LoadReport(typing.NamedTuple):
    """The content of one datagram. Its fields are sent in this order."""

    sender: str  # id of the incarnation (run of a host's process)
    sequence: int  # rises with each round of the sender
    group_count: int  # into which the sender divides the fleet; 0 for its own load
    group: int  # whose loads are summed; 0 for the sender's own load
    host_count: int  # whose loads are summed
    age: float  # seconds: the mean age of those loads when this was sent
    load: Load
    words: tuple[endpoint_words.Word, ...] = ()
    crashes: crash_reports.Report = crash_reports.Report()

    @property
    def source(self) -> tuple[str, int, int]:
        """Whose load this is; a later report replaces an earlier one."""
        return (
            "" if self.group_count else self.sender,
            self.group_count,
            self.group,
        )


class _Received(typing.NamedTuple):
    """A report and the monotonic seconds of its arrival."""

    received_at: float
    report: LoadReport


class Loads(typing.NamedTuple):
    """The loads that other hosts reported, summed, and their mean age in seconds."""

    reported: list[Load]
    age: float


class _Sum(typing.NamedTuple):
    """The sum of the reports that count, valid until one arrives or expires."""

    load: Load
    as_of: float | None  # monotonic seconds: the mean over hosts; None without hosts
    valid_until: float  # monotonic seconds


class Gossip(datagrams.Datagrams):
    """Sends this host's load to other hosts and collects theirs."""

    def __init__(
        self,
        *,
        id: str,
        load: abc.Callable[[], Load],
        peers: abc.Callable[[], dict[str, str]],
        words: abc.Callable[[], list[endpoint_words.Word]],
        on_words: abc.Callable[[tuple[endpoint_words.Word, ...]], None],
        crashes: crash_reports.CrashReports,
        now: abc.Callable[[], float],
    ) -> None:
        super().__init__()
        self._id = id
        self._load = load
        self._words = words  # of endpoints on themselves
        self._on_words = on_words  # called with those that other hosts tell
        self._crashes = crashes
        self._peers = peers  # IP number and port of other hosts, by incarnation
        self._now = now
        self._received: dict[tuple[str, int, int], _Received] = {}
        self._last_peers: dict[str, str] = {}  # the last result of `peers`
        self._addresses: dict[str, tuple[str, int]] = {}  # by incarnation
        self._plan = load_groups.plan(id, ())
        self._sum: _Sum | None = None  # cached; None after a change
        self._round = 0  # rounds of reports sent
        # Whether the last report to hosts of this group, and of others, was empty or
        # none was sent yet.
        self._was_empty_in_group = True
        self._was_empty_outside = True

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
    def recipient_count(self) -> int:
        """The number of hosts that this one reports to in each round."""
        return len(self._plan.group_peers) + len(self._plan.outside_peers)

    async def run(self) -> None:
        """Send this host's load at intervals until cancelled."""
        while True:
            self._update_peers()
            self._send_reports()
            await asyncio.sleep(self._interval() * random.uniform(0.9, 1.1))

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Record another host's load or the sum of a group; called by asyncio."""
        report = decode(data)
        if report is None:
            log.warning("datagram_unreadable", peer=f"{addr[0]}:{addr[1]}")
            return
        if report.words:
            self._on_words(report.words)
        self._crashes.learn(report.crashes)
        before = self._received.get(report.source)
        if before is not None and not _is_newer(report, before.report):
            return
        self._received[report.source] = _Received(self._now(), report)
        self._sum = None

    def _update_peers(self) -> None:
        """Update the plan and the addresses if the live hosts have changed."""
        peers = self._peers()
        if peers == self._last_peers:
            return
        if peers.keys() != self._last_peers.keys():
            self._plan = load_groups.plan(self._id, peers.keys())
            self._sum = None
        self._last_peers = peers
        self._addresses = {
            name: datagrams.socket_address(address) for name, address in peers.items()
        }

    def _send_reports(self) -> None:
        """Send reports; an empty load only once, as older reports expire."""
        self._round += 1
        plan = self._plan
        own_load = self._load()
        words = endpoint_words.recent(self._words())
        crashes = self._crashes.report()
        has_news = bool(words) or crashes != crash_reports.Report()
        if own_load or has_news or not self._was_empty_in_group:
            report = LoadReport(
                sender=self._id,
                sequence=self._round,
                group_count=0,
                group=0,
                host_count=1,
                age=0.0,
                load=own_load,
                words=words,
                crashes=crashes,
            )
            self._send_to(report, plan.group_peers)
        self._was_empty_in_group = not own_load
        if not plan.outside_peers:
            return
        now = self._now()
        received = self._group_reports(now)
        group_load = sum_loads([own_load, *(each.report.load for each in received)])
        report = LoadReport(
            sender=self._id,
            sequence=self._round,
            group_count=plan.groups,
            group=plan.group,
            host_count=1 + len(received),
            age=sum(now - each.received_at for each in received) / (1 + len(received)),
            load=group_load,
            words=words,
            crashes=crashes,
        )
        if group_load or has_news or not self._was_empty_outside:
            self._send_to(report, plan.outside_peers)
        self._was_empty_outside = not group_load

    def _group_reports(self, now: float) -> list[_Received]:
        """Return recent reports of the other hosts of this host's group."""
        return [
            each
            for each in self._received.values()
            if now - each.received_at <= MAX_AGE and self._is_member(each.report)
        ]

    def _sum_reports(self, now: float) -> _Sum:
        counted = [
            each for each in self._received.values() if self._counts(each.report)
        ]
        if not counted:
            return _Sum({}, None, now + MAX_AGE)
        load = sum_loads(each.report.load for each in counted)
        host_count = sum(each.report.host_count for each in counted)
        as_of = (
            sum(e.report.host_count * (e.received_at - e.report.age) for e in counted)
            / host_count
        )
        return _Sum(load, as_of, min(each.received_at for each in counted) + MAX_AGE)

    def _send_to(self, report: LoadReport, names: abc.Iterable[str]) -> None:
        data = encode(report)
        for name in names:
            self._transport.sendto(data, self._addresses[name])

    def _interval(self) -> float:
        minimum = INTERVAL if self._plan.groups == 1 else GROUPS_INTERVAL
        return max(minimum, self.recipient_count / DATAGRAMS_PER_SECOND)

    def _is_member(self, report: LoadReport) -> bool:
        """Return whether this is the own load of a host of this host's group."""
        plan = self._plan
        if report.group_count:
            return False
        return load_groups.group_of(report.sender, plan.groups) == plan.group

    def _counts(self, report: LoadReport) -> bool:
        """Return whether this load is not contained in another report that counts."""
        if not report.group_count:
            return self._is_member(report)
        return (
            report.group_count == self._plan.groups and report.group != self._plan.group
        )

    def _drop_old(self, now: float) -> None:
        for source in [
            s for s, each in self._received.items() if now - each.received_at > MAX_AGE
        ]:
            del self._received[source]


def _is_newer(report: LoadReport, before: LoadReport) -> bool:
    """Return whether a report is newer than the last one of its source.

    Datagrams may overtake one another. Reports of different senders aren't ordered.
    """
    return report.sender != before.sender or report.sequence > before.sequence


def sum_loads(loads: abc.Iterable[Load]) -> Load:
    """Return the sum of loads, by endpoint."""
    sums: Load = {}
    for load in loads:
        for endpoint, (requests, tokens) in load.items():
            before = sums.get(endpoint, (0, 0))
            sums[endpoint] = (before[0] + requests, before[1] + tokens)
    return sums


def encode(report: LoadReport) -> bytes:
    """Return the datagram of a report.

    If there are too many endpoints, those with the most requests are kept.
    """
    load = report.load
    if len(load) > MAX_ENDPOINTS:
        largest = sorted(load, key=load.get, reverse=True)[:MAX_ENDPOINTS]
        load = {endpoint: load[endpoint] for endpoint in largest}
    return msgpack.packb([FORMAT, *report._replace(load=load)])


def decode(data: bytes) -> LoadReport | None:
    """Return the report in a datagram, None if it can't be decoded."""
    try:
        version, *fields = msgpack.unpackb(data)
        if version != FORMAT:
            return None
        sender, sequence, group_count, group, host_count, age, *content = fields
        plain_load, plain_words, crashed = content
        load = {str(k): (int(n), int(t)) for k, (n, t) in plain_load.items()}
        if not 0 <= age <= MAX_REPORTED_AGE:
            return None
        return LoadReport(
            sender=str(sender),
            sequence=int(sequence),
            group_count=int(group_count),
            group=int(group),
            host_count=max(1, int(host_count)),
            age=float(age),
            load=load,
            words=endpoint_words.decode(plain_words),
            crashes=crash_reports.decode(crashed),
        )
    except (ValueError, TypeError, AttributeError, OverflowError):
        return None
