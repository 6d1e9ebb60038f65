"""How a change of a large table spreads over the hosts of two regions."""

import random

from dogwoodchute.coordination import sources
from dogwoodchute.tests import support, table_fleet

LARGE = 400_000  # bytes of a configuration of 1,600 routes
SMALL_SITE_BOUND = 2.5  # seconds until all hosts must have a change
LARGE_SITE_BOUND = 4.0  # seconds, on sites of 60 hosts and more
# So many fetches of a large row cross the link between regions in that time.
FETCHES_IN_TIME = 28
CALLS_PER_SECOND = 3  # of a host to others about one table
CONTACT = 3.0  # seconds in contact after which a host must have a change


class SpreadTest(support.TestCase):
    def fleet(self, near=31, far=31, **options):
        fleet = table_fleet.Fleet(near=near, far=far, **options)
        self.addCleanup(fleet.loop.finish)
        fleet.start(size=100)
        return fleet

    def spread(self, fleet, *, size=LARGE, seconds=6.0):
        """Write a large row; return its version and the seconds of the last host."""
        written_at = fleet.loop.time()
        version = fleet.put(size)
        fleet.loop.run_for(seconds)
        last = fleet.last_adopted(version)
        self.assertIsNotNone(last, "a host did not adopt the version")
        return version, last - written_at

    def test_one_configuration_crosses_the_region_link_at_most_three_times(self):
        fleet = self.fleet()
        version, seconds = self.spread(fleet)
        self.assertLessEqual(fleet.fetches(version), 3)
        self.assertLessEqual(fleet.fetches(version, region="near"), 3)
        self.assertLess(seconds, SMALL_SITE_BOUND)

    def test_without_sources_one_configuration_fills_the_region_link(self):
        """The failure that the sources guard against."""
        fleet = self.fleet(alone=True)
        version, seconds = self.spread(fleet)
        self.assertEqual(31, fleet.fetches(version))
        self.assertGreater(seconds, LARGE_SITE_BOUND)

    def test_a_slow_transfer_to_the_sources_draws_no_other_host_to_the_store(self):
        """Otherwise each host that joins slows it further, until all have joined."""
        fleet = self.fleet()
        version, _ = self.spread(fleet, size=3 * LARGE)
        self.assertLessEqual(fleet.fetches(version), 3)

    def test_a_full_link_between_regions_sends_no_other_host_to_the_store(self):
        """Sources that waited for it seemed stale, and the others filled it more."""
        for queueing in (0.3, 0.6, 1.4):
            fleet = self.fleet(near=98, far=97)
            fleet.queueing = queueing
            fleet.loop.run_for(6.0)
            version, seconds = self.spread(fleet)
            self.assertLessEqual(fleet.fetches(version), 3)
            self.assertLess(seconds, SMALL_SITE_BOUND)

    def test_a_slow_transfer_to_the_sources_makes_no_host_ask_them_all_the_time(self):
        fleet = self.fleet()
        before = [host.asked for host in fleet.sources_of("far")]
        version = fleet.put(6 * LARGE)
        seconds = 4.0
        fleet.loop.run_for(seconds)
        self.assertIsNotNone(fleet.last_adopted(version))
        asked = sum(host.asked for host in fleet.sources_of("far")) - sum(before)
        self.assertLess(asked / seconds, len(fleet.hosts) / 2 * CALLS_PER_SECOND)

    def test_a_source_that_freezes_holds_no_configuration_back(self):
        for number in range(3):
            fleet = self.fleet()
            source = fleet.sources_of("far")[number]
            source.frozen = True
            version, seconds = self.spread(fleet)
            self.assertLessEqual(fleet.fetches(version), 3)
            self.assertLess(seconds, SMALL_SITE_BOUND)

    def test_a_source_that_is_killed_holds_no_configuration_back(self):
        fleet = self.fleet()
        fleet.sources_of("far")[0].killed = True
        version, seconds = self.spread(fleet)
        self.assertLessEqual(fleet.fetches(version), 3)
        self.assertLess(seconds, SMALL_SITE_BOUND)

    def test_a_source_that_is_cut_from_the_store_holds_no_configuration_back(self):
        fleet = self.fleet()
        fleet.sources_of("far")[0].cut_from_store = True
        version, seconds = self.spread(fleet)
        self.assertLessEqual(fleet.fetches(version), 3)
        self.assertLess(seconds, LARGE_SITE_BOUND)

    def test_a_host_asks_the_store_in_time_while_all_others_are_cut_from_it(self):
        """It waited for the groups before it, whose number grows with the fleet."""
        fleet = self.fleet(near=98, far=97)
        last = sources.rank(p for p in fleet.peers() if p.region == "far")[-1]
        for host in fleet.hosts.values():
            host.cut_from_store = host.peer != last
        fleet.loop.run_for(2.0)
        version, written_at = fleet.put(100), fleet.loop.time()
        fleet.loop.run_for(8.0)
        adopted = fleet.hosts[last.name].adopted
        self.assertIn(version, adopted)
        self.assertLess(adopted[version] - written_at, LARGE_SITE_BOUND)

    def test_a_host_whose_way_to_the_store_heals_asks_it_in_time(self):
        """It paused longer the more groups came before it, up to 32 s."""
        fleet = self.fleet(near=98, far=97)
        last = sources.rank(p for p in fleet.peers() if p.region == "far")[-1]
        for host in fleet.hosts.values():
            host.cut_from_store = True
        fleet.loop.run_for(10.0)
        version = fleet.put(100)
        fleet.hosts[last.name].cut_from_store = False
        healed_at = fleet.loop.time()
        fleet.loop.run_for(CONTACT)
        self.assertIn(version, fleet.hosts[last.name].adopted, healed_at)

    def test_sources_cut_from_the_store_send_few_hosts_of_a_large_site_to_it(self):
        """All others went there one by one, and filled the link between regions."""
        for age_of_cut in (0.0, 1.75, 6.0):
            fleet = self.fleet(near=98, far=97)
            cut = [*fleet.sources_of("near"), *fleet.sources_of("far")]
            self.spread_past(fleet, cut, age_of_cut)

    def test_half_of_a_large_site_is_cut_from_the_store(self):
        for age_of_cut in (1.0, 10.0):
            fleet = self.fleet(near=98, far=97)
            rng = random.Random(7)
            cut = [h for h in fleet.hosts.values() if rng.random() < 0.5]
            cut += [*fleet.sources_of("near"), *fleet.sources_of("far")]
            self.spread_past(fleet, cut, age_of_cut)

    def spread_past(self, fleet, cut, age_of_cut):
        """Check that a change spreads over all but those cut from the store."""
        for host in cut:
            host.cut_from_store = True
        fleet.loop.run_for(age_of_cut)
        version, written_at = fleet.put(LARGE), fleet.loop.time()
        fleet.loop.run_for(LARGE_SITE_BOUND)
        self.assertLessEqual(fleet.fetches(version), FETCHES_IN_TIME)
        for host in fleet.hosts.values():
            if host in cut:
                continue
            self.assertIn(version, host.adopted, host.peer.name)
            self.assertLess(host.adopted[version] - written_at, LARGE_SITE_BOUND)

    def test_a_large_site_doesn_t_fetch_a_change_at_once_when_the_store_is_back(self):
        fleet = self.fleet(near=98, far=97)
        fleet.store_down = True
        fleet.loop.run_for(9.0)
        version = fleet.put(LARGE)
        fleet.store_down = False
        available_at = fleet.loop.time()
        fleet.loop.run_for(6.0)
        self.assertLess(fleet.last_adopted(version) - available_at, LARGE_SITE_BOUND)
        self.assertLessEqual(fleet.fetches(version), FETCHES_IN_TIME)

    def test_a_source_with_a_slow_way_to_the_store_takes_what_another_has_got(self):
        """Guards against a host that waits 8 s for its own transfer to end."""
        fleet = self.fleet()
        fleet.sources_of("far")[1].slowness = 60.0
        version, seconds = self.spread(fleet, seconds=10.0)
        self.assertLessEqual(fleet.fetches(version), 3)
        self.assertLess(seconds, SMALL_SITE_BOUND)

    def test_all_sources_of_a_small_site_freeze_at_once(self):
        fleet = self.fleet(near=5, far=4)
        for region in ("near", "far"):
            for source in fleet.sources_of(region):
                source.frozen = True
        _, seconds = self.spread(fleet)
        self.assertLess(seconds, SMALL_SITE_BOUND)

    def test_all_sources_of_a_large_site_freeze_at_once(self):
        fleet = self.fleet()
        for source in fleet.sources_of("far"):
            source.frozen = True
        _, seconds = self.spread(fleet)
        self.assertLess(seconds, LARGE_SITE_BOUND)

    def test_hosts_don_t_all_fetch_a_change_when_the_store_is_back(self):
        fleet = self.fleet()
        fleet.store_down = True
        fleet.loop.run_for(6.0)
        version = fleet.put(LARGE)
        fleet.loop.run_for(3.0)
        fleet.store_down = False
        available_at = fleet.loop.time()
        fleet.loop.run_for(6.0)
        self.assertLess(fleet.last_adopted(version) - available_at, LARGE_SITE_BOUND)
        self.assertLessEqual(fleet.fetches(version), 15)

    def test_a_host_that_the_store_turns_away_gets_tables_from_its_peers(self):
        fleet = self.fleet()
        refused = [h for h in fleet.hosts.values() if h.peer.name.endswith(("1", "4"))]
        for host in refused:
            host.cut_from_store = True
            host.is_store_reachable = False
        _, seconds = self.spread(fleet)
        self.assertLess(seconds, LARGE_SITE_BOUND)

    def test_hosts_that_the_store_turns_away_get_tables_from_hosts_that_leave(self):
        """All that the store answers are restarted before the others know of it."""
        fleet = self.fleet(near=5, far=2)
        for number, host in enumerate(fleet.hosts.values()):
            host.leaving = number % 2 == 0
            host.cut_from_store = not host.leaving
            host.is_store_reachable = host.leaving
        staying = [host.peer for host in fleet.hosts.values() if not host.leaving]
        for host in fleet.hosts.values():
            host.view = lambda: staying
        fleet.loop.run_for(CONTACT)
        _, seconds = self.spread(fleet)
        self.assertLess(seconds, SMALL_SITE_BOUND)

    def test_hosts_that_take_each_other_for_a_source_still_ask_the_store(self):
        fleet = self.fleet(near=0, far=2)
        one, other = fleet.hosts.values()
        one.view = lambda: [other.peer]
        other.view = lambda: [one.peer]
        fleet.loop.run_for(3.0)
        _, seconds = self.spread(fleet)
        self.assertLess(seconds, SMALL_SITE_BOUND)

    def test_hosts_that_start_together_read_from_the_store_at_once(self):
        fleet = table_fleet.Fleet(near=31, far=31)
        self.addCleanup(fleet.loop.finish)
        for host in fleet.hosts.values():
            host.view = lambda: []
        fleet.start(size=100)
        started_at = 1000.0  # seconds of virtual time
        self.assertLess(fleet.last_adopted(1) - started_at, 0.5)
