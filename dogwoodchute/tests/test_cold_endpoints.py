"""Cold endpoints get no more requests than they take, from all hosts together."""

import itertools
import json
import random

from dogwoodchute.coordination import warmup
from dogwoodchute.gateway import model
from dogwoodchute.gateway.warmup import recent_hosts
from dogwoodchute.platform import decode
from dogwoodchute.tests import gateway_site, support, test_odd_rows, warm_endpoints

BOUNDS = model.Bounds()
STEP = 0.02  # seconds between looks of each host
SERVICE = model.Service("s", None, cold_start=3.0, cold_rate=6.9)
ENDPOINT = model.Endpoint("e1", "s", "10.0.0.1:80", "z1", model.READY, 4)


def allowed(rate, bounds=BOUNDS):
    """Return the requests that a cold endpoint may get in one second."""
    return rate * bounds.cold_overrun + bounds.cold_slack


def most_in_a_second(times):
    """Return the largest number of sorted times within one second."""
    most, first = 0, 0
    for number, at in enumerate(times):
        while times[first] <= at - 1.0:
            first += 1
        most = max(most, number - first + 1)
    return most


class DivideTest(support.TestCase):
    def test_holders_that_all_send_at_once_stay_below_what_is_allowed(self):
        rates = (0.1, 0.5, 1, 2, 6.9, 13.8, 30, 61, 73, 100, 150, 400, 2000)
        hosts = (1, 2, 3, 7, 9, 30, 61, 195, 340)
        for overrun, slack in ((1.5, 5.0), (1.2, 2.0), (1.0, 0.0), (2.0, 0.0)):
            divide = warmup.divider(overrun=overrun, slack=slack)
            for rate, count in itertools.product(rates, hosts):
                holders, share = divide(rate, count)
                self.assertLessEqual(holders, count)
                self.assertGreater(share, 0)
                at_once = holders * warmup.burst(share)
                self.assertLessEqual(at_once, max(1.0, overrun * rate + slack))

    def test_a_fleet_may_use_most_of_what_an_endpoint_takes(self):
        divide = warmup.divider(overrun=1.5, slack=5.0)
        for rate, hosts in ((6.9, 61), (6.9, 7), (30, 61), (2, 340)):
            holders, share = divide(rate, hosts)
            self.assertGreaterEqual(holders * share, 0.99 * rate)


class Fleet:
    """Hosts with endless demand that look at a cold endpoint, on passed-in time.

    Each learns at a moment of its own that the endpoint is cold.
    """

    def __init__(self, *, count, service=SERVICE, seed=1, late=0.3):
        self.now = 100.0
        self.rng = random.Random(seed)
        self.late = late
        self.service = service
        self.names = [f"h{number}" for number in range(count)]
        self.known = {name: set(self.names) - {name} for name in self.names}
        self.fleets, self.cold, self.evacuated, self.learns_at = {}, {}, {}, {}
        for name in self.names:
            self.start_host(name)
        self.times = []

    def start_host(self, name, registered_at=0.0):
        fleet = warm_endpoints.Fleet(self.known[name], registered_at=registered_at)
        parts = warm_endpoints.parts(
            lambda: self.now, fleet=fleet, services={"s": self.service}, host=name
        )
        self.fleets[name] = fleet
        self.cold[name], self.evacuated[name] = parts["cold"], parts["evacuated"]
        self.cold[name]._others.apply_changes({}, [])

    def run(self, *, cold_for, seconds):
        """Let the endpoint be cold for a time; note when requests are sent to it."""
        began = self.now
        for name in self.names:
            self.learns_at[name] = began + self.rng.uniform(0, self.late)
        while self.now < began + min(seconds, cold_for):
            for name in self.rng.sample(self.names, len(self.names)):
                self.look(name, cold_for, began)
            self.now += STEP
        return self.times

    def look(self, name, cold_for, began):
        if self.now < self.learns_at[name]:
            return
        cold = self.cold[name]
        if not cold._said_until:
            cold.hear(ENDPOINT.id, cold_for - (self.now - began))
        while not cold.wait(ENDPOINT):
            cold.take(ENDPOINT)
            self.times.append(self.now)


class FleetTest(support.TestCase):
    def check(self, fleet, *, cold_for=3.0, seconds=60.0):
        times = fleet.run(cold_for=cold_for, seconds=seconds)
        self.assertLessEqual(most_in_a_second(times), allowed(fleet.service.cold_rate))
        return times

    def test_sixty_hosts_share_the_rate_from_its_first_second_on(self):
        for seed in range(20):
            times = self.check(Fleet(count=61, seed=seed))
            # What it takes isn't left to it unused.
            self.assertGreater(len(times), 0.6 * 3.0 * SERVICE.cold_rate)

    def test_other_sizes_and_rates(self):
        for count, rate in ((1, 6.9), (7, 6.9), (9, 2.0), (61, 40.0), (195, 6.9)):
            service = SERVICE._replace(cold_rate=rate)
            self.check(Fleet(count=count, service=service), cold_for=10.0)

    def test_hosts_that_others_do_not_know_yet(self):
        """A third of the hosts have just started; nobody else knows them."""
        fleet = Fleet(count=61)
        new = set(fleet.names[:20])
        for name in fleet.names:
            fleet.known[name] = set(fleet.names) - {name} - new
            registered_at = fleet.now - 0.5 if name in new else 0.0
            fleet.start_host(name, registered_at=registered_at)
        self.check(fleet, cold_for=recent_hosts.SETTLING - 0.5)

    def test_hosts_that_are_cut_off_from_one_another(self):
        """Each side sees the other side's hosts go, which go on sending."""
        fleet = Fleet(count=61)
        fleet.now += 1.0
        for number, name in enumerate(fleet.names):
            side = {each for n, each in enumerate(fleet.names) if n % 3 == number % 3}
            live = warm_endpoints.Fleet(side - {name}).live
            fleet.fleets[name].live = live
        fleet.now += 10.0
        self.check(fleet, cold_for=10.0)

    def test_hosts_whose_lists_of_one_another_differ(self):
        fleet = Fleet(count=61)
        for name in fleet.names:
            others = sorted(set(fleet.names) - {name})
            fleet.known[name] = set(fleet.rng.sample(others, 57))
            fleet.start_host(name)
        self.check(fleet, cold_for=10.0)

    def test_a_host_that_has_not_registered_sends_nothing(self):
        fleet = Fleet(count=1)
        fleet.fleets["h0"].registered_at = None
        self.assertEqual([], fleet.run(cold_for=3.0, seconds=3.0))

    def test_an_evacuated_data_centre_that_is_taken_back_counts_as_cold(self):
        """Rows of its endpoints may be older than their return, and say nothing."""
        fleet = Fleet(count=61)
        times = []
        for name in fleet.names:
            fleet.evacuated[name]._begin("z1", 1)
            fleet.evacuated[name]._end("z1", "removed")
        while fleet.now < 100.0 + SERVICE.cold_start:
            for name in fleet.names:
                while not fleet.cold[name].wait(ENDPOINT):
                    fleet.cold[name].take(ENDPOINT)
                    times.append(fleet.now)
            fleet.now += STEP
        self.assertLessEqual(most_in_a_second(times), allowed(SERVICE.cold_rate))
        self.assertEqual(0.0, fleet.cold["h0"].wait(ENDPOINT))


class RecentHostsTest(support.TestCase):
    def test_a_host_that_was_live_for_long_counts_for_a_while_after_it_has_gone(self):
        """Nobody asks for the names in calm, so it was last noted long ago."""
        now = 100.0
        fleet = warm_endpoints.Fleet(["h2", "h3"])
        recent = recent_hosts.RecentHosts(
            fleet=fleet, read_at=lambda: now, now=lambda: now
        )
        recent.apply_changes({}, [])
        now += 10 * recent_hosts.KEPT
        fleet.live = fleet.live[:1]
        recent.apply_changes({}, [])
        self.assertEqual(("h2", "h3"), recent.names)
        now += recent_hosts.KEPT + 1
        self.assertEqual(("h2",), recent.names)
        self.assertIs(recent.names, recent.names)


class PhaseTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.service = SERVICE
        parts = warm_endpoints.parts(
            lambda: self.now,
            services={"s": self.service, "other": model.Service("o", None)},
        )
        self.cold = parts["cold"]

    def test_it_ends_in_time_or_when_the_endpoint_says_so(self):
        self.cold.hear("e1", 2.0)
        self.assertTrue(self.cold.is_cold(ENDPOINT))
        self.now += 2.0
        self.assertFalse(self.cold.is_cold(ENDPOINT))
        self.cold.hear("e1", 2.0)
        self.cold.hear("e1", 0.0)
        self.assertFalse(self.cold.is_cold(ENDPOINT))
        self.assertFalse(self.cold.may_have_any)

    def test_a_service_that_names_no_rate_is_sent_to_as_before(self):
        self.cold.hear("e1", 2.0)
        self.assertEqual(0.0, self.cold.wait(ENDPOINT._replace(service="other")))
        self.assertEqual(0.0, self.cold.wait(ENDPOINT._replace(service="unknown")))

    def test_nobody_waits_for_longer_than_it_is_cold(self):
        self.cold.hear("e1", 0.05)
        self.assertLessEqual(self.cold.wait(ENDPOINT), 0.05)


class DecodeTest(support.TestCase):
    def endpoint(self, **fields):
        value = json.dumps({**test_odd_rows.SOUND, **fields}).encode()
        return decode.endpoint("e1", value)

    def test_what_a_row_says(self):
        self.assertEqual(1.5, self.endpoint(coldLeftMs=1500).cold_for)
        self.assertEqual(0.0, self.endpoint().cold_for)

    def test_odd_values_name_no_endpoint(self):
        for odd in (-1, "soon", None, True, [], 1e300):
            self.assertRaises(decode.FormatError, self.endpoint, coldLeftMs=odd)

    def test_what_a_service_names(self):
        plain = gateway_site.config(coldStartS=3.0, coldPerS=6.9)
        service = decode.config(json.dumps(plain).encode()).services["plain"]
        self.assertEqual((3.0, 6.9), (service.cold_start, service.cold_rate))


class SiteTest(support.TestCase):
    def test_an_endpoint_whose_row_says_that_it_is_cold_gets_few_requests(self):
        async def scenario():
            site = gateway_site.Site()
            config = gateway_site.config(coldStartS=60.0, coldPerS=0.5)
            site.put("op", "config", config)
            await site.add_endpoint("e1", "engines")
            await site.add_endpoint("warm", "plain")
            cold = await site.add_endpoint("cold", "plain")
            port = int(site.addresses["cold"].rpartition(":")[2])
            site.register("cold", "plain", port, coldLeftMs=60_000, sequence=2)
            await site.start()
            try:
                await support.until(
                    lambda: site.host_process.gateway._endpoints.table.cold.may_have_any
                )
                for number in range(20):
                    status, _, _ = await site.ask("/look/x", attempt=f"a{number}")
                    self.assertEqual(200, status)
                self.assertLessEqual(len(cold.received), 5)
            finally:
                await site.stop()

        self.run_async(scenario())
