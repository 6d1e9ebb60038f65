"""Prepaid budgets beside a store that comes back from a copy some seconds old."""

import json

from dogwoodchute.gateway.accounts import account_rows, reservations
from dogwoodchute.standins import row_store
from dogwoodchute.tests import support, test_accounts

AWAY = 2.0  # seconds for which the store is away
NAMES = "abc"


class RestoredAccountsTest(support.TestCase):
    def fleet(self, *, prepaid):
        fleet = test_accounts.Fleet(NAMES, prepaid=prepaid, era=1)
        self.addCleanup(fleet.loop.finish)
        return fleet

    def use(self, fleet, tokens, *, requests, hosts=NAMES, pause=0.1):
        """Let some hosts in turn use tokens; return those that requests used."""
        used = 0
        for number in range(requests):
            host = hosts[number % len(hosts)]
            outcome = fleet.reserve(host, tokens)
            if isinstance(outcome, reservations.Reserved):
                used += tokens
                bill = account_rows.Bill(f"{fleet.loop.time():.3f}", tokens, 0)
                fleet.hosts[host].settle("ann", tokens, bill)
            fleet.loop.run_for(pause)
        return used

    def restore(self, fleet, copy):
        fleet.fault = row_store.Fault(status=503)
        fleet.loop.run_for(AWAY)
        fleet.store.restore(copy)
        fleet.fault = row_store.NO_FAULT

    def fleet_without_main_holder(self):
        """Let one host draw most since the copy and die before the store is restored.

        Another host has seen the account's row since. Returns the tokens used, too.
        """
        fleet = self.fleet(prepaid=60_000)
        used = self.use(fleet, 500, requests=6)
        copy = fleet.store.copy()
        used += self.use(fleet, 500, requests=90, hosts="a")
        used += self.use(fleet, 500, requests=3, hosts="b")
        fleet.kill("a")
        self.restore(fleet, copy)
        return fleet, used

    def billed(self, fleet):
        """Return how often each request is billed."""
        part = account_rows.part_of("ann")
        found = fleet.store.read(account_rows.BILLS, part, None, None).rows
        return sorted(bill[0] for row in found for bill in json.loads(row.value))

    def test_tokens_that_were_drawn_since_the_copy_are_not_drawn_again(self):
        fleet = self.fleet(prepaid=60_000)
        used = self.use(fleet, 500, requests=6)
        copy = fleet.store.copy()
        used += self.use(fleet, 500, requests=90, hosts="a")
        self.restore(fleet, copy)
        used += self.use(fleet, 2_000, requests=30, hosts="bc", pause=0.0)
        used += self.use(fleet, 500, requests=60, hosts="bc")
        self.assertLessEqual(used, 60_000)
        self.assertGreater(used, 0.9 * 60_000)

    def test_what_a_host_drew_that_died_before_it_could_say_so_is_not_drawn_again(self):
        fleet, used = self.fleet_without_main_holder()
        used += self.use(fleet, 2_000, requests=30, hosts="bc", pause=0.0)
        used += self.use(fleet, 500, requests=60, hosts="bc")
        self.assertLessEqual(used, 60_000)

    def test_a_host_that_starts_after_the_restore_knows_of_what_was_drawn(self):
        fleet, used = self.fleet_without_main_holder()
        fleet.loop.run_for(5.0)
        fleet.start("d")
        used += self.use(fleet, 2_000, requests=30, hosts="d", pause=0.0)
        used += self.use(fleet, 500, requests=60, hosts="bcd")
        self.assertLessEqual(used, 60_000)

    def test_a_host_without_the_account_draws_nothing_before_others_have_stated(self):
        fleet = self.fleet(prepaid=60_000)
        used = self.use(fleet, 500, requests=6, hosts="a")
        copy = fleet.store.copy()
        used += self.use(fleet, 500, requests=90, hosts="a")
        self.restore(fleet, copy)
        fleet.loop.run_for(0.01)
        used += self.use(fleet, 2_000, requests=30, hosts="c", pause=0.0)
        used += self.use(fleet, 500, requests=60, hosts="abc")
        self.assertLessEqual(used, 60_000)

    def test_a_first_draw_that_the_copy_lacks_is_stated_again(self):
        fleet = self.fleet(prepaid=60_000)
        copy = fleet.store.copy()
        used = self.use(fleet, 500, requests=60)
        self.restore(fleet, copy)
        used += self.use(fleet, 500, requests=120)
        self.assertLessEqual(used, 60_000)
        self.assertGreater(used, 0.9 * 60_000)

    def test_hosts_go_on_drawing_after_a_restore(self):
        fleet = self.fleet(prepaid=10_000_000)
        self.use(fleet, 500, requests=6)
        copy = fleet.store.copy()
        self.use(fleet, 500, requests=30)
        self.restore(fleet, copy)
        self.assertEqual(500 * 300, self.use(fleet, 500, requests=300))

    def test_what_all_holders_hold_is_drawn_after_a_restore(self):
        fleet = self.fleet(prepaid=10_000_000)
        self.use(fleet, 500, requests=6)
        copy = fleet.store.copy()
        self.use(fleet, 500, requests=30)
        drawn = fleet.drawn()
        self.restore(fleet, copy)
        self.assertLess(fleet.drawn(), drawn)
        fleet.loop.run_for(2.0)
        part = account_rows.part_of("ann")
        found = fleet.store.read(account_rows.HOLDINGS, part, None, None).rows
        granted = sum(account_rows.decode_holding(row.value).granted for row in found)
        self.assertEqual(granted, fleet.drawn())

    def test_bills_that_the_copy_lacks_are_written_again_once(self):
        fleet = self.fleet(prepaid=10_000_000)
        self.use(fleet, 500, requests=6)
        copy = fleet.store.copy()
        self.use(fleet, 500, requests=60)
        self.restore(fleet, copy)
        self.use(fleet, 500, requests=6)
        for host in fleet.hosts.values():
            fleet.loop.run_until_complete(host.flush())
        billed = self.billed(fleet)
        self.assertEqual(72, len(billed))
        self.assertEqual(billed, sorted(set(billed)))
