"""How hosts notice that others fell silent, in fleets on virtual time."""

import collections
import random

from dogwoodchute.coordination import watch_ring
from dogwoodchute.gateway import host_rows, hosts, liveness, registration
from dogwoodchute.gateway.following import followed_tables, mirror, table_source
from dogwoodchute.standins import row_store
from dogwoodchute.tests import support, test_hosts, virtual

DEATH_KNOWN = 4.0  # seconds until all hosts know of a death
START_KNOWN = 2.0  # seconds until all hosts know of a start
PART_RATE = 200.0  # commits that a partition of the store serves in a second
TRANSIT = 0.01  # seconds of a datagram


class RingTest(support.TestCase):
    def test_each_host_is_watched_by_those_that_it_sends_heartbeats_to(self):
        for count in (1, 2, 3, 5, 7, 63, 340):
            names = [f"h{number}" for number in range(count)]
            found = {name: watch_ring.neighbours(name, names) for name in names}
            for name, (watchers, watched) in found.items():
                expected = min(watch_ring.WATCHERS, count - 1)
                self.assertEqual(expected, len(set(watchers) - {name}), (count, name))
                self.assertEqual(expected, len(set(watched) - {name}), (count, name))
                for watcher in watchers:
                    self.assertIn(name, found[watcher].watched)


class Member:
    """One host with its row, its copy of the table and its heartbeats."""

    def __init__(self, fleet, number, run):
        self.name = f"h{number}"
        self.id = f"{self.name}-{run:04d}"
        self.fleet = fleet
        self.is_cut_off = False  # from all other hosts
        now = fleet.loop.time
        store = row_store.in_process_client(
            fleet.store, faults=lambda kind: fleet.fault
        )
        deployment = test_hosts.DEPLOYMENT._replace(
            host=self.name, control=f"{self.id}:3", heartbeats=f"{self.id}:6"
        )
        self.hosts = hosts.Hosts(
            id=self.id,
            deployment=deployment,
            store=store,
            on_crashes=lambda crashes: None,
            now=now,
        )
        self.own_row = registration.OwnRow(
            id=self.id,
            deployment=deployment,
            store=store,
            state=lambda: host_rows.READY,
            crashes=tuple,
            remove_expired=self.hosts.remove_expired,
            now=now,
            started_at=now(),
        )
        self.liveness = liveness.Liveness(
            id=self.id,
            name=self.name,
            live=lambda: self.hosts.live,
            row_version=self.hosts.row_version,
            is_alive=self.ask,
            mark_down=self.hosts.mark_down,
            now=now,
        )
        self.liveness.connection_made(self)
        self.mirror = mirror.Mirror(
            table=host_rows.TABLE,
            fetch=table_source.from_store(
                store=store, table=host_rows.TABLE, parts=host_rows.parts(), now=now
            ),
            pause=followed_tables.HOSTS_PAUSE,
            wait=0.0,
            on_change=self.hosts.apply_changes,
            receiving=lambda: False,
            now=now,
        )
        self.mirror.add_listener(self.own_row.apply_changes)
        self.hosts.set_read_at(lambda: self.mirror.read_at)
        self.start()

    def start(self):
        """Run, also after a freeze."""
        loops = (self.mirror, self.own_row, self.liveness)
        self.tasks = [self.fleet.loop.create_task(each.run()) for each in loops]

    def stop(self):
        """End without notice, or freeze."""
        for task in self.tasks:
            task.cancel()
        self.tasks = []

    @property
    def runs(self):
        return bool(self.tasks)

    def sendto(self, data, address):
        """Send a datagram, as the transport of this host's heartbeats."""
        self.fleet.sent[self.id] += 1
        receiver = self.fleet.by_id.get(address[0])
        if receiver is None or not self.fleet.reaches(self, receiver):
            return
        if self.fleet.rng.random() >= self.fleet.loss:
            self.fleet.loop.call_later(TRANSIT, receiver.receive, data, self.id)

    def receive(self, data, sender):
        if self.runs:
            self.liveness.datagram_received(data, (sender, 6))

    async def ask(self, address):
        await virtual.asyncio.sleep(TRANSIT)
        other = self.fleet.by_id[address.partition(":")[0]]
        if other.runs and self.fleet.reaches(self, other):
            return True
        await virtual.asyncio.sleep(liveness.QUESTION_TIMEOUT)
        return False


class Fleet:
    def __init__(self, count, *, loss=0.0):
        self.loop = virtual.Loop()
        self.rng = random.Random(5)
        self.loss = loss  # share of datagrams
        self.fault = row_store.NO_FAULT
        self.store = row_store.RowStore(now=self.loop.time, part_rate=PART_RATE)
        self.sent = collections.Counter()
        self.by_id = {}
        self.members = {}  # the latest run of each host, by number
        self.runs = 0
        for number in range(count):
            self.add(number)

    def add(self, number):
        self.runs += 1
        member = Member(self, number, self.runs)
        self.members[number] = self.by_id[member.id] = member
        return member

    def reaches(self, one, other):
        return not one.is_cut_off and not other.is_cut_off

    def knows(self, member):
        """Return how many of the other running hosts take a host for live."""
        others = [m for m in self.members.values() if m.runs and m is not member]
        return sum(
            any(host.id == member.id for host in m.hosts.live) for m in others
        ), len(others)

    def time_until(self, condition, *, at_most):
        """Return the seconds until `condition` holds."""
        began = self.loop.time()
        while not condition():
            if self.loop.time() - began > at_most:
                return float("inf")
            self.loop.run_for(0.05)
        return self.loop.time() - began


class FleetTest(support.TestCase):
    def fleet(self, count, **options):
        fleet = Fleet(count, **options)
        self.addCleanup(fleet.loop.finish)
        fleet.loop.run_for(6.0)
        return fleet

    def check_death(self, fleet, number):
        member = fleet.members[number]
        member.stop()
        seconds = fleet.time_until(
            lambda: fleet.knows(member)[0] == 0, at_most=2 * DEATH_KNOWN
        )
        self.assertLessEqual(seconds, DEATH_KNOWN)

    def test_a_death_is_known_on_all_hosts(self):
        for count in (2, 7, 63):
            fleet = self.fleet(count)
            for number in range(min(5, count - 1)):
                self.check_death(fleet, number)
                fleet.loop.run_for(fleet.rng.uniform(0.0, 1.0))

    def test_a_start_is_known_on_all_hosts(self):
        fleet = self.fleet(63)
        member = fleet.add(63)
        seconds = fleet.time_until(
            lambda: fleet.knows(member)[0] == 63, at_most=2 * START_KNOWN
        )
        self.assertLessEqual(seconds, START_KNOWN)

    def test_a_restart_is_known_and_the_run_before_counts_no_more(self):
        fleet = self.fleet(7)
        before = fleet.members[3]
        before.stop()
        after = fleet.add(3)
        seconds = fleet.time_until(
            lambda: fleet.knows(after)[0] == 6 and fleet.knows(before)[0] == 0,
            at_most=2 * START_KNOWN,
        )
        self.assertLessEqual(seconds, START_KNOWN)

    def test_half_of_the_hosts_dying_at_once_are_all_found(self):
        """All watchers of a host may die with it; others then watch it."""
        fleet = self.fleet(63)
        dead = [fleet.members[number] for number in range(0, 63, 2)]
        for member in dead:
            member.stop()
        seconds = fleet.time_until(
            lambda: not any(fleet.knows(m)[0] for m in dead), at_most=30.0
        )
        self.assertLessEqual(seconds, 3 * DEATH_KNOWN)

    def test_calm_costs_the_store_nothing_and_a_host_the_same_in_any_fleet(self):
        for count in (7, 63):
            fleet = self.fleet(count)
            version = fleet.store.version
            fleet.sent.clear()
            fleet.loop.run_for(60.0)
            self.assertEqual(version, fleet.store.version)
            most = 60.0 / (0.9 * liveness.INTERVAL) * watch_ring.WATCHERS
            self.assertLessEqual(max(fleet.sent.values()), most + watch_ring.WATCHERS)

    def test_lost_datagrams_mark_nobody_as_down(self):
        fleet = self.fleet(63, loss=0.3)
        version = fleet.store.version
        fleet.loop.run_for(60.0)
        self.assertEqual(version, fleet.store.version)

    def test_a_store_that_fails_or_is_slow_declares_nobody_dead(self):
        for fault in (row_store.Fault(status=503), row_store.Fault(delay=2.0)):
            fleet = self.fleet(7)
            fleet.fault = fault
            fleet.loop.run_for(30.0)
            for member in fleet.members.values():
                self.assertEqual(6, fleet.knows(member)[0])

    def test_a_host_that_was_frozen_marks_nobody_and_is_live_again(self):
        fleet = self.fleet(7)
        member = fleet.members[2]
        member.stop()
        fleet.loop.run_for(10.0)
        self.assertEqual(0, fleet.knows(member)[0])
        member.start()
        seconds = fleet.time_until(
            lambda: fleet.knows(member)[0] == 6, at_most=2 * START_KNOWN
        )
        self.assertLessEqual(seconds, START_KNOWN)
        for other in fleet.members.values():
            self.assertEqual(6, fleet.knows(other)[0])

    def test_a_host_that_only_others_cannot_reach_is_marked_ever_less_often(self):
        """It reaches the store, and so writes its row again each time."""
        fleet = self.fleet(7)
        member = fleet.members[2]
        member.is_cut_off = True
        fleet.loop.run_for(20.0)
        first = fleet.store.version
        fleet.loop.run_for(20.0)
        second = fleet.store.version
        fleet.loop.run_for(20.0)
        self.assertLess(fleet.store.version - second, first)

    def test_a_start_of_all_hosts_stays_below_the_rate_of_each_part(self):
        """With one part for all rows, 400 starts fill it for three seconds."""
        starts, commits = 400, 3
        counts = collections.Counter(
            host_rows.part_of(f"h{number}-{number:08x}") for number in range(starts)
        )
        self.assertEqual(set(host_rows.parts()), set(counts))
        self.assertLessEqual(commits * max(counts.values()), PART_RATE)
