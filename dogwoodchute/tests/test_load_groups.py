"""How hosts exchange their loads, in fleets on simulated time."""

import collections
import random

import msgpack

from dogwoodchute.coordination import load_groups, quarantine
from dogwoodchute.gateway import crash_reports, gossip
from dogwoodchute.gateway.registered import endpoint_words
from dogwoodchute.tests import support, virtual

SECONDS = 4.0


def name_of(number):
    return f"host-{number:03d}-a1b2"


class PlanTest(support.TestCase):
    def plans(self, count):
        names = [name_of(number) for number in range(count)]
        return {
            name: load_groups.plan(name, [n for n in names if n != name])
            for name in names
        }

    def test_each_host_hears_each_other_once(self):
        for count in (2, 16, 17, 63, 340):
            plans = self.plans(count)
            # Hosts whose loads are received, alone or in a sum, by receiving host.
            received = collections.defaultdict(list)
            for name, plan in plans.items():
                for receiver in plan.group_peers:
                    received[receiver].append(name)
                for receiver in plan.outside_peers:
                    received[receiver].extend([name, *plan.group_peers])
            for name in plans:
                expected = sorted(other for other in plans if other != name)
                self.assertEqual(expected, sorted(received[name]), (count, name))

    def test_a_small_fleet_has_no_groups(self):
        for name, plan in self.plans(load_groups.MAX_UNGROUPED_HOSTS).items():
            self.assertEqual(load_groups.MAX_UNGROUPED_HOSTS - 1, len(plan.group_peers))
            self.assertEqual((), plan.outside_peers, name)

    def test_what_a_host_tells_grows_with_the_root_of_the_fleet(self):
        for count in (63, 340, 1360):
            receivers = [
                len(plan.group_peers) + len(plan.outside_peers)
                for plan in self.plans(count).values()
            ]
            self.assertLess(sum(receivers) / count, 2.5 * count**0.5)
            self.assertLess(max(receivers), 4 * count**0.5)


class Fleet:
    """Hosts with one request each.

    Its number of prompt tokens is the time in milliseconds, so that the age of a load
    can be read from the load.
    """

    def __init__(self, count, *, loss=0.0):
        self.loop = virtual.Loop()
        self.rng = random.Random(3)
        self.loss = loss  # share of datagrams
        self.busy = True
        self.sent = collections.Counter()
        self.words = collections.defaultdict(list)  # by number of the host
        self.learned = collections.defaultdict(list)  # words, by receiving host
        self.crashes = {}  # reports, by name of the host
        self.hosts = {}
        self.tasks = []
        for number in range(count):
            name = name_of(number)
            self.crashes[name] = crash_reports.CrashReports(
                on_quarantine=lambda: None, now=self.loop.time
            )
            host = gossip.Gossip(
                id=name,
                load=lambda number=number: self.load(number),
                peers=lambda name=name: {
                    other: f"{other}:1" for other in self.hosts if other != name
                },
                words=lambda number=number: self.words[number],
                on_words=lambda found, name=name: self.learned[name].extend(found),
                crashes=self.crashes[name],
                now=self.loop.time,
            )
            host.connection_made(Transport(self, name))
            self.hosts[name] = host
        for host in self.hosts.values():
            self.loop.call_later(self.rng.uniform(0, 0.5), self.begin, host)

    def begin(self, host):
        self.tasks.append(self.loop.create_task(host.run()))

    def load(self, number):
        if not self.busy:
            return {}
        return {f"e{number}": (1, int(1000 * self.loop.time()))}

    def ages(self, host):
        """Return the age in seconds of each load that a host counts."""
        (load,) = host.loads().reported
        now = self.loop.time()
        return [now - sent / 1000 for requests, sent in load.values() if requests == 1]


class Transport:
    """Delivers datagrams after a delay; loses a share of them."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    def sendto(self, data, address):
        fleet = self.fleet
        fleet.sent[self.name] += 1
        if fleet.rng.random() >= fleet.loss:
            fleet.loop.call_later(
                0.02, fleet.hosts[address[0]].datagram_received, data, (self.name, 1)
            )


class FleetTest(support.TestCase):
    def fleet(self, count, **options):
        fleet = Fleet(count, **options)
        self.addCleanup(fleet.loop.finish)
        return fleet

    def check(self, count, *, loss=0.0):
        """Run a fleet; return the share of loads that hosts count, and their ages."""
        fleet = self.fleet(count, loss=loss)
        fleet.loop.run_for(SECONDS)
        # Pauses are shorter by up to a tenth, and there is none before the first round.
        max_sent = SECONDS * gossip.DATAGRAMS_PER_SECOND / 0.9
        for name, host in fleet.hosts.items():
            self.assertLessEqual(
                fleet.sent[name], max_sent + host.recipient_count, name
            )
        ages = [age for host in fleet.hosts.values() for age in fleet.ages(host)]
        return len(ages) / (count * (count - 1)), sorted(ages)

    def test_a_host_of_the_largest_fleet_counts_all_loads(self):
        """Without groups, three of four loads were too old to count with 340 hosts."""
        share, ages = self.check(340)
        self.assertEqual(1.0, share)
        self.assertLess(ages[-1], gossip.MAX_AGE)

    def test_the_age_of_sums_counts_from_when_their_loads_were_told(self):
        for count in (7, 63):
            fleet = self.fleet(count)
            fleet.loop.run_for(SECONDS)
            for host in fleet.hosts.values():
                ages = fleet.ages(host)
                mean = sum(ages) / len(ages)
                # Less the time in transit: one hop for a host's load, two for sums.
                self.assertAlmostEqual(mean - 0.03, host.loads().age, delta=0.015)

    def test_lost_datagrams_make_loads_a_little_older(self):
        share, ages = self.check(63, loss=0.1)
        self.assertGreater(share, 0.98)
        self.assertLess(ages[len(ages) // 2], 0.7)

    def test_a_small_fleet_hears_all_at_once(self):
        share, ages = self.check(7)
        self.assertEqual(1.0, share)
        self.assertLess(ages[-1], 0.35)

    def test_an_idle_fleet_is_silent_and_counts_nothing(self):
        fleet = self.fleet(63)
        fleet.loop.run_for(SECONDS)
        fleet.busy = False
        fleet.loop.run_for(2.5 * gossip.MAX_AGE)
        before = fleet.sent.total()
        fleet.loop.run_for(SECONDS)
        self.assertEqual(before, fleet.sent.total())
        for host in fleet.hosts.values():
            self.assertEqual([], host.loads().reported)

    def test_all_hosts_learn_within_two_rounds_that_an_endpoint_leaves(self):
        """Otherwise only the host that got the answer stops sending to it."""
        for count in (7, 63):
            fleet = self.fleet(count)
            fleet.loop.run_for(SECONDS)
            fleet.busy = False
            departure = endpoint_words.Word("e1", 1_700_000_000_000, 0.0)
            fleet.words[3].append(departure)
            fleet.loop.run_for(1.5)
            told_directly = [f for f in fleet.learned.values() if departure in f]
            self.assertGreaterEqual(len(told_directly), 6 if count == 7 else 10)

    def test_a_departure_is_told_for_some_seconds_only(self):
        fleet = self.fleet(7)
        fleet.busy = False
        late = endpoint_words.TOLD_SECONDS + 0.1
        fleet.words[3].append(endpoint_words.Word("e1", 1, late))
        fleet.loop.run_for(SECONDS)
        self.assertEqual(0, fleet.sent.total())


class DatagramTest(support.TestCase):
    def test_what_is_encoded_is_decoded(self):
        departure = endpoint_words.Word("e1", 1_700_000_000_000, 0.5)
        load = {"e1": (2, 300)}
        crash = quarantine.Crash(quarantine.Run("e2", 1_700_000_000_000), ("p1", "p2"))
        crashes = crash_reports.Report(
            (crash_reports.ReportedCrash(crash, 0.5),),
            (crash_reports.ReportedCompletion("p1", 2.5),),
        )
        report = gossip.LoadReport(
            "h1-a", 7, 8, 3, 9, 0.25, load, (departure,), crashes
        )
        self.assertEqual(report, gossip.decode(gossip.encode(report)))

    def test_what_cannot_be_read_is_left_out(self):
        for data in (
            b"",
            b"\xc1",
            b"\x93\x01\x02\x03",
            b"\x98\x02\xa1a\x01\x00\x00\x01\x00\x05",
            b"\x91" * 100_000,
            self.datagram("h", float("inf"), 0, 0, 1, 0.0, {}, []),
            self.datagram("h", 1, 0, 0, 1, float("nan"), {}, []),
            self.datagram("h", 1, 0, 0, 1, 0.0, {}, [["e"]]),
            self.datagram(crashes=[[[["e", 1], "part"], 0.0]]),
            self.datagram(crashes=[[[["e"], ["part"]], 0.0]]),
            self.datagram(crashes=[[[["e", 1], [7]], 0.0]]),
            self.datagram(crashes=[[[["e", 1], ["p" * 65]], 0.0]]),
            self.datagram(crashes=[[[["e", 1], ["part"] * 33], 0.0]]),
            self.datagram(crashes=[[[["e", 1], ["part"]], -1.0]]),
            self.datagram(completions=[["part", float("nan")]]),
            self.datagram(completions=[[None, 0.0]]),
        ):
            self.assertIsNone(gossip.decode(data))
        self.assertIsNotNone(gossip.decode(self.datagram()))

    def datagram(self, *fields, crashes=(), completions=()):
        fields = fields or ("h", 1, 0, 0, 1, 0.0, {}, [])
        return msgpack.packb([gossip.FORMAT, *fields, [crashes, completions]])

    def test_of_too_many_endpoints_those_with_most_requests_are_told(self):
        load = {f"e{n}": (n, 0) for n in range(2 * gossip.MAX_ENDPOINTS)}
        kept = gossip.decode(
            gossip.encode(gossip.LoadReport("h", 1, 0, 0, 1, 0.0, load))
        ).load
        self.assertEqual(gossip.MAX_ENDPOINTS, len(kept))
        self.assertEqual(gossip.MAX_ENDPOINTS, min(n for n, _ in kept.values()))
