"""Hosts that begin streams and take them up beside releases, kills and store faults.

The streams here show the order of calls that the request path has to keep.
"""

import asyncio
import collections
import os
import random

from dogwoodchute.coordination import hashing, stream_versions
from dogwoodchute.gateway.streams import (
    stream_record_rows,
    stream_records,
    version_notes,
)
from dogwoodchute.standins import row_store
from dogwoodchute.tests import support, virtual

SERVICE = "desk-model"
VERSIONS = ("v1", "v2", "v3")
STORE_AHEAD = 5000.0  # seconds of the store's clock
WAIT = 3.0  # seconds that a request waits for its record, and a take-up for an answer
COPY_INTERVAL = 0.6  # seconds between reads of the notes
COMMITS = 600.0  # per second, of the whole store
PART_COMMITS = 200.0  # per second, of one part
# Days that are played; DOGWOODCHUTE_VERSION_SEEDS plays more than CI.
SEEDS = int(os.environ.get("DOGWOODCHUTE_VERSION_SEEDS", "10"))
CALM = row_store.NO_FAULT
FAULTS = (
    row_store.Fault(status=503),
    row_store.Fault(lose_answer=True),
    row_store.Fault(apply_after=3.0),
    row_store.Fault(delay=0.3),
)


class Host:
    """One incarnation of a host: its notes, its records and its view of endpoints."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.calls = collections.Counter()
        self.read_at = float("-inf")
        self.is_cut = False  # from the store and all news
        self.seen = fleet.endpoints
        store = row_store.in_process_client(
            fleet.store, faults=self.inject, timeout=lambda latency: 1.2
        )
        self.records = stream_records.StreamRecords(
            store=store,
            host_count=lambda: len(fleet.hosts),
            commits=COMMITS,
            now=fleet.loop.time,
            rng=fleet.rng,
        )
        self.notes = version_notes.VersionNotes(
            store=store,
            seen=lambda: {SERVICE: self.seen},
            ranks_first=self.ranks_first,
            copy_age=lambda: fleet.loop.time() - self.read_at,
            on_calm=self.records.remove_left_over,
            now=fleet.loop.time,
            rng=fleet.rng,
        )
        self.tasks = [
            fleet.loop.create_task(each)
            for each in (self.notes.run(), self.records.run(), self.follow())
        ]

    def ranks_first(self, service):
        return self.name == min(
            self.fleet.hosts, key=lambda name: hashing.digest(service + name)
        )

    def inject(self, kind):
        self.calls[kind] += 1
        if self.is_cut:
            return row_store.Fault(status=503)
        return self.fleet.inject(kind)

    async def follow(self):
        while True:
            if not self.is_cut:
                self.seen = self.fleet.endpoints
                self.copy()
            await asyncio.sleep(COPY_INTERVAL * self.fleet.rng.uniform(0.8, 1.2))

    def copy(self):
        if self.inject("feed").status:
            return
        read = self.fleet.store.read(
            version_notes.TABLE, version_notes.PART, None, None
        )
        self.read_at = self.fleet.loop.time()
        self.notes.apply_changes({}, read.rows)

    def kill(self):
        for task in self.tasks:
            task.cancel()


class Fleet:
    """Hosts, one store, the endpoints' versions, and streams with their versions."""

    def __init__(self, loop, *, hosts, seed):
        self.loop = loop
        self.rng = random.Random(seed)
        self.store = row_store.RowStore(
            now=lambda: loop.time() + STORE_AHEAD, part_rate=PART_COMMITS
        )
        self.trouble = 0.0  # share of the calls to the store that meet a fault
        self.endpoints = frozenset({"v1"})
        self.hosts = {}
        for number in range(hosts):
            self.start(f"host-{number}")
        self.begun = 0
        self.refused = 0
        self.waits = []  # seconds for records at the first event
        self.take_ups = collections.Counter()  # by whether the version was known
        self.joined = []  # streams that went on at another version

    def start(self, name):
        self.hosts[name] = Host(self, name)

    def inject(self, kind):
        if self.rng.random() >= self.trouble:
            return CALM
        return self.rng.choice(FAULTS if kind == "commit" else FAULTS[:1])

    def kill(self, name, seconds):
        """Kill a host, which is back after so many seconds."""
        self.hosts.pop(name).kill()
        self.loop.call_later(seconds, self.start, name)

    def pick(self):
        return self.rng.choice(list(self.hosts.values())) if self.hosts else None

    def is_alive(self, host):
        return self.hosts.get(host.name) is host

    async def stream(self, attempt):
        """Begin a stream at a host, and take it up until it has lasted a lifetime."""
        host = self.pick()
        if host is None:
            return
        software = await self.begin(host, attempt)
        if software is None:
            self.refused += 1
            return
        self.begun += 1
        began_at = self.loop.time()
        while True:
            await asyncio.sleep(self.rng.uniform(1.0, 20.0))
            host = self.pick()
            if self.loop.time() - began_at > stream_versions.LIFETIME - WAIT:
                return
            if host is not None:
                await self.take_up(host, attempt, software)

    async def begin(self, host, attempt):
        """Return the version whose first event went out, None if none did."""
        tries = self.rng.choice((1, 1, 2))
        for number in range(tries):
            software = self.rng.choice(sorted(host.seen))
            if self.needs_record(host, attempt, software):
                host.records.prepare(attempt, SERVICE, software)
            # The prompt is processed; a first try ends without an event.
            await asyncio.sleep(self.rng.choice((0.05, 0.5, 8.0)))
            if not self.is_alive(host):
                return None
            if number + 1 < tries:
                continue
            if not self.needs_record(host, attempt, software):
                return software
            asked_at = self.loop.time()
            is_durable = await host.records.ensure(attempt, SERVICE, software, WAIT)
            self.waits.append(self.loop.time() - asked_at)
            return software if is_durable and self.is_alive(host) else None
        return None

    def needs_record(self, host, attempt, software):
        is_needed = host.notes.needs_record(SERVICE, software)
        return is_needed or host.records.is_asked(attempt)

    async def take_up(self, host, attempt, software):
        found = await host.records.find(attempt, SERVICE, WAIT)
        version = None
        match found:
            case stream_records.Found(software=recorded):
                version = recorded
            case stream_records.Absent(asked_at=asked_at):
                version = host.notes.unrecorded(SERVICE, asked_at)
        if not self.is_alive(host):
            return
        self.take_ups[version is not None] += 1
        if version not in (None, software):
            self.joined.append((attempt, software, version, host.notes.note(SERVICE)))


class VersionFleetTest(support.TestCase):
    def open_fleet(self, *, hosts, seed, fleet_class=Fleet):
        loop = virtual.Loop()
        self.addCleanup(loop.finish)
        return fleet_class(loop, hosts=hosts, seed=seed)

    def play(self, seed, *, fleet_class=Fleet):
        """Play some minutes of releases, kills and faults; return the fleet."""
        loop = virtual.Loop()
        fleet = fleet_class(loop, hosts=5, seed=seed)
        rng = random.Random(seed)
        try:
            number = 0
            for _ in range(80):
                self.disturb(fleet, rng)
                for _ in range(rng.randrange(2, 8)):
                    number += 1
                    loop.create_task(fleet.stream(f"a{number}"))
                loop.run_for(rng.choice((1.0, 4.0, 15.0)))
            return fleet
        finally:
            loop.finish()

    def disturb(self, fleet, rng):
        names = list(fleet.hosts)
        match rng.randrange(8):
            case 0:
                count = rng.choice((1, 2, 3))
                fleet.endpoints = frozenset(rng.sample(VERSIONS, count))
            case 1 | 2:
                fleet.endpoints = frozenset({rng.choice(VERSIONS)})
            case 3:
                lost = (
                    names if rng.random() < 0.3 else rng.sample(names, len(names) // 2)
                )
                for name in lost:
                    fleet.kill(name, rng.uniform(0.2, 3.0))
            case 4:
                fleet.trouble = rng.choice((0.0, 0.0, 0.3, 1.0))
            case 5 if names:
                host = fleet.hosts[rng.choice(names)]
                host.is_cut = not host.is_cut

    def test_no_stream_goes_on_at_a_version_that_did_not_begin_it(self):
        begun, take_ups = 0, collections.Counter()
        for seed in range(SEEDS):
            fleet = self.play(seed)
            self.assertEqual([], fleet.joined, seed)
            begun += fleet.begun
            take_ups += fleet.take_ups
        self.assertGreater(begun, 50 * SEEDS)
        self.assertGreater(take_ups[True], 50 * SEEDS)

    def assert_caught(self, fleet_class):
        for seed in range(40):
            if self.play(seed, fleet_class=fleet_class).joined:
                return
        self.fail("no seed shows it")

    def test_these_days_show_a_record_of_an_earlier_try_that_is_passed_over(self):
        class Forgetful(Fleet):
            def needs_record(self, host, attempt, software):
                return host.notes.needs_record(SERVICE, software)

        self.assert_caught(Forgetful)

    def test_these_days_show_take_ups_without_a_read_of_the_store(self):
        class Trusting(Fleet):
            async def take_up(self, host, attempt, software):
                note = host.notes.note(SERVICE)
                version = note.base if note is not None and not note.mixed else None
                if version not in (None, software):
                    self.joined.append((attempt, software, version, note))

        self.assert_caught(Trusting)

    def test_beside_a_release_streams_begin_and_are_taken_up(self):
        """All hosts are killed in its midst; half of the take-ups must go on."""
        fleet = self.open_fleet(hosts=5, seed=1)
        loop = fleet.loop
        loop.run_for(3.0)
        for second in range(60):
            if second == 6:
                fleet.endpoints = frozenset({"v1", "v2"})
            if second == 12:
                fleet.endpoints = frozenset({"v2"})
            if second in (8, 20):
                for name in list(fleet.hosts):
                    fleet.kill(name, 2.0)
            for number in range(20):
                loop.create_task(fleet.stream(f"a{second}-{number}"))
            loop.run_for(1.0)
        loop.run_for(stream_versions.LIFETIME)
        self.assertEqual([], fleet.joined)
        begun_share = fleet.begun / (fleet.begun + fleet.refused)
        known, unknown = fleet.take_ups[True], fleet.take_ups[False]
        self.assertGreater(known + unknown, 1000)
        self.assertGreater(known / (known + unknown), begun_share / 2)

    def test_calm_streams_cost_no_write(self):
        fleet = self.open_fleet(hosts=5, seed=1)
        fleet.loop.run_for(3.0)
        before = fleet.store.version
        for number in range(200):
            fleet.loop.create_task(fleet.stream(f"a{number}"))
            fleet.loop.run_for(0.1)
        fleet.loop.run_for(stream_versions.LIFETIME)
        self.assertEqual(200, fleet.begun)
        self.assertEqual(0, fleet.take_ups[False])
        self.assertEqual(before, fleet.store.version)

    def test_62_hosts_write_a_change_once_and_few_read_for_it(self):
        fleet = self.open_fleet(hosts=62, seed=1)
        loop = fleet.loop
        loop.run_for(5.0)

        def calls(kind):
            return sum(host.calls[kind] for host in fleet.hosts.values())

        self.assertEqual(1, calls("commit"))
        for endpoints in ({"v1", "v2"}, {"v2"}, {"v1", "v2"}, {"v2"}):
            reads, commits = calls("read"), calls("commit")
            fleet.endpoints = frozenset(endpoints)
            loop.run_for(15.0)
            self.assertLessEqual(calls("commit") - commits, 3)
            self.assertLessEqual(calls("read") - reads, 2 * 62)
        reads, commits = calls("read"), calls("commit")
        loop.run_for(stream_versions.SETTLE + 5.0)
        read = fleet.store.read(version_notes.TABLE, version_notes.PART, None, None)
        note = version_notes.decode(SERVICE, read.rows[0].value)
        self.assertEqual(("v2", False), note[:2])
        self.assertEqual(1, calls("commit") - commits)
        clean_up = 16 * stream_record_rows.PARTS
        self.assertLessEqual(calls("read") - reads, 2 * 62 + clean_up)

    def test_records_of_62_hosts_stay_within_the_rate_of_each_part(self):
        class Beginning(Fleet):
            async def take_up(self, host, attempt, software):
                return

        fleet = self.open_fleet(hosts=62, seed=1, fleet_class=Beginning)
        loop = fleet.loop
        loop.run_for(3.0)
        fleet.endpoints = frozenset({"v2"})
        loop.run_for(3.0)
        for second in range(6):
            for number in range(300):
                loop.create_task(fleet.stream(f"a{second}-{number}"))
            loop.run_for(1.0)
        loop.run_for(20.0)
        for (part, second), count in fleet.store.arrivals.items():
            self.assertLessEqual(count, PART_COMMITS, (part, second))
        self.assertEqual(0, fleet.refused)
        self.assertEqual((1800, 0), (fleet.begun, fleet.refused))
