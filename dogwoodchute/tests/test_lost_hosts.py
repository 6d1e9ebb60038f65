"""Tokens of hosts that are lost for good, and of hosts that only look lost."""

from dogwoodchute.coordination import escrow, witnesses
from dogwoodchute.gateway.accounts import reservations
from dogwoodchute.standins import row_store
from dogwoodchute.tests import lost_fleet, support

PREPAID = 2_000_000
SOME_USE = 20.0  # seconds, after which each host has drawn many seconds of its use
OWED_SHARE = 0.97  # of the prepaid total, into which a request that is owed fits
NAMES = ("a", "b", "c")


class LostTest(support.TestCase):
    """Review case 3: a lost host's tokens never came back."""

    def fleet(self, names=NAMES, **options):
        fleet = lost_fleet.LostFleet(names, prepaid=PREPAID, **options)
        self.addCleanup(fleet.loop.finish)
        return fleet

    def test_what_a_lost_host_drew_serves_the_others(self):
        fleet = self.fleet()
        fleet.serve(SOME_USE)
        fleet.hosts["a"].kill()
        held = fleet.holding("a")
        self.assertGreater(held.granted - held.limit, 10_000)
        fleet.lose("a")
        self.assertEqual(held.limit, fleet.holding("a").granted)
        fleet.serve(60.0, names=["b", "c"], tokens=4_000)
        self.assertGreaterEqual(fleet.used(), OWED_SHARE * PREPAID)
        self.assertLessEqual(fleet.used(), PREPAID)

    def test_no_request_is_refused_for_good_while_its_tokens_may_return(self):
        fleet = self.fleet()
        fleet.serve(SOME_USE)
        fleet.hosts["a"].kill()
        fleet.down.add(fleet.hosts["a"].id)
        # The others use up all that they can reach before the tokens return.
        outcomes = fleet.serve(8.0, names=["b", "c"], tokens=25_000)
        refused = [each for each in outcomes if not is_reserved(each)]
        self.assertTrue(refused)
        self.assertEqual(
            [], [each for each in refused if isinstance(each, reservations.Exhausted)]
        )
        fleet.loop.run_for(witnesses.CONTACT_WINDOW)
        fleet.serve(8.0, names=["b", "c"])
        outcome = fleet.serve(1.0, names=["b"], tokens=100_000)[-1]
        self.assertIsInstance(outcome, reservations.Exhausted)

    def test_the_tokens_of_two_lost_hosts_of_five_return(self):
        fleet = self.fleet("abcde")
        fleet.serve(SOME_USE)
        for name in "ab":
            fleet.hosts[name].kill()
            fleet.down.add(fleet.hosts[name].id)
        fleet.loop.run_for(40.0)
        for name in "ab":
            held = fleet.holding(name)
            # Of three witnesses one may be the other lost host.
            self.assertEqual(held.limit, held.granted)

    def test_the_tokens_of_a_lone_host_stay(self):
        fleet = self.fleet("ab")
        fleet.serve(SOME_USE)
        fleet.hosts["a"].kill()
        fleet.hosts["b"].kill()
        held = fleet.holding("a")
        fleet.loop.run_for(60.0)
        self.assertEqual(held, fleet.holding("a"))


class LooksLostTest(support.TestCase):
    """BUDGET holds for a host that only looks lost, and wakes up with tokens."""

    def fleet(self, names=NAMES, **options):
        fleet = lost_fleet.LostFleet(names, prepaid=PREPAID, **options)
        self.addCleanup(fleet.loop.finish)
        return fleet

    def use_up(self, fleet, name):
        """Use all that a host, back in touch, and the others let requests use."""
        host = fleet.hosts[name]
        fleet.drain(name)
        for _ in range(20):
            fleet.serve(2.0, tokens=20_000)
            fleet.drain(name)
        self.assertIsInstance(
            fleet.serve(0.2, tokens=20_000)[-1], reservations.Exhausted
        )
        self.assertLessEqual(fleet.used(), PREPAID)
        return host

    def test_a_frozen_host_uses_nothing_that_was_returned(self):
        for seconds in (1.0, 5.0, 30.0, 3600.0):
            fleet = self.fleet()
            fleet.serve(SOME_USE)
            host = fleet.hosts["a"]
            host.freeze()
            fleet.loop.run_for(0.1)  # for a commit that is under way
            held = fleet.holding("a")
            fleet.down.add(host.id)
            fleet.loop.run_for(seconds)
            fleet.serve(30.0, names=["b", "c"], tokens=10_000)
            # The first requests come before it has heard of the store.
            host.reaches_store = False
            host.wake()
            fleet.drain("a")
            self.assertLessEqual(host.used, held.limit)
            host.reaches_store = True
            fleet.down.clear()
            self.use_up(fleet, "a")

    def test_a_host_cut_off_from_store_and_hosts_keeps_to_its_limit(self):
        fleet = self.fleet()
        fleet.serve(SOME_USE)
        host = fleet.hosts["a"]
        host.reaches_store = host.reaches_hosts = False
        fleet.loop.run_for(0.1)  # for a commit that is under way
        held = fleet.holding("a")
        for _ in range(10):
            fleet.drain("a")
            fleet.loop.run_for(2.0)
        self.assertLessEqual(host.used, held.limit)
        fleet.lose("a")
        self.assertEqual(fleet.holding("a").limit, fleet.holding("a").granted)
        # Now the whole fleet loses the store, and the host finds the others again: they
        # must not confirm a commit that they have denied.
        fleet.store_answers = False
        host.reaches_hosts = True
        fleet.loop.run_for(escrow.WRITE_AHEAD + escrow.RAMP + 2.0)
        fleet.drain("a")
        self.assertLessEqual(host.used, held.limit)
        fleet.store_answers = host.reaches_store = True
        fleet.down.clear()
        self.use_up(fleet, "a")

    def test_a_host_cut_off_from_the_store_alone_keeps_to_its_limit(self):
        fleet = self.fleet()
        fleet.serve(SOME_USE)
        host = fleet.hosts["a"]
        host.reaches_store = False
        fleet.loop.run_for(0.1)  # for a commit that is under way
        held = fleet.holding("a")
        for _ in range(10):
            fleet.drain("a")
            fleet.loop.run_for(2.0)
        # Other hosts give it tokens, which are their own.
        self.assertGreater(host.used, held.limit)
        fleet.lose("a")
        host.reaches_store = True
        fleet.down.clear()
        self.use_up(fleet, "a")

    def test_hosts_use_what_they_drew_while_the_store_is_away_for_all(self):
        fleet = self.fleet()
        fleet.serve(SOME_USE)
        fleet.store_answers = False
        outcomes = fleet.serve(8.0)
        served = sum(map(is_reserved, outcomes)) / len(outcomes)
        self.assertGreater(served, 0.9)
        fleet.store_answers = True
        self.use_up(fleet, "a")

    def test_what_a_host_may_have_used_in_an_outage_is_not_returned(self):
        fleet = self.fleet()
        fleet.serve(SOME_USE)
        fleet.store_answers = False
        fleet.loop.run_for(escrow.WRITE_AHEAD + escrow.RAMP + 2.0)
        host = fleet.hosts["a"]
        host.freeze()
        held = fleet.holding("a")
        fleet.store_answers = True
        fleet.lose("a")
        self.assertEqual(held, fleet.holding("a"))
        fleet.serve(30.0, names=["b", "c"], tokens=10_000)
        host.reaches_store = False
        host.wake()
        self.assertGreater(fleet.drain("a"), held.limit - held.spent)
        host.reaches_store = True
        fleet.down.clear()
        self.use_up(fleet, "a")

    def test_two_hosts_cut_off_together_use_what_they_drew_and_keep_it(self):
        fleet = self.fleet()
        fleet.serve(SOME_USE)
        for name in "ab":
            fleet.hosts[name].reaches_store = False
        fleet.loop.run_for(escrow.WRITE_AHEAD + escrow.RAMP + 2.0)
        held = fleet.holding("a")
        self.assertGreater(fleet.drain("a"), held.limit - held.spent)
        fleet.lose("a")
        fleet.lose("b")
        self.assertEqual(held, fleet.holding("a"))
        for name in "ab":
            fleet.hosts[name].reaches_store = True
        fleet.down.clear()
        self.use_up(fleet, "a")

    def test_a_commit_that_applies_late_takes_nothing_back(self):
        for late in (0.5, 6.0, 25.0):
            fleet = self.fleet()
            fleet.serve(SOME_USE)
            host = fleet.hosts["a"]
            host.fault = row_store.Fault(apply_after=late)
            fleet.serve(1.0, names=["a"])
            host.freeze()
            fleet.lose("a")
            fleet.serve(20.0, names=["b", "c"], tokens=10_000)
            host.fault = row_store.NO_FAULT
            host.wake()
            fleet.down.clear()
            self.use_up(fleet, "a")

    def test_clocks_that_differ_change_nothing(self):
        offsets = {"a": 5_000.0, "b": -300.0}
        fleet = self.fleet(clock_offsets=offsets)
        fleet.serve(SOME_USE)
        host = fleet.hosts["a"]
        host.freeze()
        fleet.loop.run_for(0.1)  # for a commit that is under way
        held = fleet.holding("a")
        fleet.lose("a")
        self.assertEqual(held.limit, fleet.holding("a").granted)
        host.wake()
        fleet.down.clear()
        self.use_up(fleet, "a")

    def test_a_host_learns_that_its_tokens_were_returned_and_goes_on(self):
        fleet = self.fleet()
        fleet.serve(SOME_USE)
        host = fleet.hosts["a"]
        host.freeze()
        fleet.lose("a")
        host.wake()
        fleet.down.clear()
        outcomes = fleet.serve(5.0, names=["a"])
        self.assertTrue(all(map(is_reserved, outcomes)))
        self.use_up(fleet, "a")


def is_reserved(outcome):
    return isinstance(outcome, reservations.Reserved)
