"""Requests are served after outages of all hosts, while callers have balance."""

from dogwoodchute.standins import row_store
from dogwoodchute.tests import outage_simulation, support

BUDGET_SHARE = 1.1  # a budget, in uses of the whole scenario including its outages
SITE_BUDGET_SHARE = 1.3  # the same on the users' sites
BUDGET = 60.0  # seconds of use; budgets of the users' sites cover about a day
RECOVERY = 12.0  # seconds after the hosts' return, before service is measured
MEASURED = 5.0  # seconds
SEEDS = range(6)


class OutageTest(support.TestCase):
    def check(self, scenario, *, seconds, budget_share=BUDGET_SHARE, plans=1):
        """Run a scenario; check that at least a quarter of requests is served after it.

        It takes `seconds` and ends when all hosts have returned.
        """
        budget = budget_share * (seconds + RECOVERY + MEASURED)
        shares = []
        for seed in SEEDS:
            simulation = outage_simulation.Simulation(budget=budget, seed=seed)
            self.addCleanup(simulation.loop.finish)
            began = simulation.loop.time()
            scenario(simulation)
            back = simulation.loop.time()
            self.assertAlmostEqual(seconds, back - began)
            simulation.serve(RECOVERY + MEASURED, plans=plans)
            shares.append(
                simulation.served(back + RECOVERY, back + RECOVERY + MEASURED)
            )
            self.assertLess(simulation.spent, int(budget * outage_simulation.DEMAND))
        self.assertGreaterEqual(min(shares), 0.25, shares)

    def lost(self, *, seconds, hosts=outage_simulation.HOSTS):
        """Return the most that an outage of `hosts` loses, in seconds of all use."""
        lost = []
        for seed in SEEDS:
            simulation = outage_simulation.Simulation(budget=BUDGET, seed=seed)
            self.addCleanup(simulation.loop.finish)
            simulation.serve(30.0)
            simulation.outage(seconds, hosts=hosts)
            simulation.loop.run_for(1.0)
            lost.append(simulation.lost() / outage_simulation.DEMAND)
        return max(lost)

    def test_an_outage_of_1_s_loses_at_most_2_in_100_of_a_budget(self):
        self.assertLessEqual(self.lost(seconds=1.0), 0.02 * BUDGET)

    def test_a_kill_loses_at_most_what_one_host_uses_in_a_second(self):
        one_host = outage_simulation.HOSTS[:1]
        host_count = len(outage_simulation.HOSTS)
        self.assertLessEqual(self.lost(seconds=0.5, hosts=one_host), 1.0 / host_count)

    def test_tokens_last_through_an_outage_of_5_s(self):
        def scenario(simulation):
            simulation.serve(30.0)
            simulation.outage(5.0)

        self.check(scenario, seconds=30.0 + 5.0 + outage_simulation.RESTART)

    def test_tokens_last_through_an_outage_beside_a_silent_store(self):
        def scenario(simulation):
            simulation.serve(27.0)
            simulation.fault = row_store.Fault(silent=True)
            simulation.serve(3.0)
            simulation.outage(3.0)
            simulation.fault = row_store.NO_FAULT

        self.check(scenario, seconds=27.0 + 3.0 + 3.0 + outage_simulation.RESTART)

    def test_tokens_can_be_drawn_from_a_slow_store_after_an_outage(self):
        def scenario(simulation):
            simulation.serve(20.0)
            simulation.fault = row_store.Fault(delay=0.3)
            simulation.outage(3.0)

        self.check(
            scenario,
            seconds=20.0 + 3.0 + outage_simulation.RESTART,
            budget_share=SITE_BUDGET_SHARE,
        )

    def test_tokens_last_through_three_outages_of_3_s(self):
        def scenario(simulation):
            for _ in range(3):
                simulation.serve(8.0)
                simulation.outage(3.0)

        seconds = 3 * (8.0 + 3.0 + outage_simulation.RESTART)
        self.check(scenario, seconds=seconds, budget_share=SITE_BUDGET_SHARE)

    def test_tokens_last_through_three_outages_and_more_prompts(self):
        def scenario(simulation):
            simulation.serve(8.0)
            simulation.outage(4.0)
            simulation.serve(9.0)
            simulation.outage(3.0)
            simulation.serve(6.0, plans=2)
            simulation.outage(4.0)

        seconds = 8.0 + 9.0 + 6.0 + 4.0 + 3.0 + 4.0 + 3 * outage_simulation.RESTART
        self.check(scenario, seconds=seconds, budget_share=SITE_BUDGET_SHARE, plans=2)
