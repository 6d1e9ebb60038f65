"""Recalls of tokens from other hosts, and refills of grants in advance."""

from dogwoodchute import outcomes
from dogwoodchute.coordination import grants, rows
from dogwoodchute.tests import money_fleet, support, virtual

PAID = money_fleet.ACCOUNTS["growers"]


class FleetCase(support.TestCase):
    def setUp(self):
        super().setUp()
        loop = virtual.Loop()
        self.fleet = money_fleet.Fleet(seed=1, loop=loop)
        loop.run_until_complete(self.fleet.start())
        loop.run_for(2.0)
        self.addCleanup(loop.finish)
        self.loop = loop

    def ask(self, name, key, **fields):
        """Send a request and return its outcome."""
        attempt = self.fleet.ask(name, account="growers", key=key, **fields)
        self.loop.run_for(10.0)
        self.assertEqual([], self.fleet.errors)
        return attempt.outcome

    def available(self, name):
        return self.fleet.hosts[name].grants.ledger("growers").available

    def balance(self):
        row = self.fleet.table.rows[rows.budget("growers")]
        return grants.balance_of(row.value)


class RecallTest(FleetCase):
    def spread_budget(self):
        """Have each host hold a part of the budget, of which 30 tokens are used."""
        for name in money_fleet.PLACES:
            self.ask(name, f"first-{name}", reserved=40, tokens=10)
        self.assertTrue(all(self.available(name) > 0 for name in money_fleet.PLACES))

    def test_scattered_tokens_cover_a_request_together(self):
        self.spread_budget()
        outcome = self.ask("h1", "large", reserved=PAID - 30, tokens=PAID - 30)
        self.assertIsInstance(outcome, outcomes.Answered)
        self.assertEqual(PAID, self.balance().drawn)

    def test_a_request_beyond_the_budget_gets_budget_spent(self):
        self.spread_budget()
        outcome = self.ask("h1", "large", reserved=PAID - 29)
        self.assertEqual(("not_run", "budget_spent"), self.label(outcome))

    def test_what_a_cut_off_peer_holds_stays_out_of_reach(self):
        self.spread_budget()
        self.fleet.net.cut.add(frozenset(("h1", "h2")))
        outcome = self.ask("h1", "large", reserved=PAID - 30)
        self.assertEqual(("not_run", "budget_out_of_reach"), self.label(outcome))
        self.assertTrue(self.available("h2") > 0)

    def label(self, outcome):
        return outcomes.label(outcome), outcome.code


class RefillTest(FleetCase):
    def test_a_busy_host_draws_in_advance_unless_tokens_are_scarce(self):
        self.fleet.top_up("h1", "growers", "large", 10_000_000)
        self.loop.run_for(2.0)
        for number in range(20):
            self.ask("h1", f"k-{number}", reserved=2000, tokens=1000)
        grant_controller = self.fleet.hosts["h1"].grants
        rate = grant_controller.account("growers").demand.rate(self.loop.time())
        horizon = self.fleet.hosts["h1"].state.config.budget.horizon
        self.assertTrue(self.available("h1") >= rate * horizon / 2)
        before = self.balance().drawn
        grant_controller.mark_scarce("growers")
        self.loop.run_until_complete(grant_controller.return_available("growers"))
        self.loop.run_for(30.0)
        self.assertEqual(0, self.available("h1"))
        self.loop.run_for(60.0)
        self.assertTrue(0 < self.balance().drawn <= before)
        self.assertTrue(self.available("h1") > 0)
