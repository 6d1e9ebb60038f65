"""Requests are served after outages of all hosts, while callers have balance."""

from dogwoodchute.standins import row_store
from dogwoodchute.tests import outage_play, support

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
            play = outage_play.Play(budget=budget, seed=seed)
            self.addCleanup(play.loop.finish)
            began = play.loop.time()
            scenario(play)
            back = play.loop.time()
            self.assertAlmostEqual(seconds, back - began)
            play.serve(RECOVERY + MEASURED, plans=plans)
            shares.append(play.served(back + RECOVERY, back + RECOVERY + MEASURED))
            self.assertLess(play.spent, int(budget * outage_play.DEMAND))
        self.assertGreaterEqual(min(shares), 0.25, shares)

    def lost(self, *, seconds, names=outage_play.HOSTS):
        """Return the most that an outage of `names` loses, in seconds of all use."""
        lost = []
        for seed in SEEDS:
            play = outage_play.Play(budget=BUDGET, seed=seed)
            self.addCleanup(play.loop.finish)
            play.serve(30.0)
            play.outage(seconds, names=names)
            play.loop.run_for(1.0)
            lost.append(play.lost() / outage_play.DEMAND)
        return max(lost)

    def test_an_outage_of_1_s_loses_at_most_2_in_100_of_a_budget(self):
        self.assertLessEqual(self.lost(seconds=1.0), 0.02 * BUDGET)

    def test_a_kill_loses_at_most_what_one_host_uses_in_a_second(self):
        one_host = outage_play.HOSTS[:1]
        hosts = len(outage_play.HOSTS)
        self.assertLessEqual(self.lost(seconds=0.5, names=one_host), 1.0 / hosts)

    def test_tokens_last_through_an_outage_of_5_s(self):
        def scenario(play):
            play.serve(30.0)
            play.outage(5.0)

        self.check(scenario, seconds=30.0 + 5.0 + outage_play.RESTART)

    def test_tokens_last_through_an_outage_beside_a_silent_store(self):
        def scenario(play):
            play.serve(27.0)
            play.fault = row_store.Fault(silent=True)
            play.serve(3.0)
            play.outage(3.0)
            play.fault = row_store.NO_FAULT

        self.check(scenario, seconds=27.0 + 3.0 + 3.0 + outage_play.RESTART)

    def test_tokens_can_be_drawn_from_a_slow_store_after_an_outage(self):
        def scenario(play):
            play.serve(20.0)
            play.fault = row_store.Fault(delay=0.3)
            play.outage(3.0)

        self.check(
            scenario,
            seconds=20.0 + 3.0 + outage_play.RESTART,
            budget_share=SITE_BUDGET_SHARE,
        )

    def test_tokens_last_through_three_outages_of_3_s(self):
        def scenario(play):
            for _ in range(3):
                play.serve(8.0)
                play.outage(3.0)

        seconds = 3 * (8.0 + 3.0 + outage_play.RESTART)
        self.check(scenario, seconds=seconds, budget_share=SITE_BUDGET_SHARE)

    def test_tokens_last_through_three_outages_and_more_prompts(self):
        def scenario(play):
            play.serve(8.0)
            play.outage(4.0)
            play.serve(9.0)
            play.outage(3.0)
            play.serve(6.0, plans=2)
            play.outage(4.0)

        seconds = 8.0 + 9.0 + 6.0 + 4.0 + 3.0 + 4.0 + 3 * outage_play.RESTART
        self.check(scenario, seconds=seconds, budget_share=SITE_BUDGET_SHARE, plans=2)
