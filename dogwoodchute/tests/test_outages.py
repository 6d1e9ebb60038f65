"""Service after outages of all hosts, as long as callers have balance left."""

from dogwoodchute.standins import row_store
from dogwoodchute.tests import outage_play, support

SPARE = 1.1  # a budget against the use of the whole play, its outages included
PREPAID = 1.3  # the same on the users' sites
BUDGET = 60.0  # seconds of use, about a day's on the users' sites
RECOVERY = 12.0  # seconds after a return, from which service is judged
JUDGED = 5.0  # seconds
SEEDS = range(6)


class OutageTest(support.TestCase):
    def check(self, story, *, seconds, spare=SPARE, plans=1):
        """Play a story that ends with a return; at least a quarter is served after it.

        The story takes so many seconds.
        """
        budget = spare * (seconds + RECOVERY + JUDGED)
        shares = []
        for seed in SEEDS:
            play = outage_play.Play(budget=budget, seed=seed)
            self.addCleanup(play.loop.finish)
            began = play.loop.time()
            story(play)
            back = play.loop.time()
            self.assertAlmostEqual(seconds, back - began)
            play.serve(RECOVERY + JUDGED, plans=plans)
            shares.append(play.served(back + RECOVERY, back + RECOVERY + JUDGED))
            self.assertLess(play.spent, int(budget * outage_play.DEMAND))
        self.assertGreaterEqual(min(shares), 0.25, shares)

    def lost(self, *, seconds, names=outage_play.HOSTS):
        """Return what an outage of `names` loses at the most, in seconds of all use."""
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
        one = outage_play.HOSTS[:1]
        hosts = len(outage_play.HOSTS)
        self.assertLessEqual(self.lost(seconds=0.5, names=one), 1.0 / hosts)

    def test_tokens_last_through_an_outage_of_5_s(self):
        def story(play):
            play.serve(30.0)
            play.outage(5.0)

        self.check(story, seconds=30.0 + 5.0 + outage_play.RESTART)

    def test_tokens_last_through_an_outage_beside_a_silent_store(self):
        def story(play):
            play.serve(27.0)
            play.fault = row_store.Fault(silent=True)
            play.serve(3.0)
            play.outage(3.0)
            play.fault = row_store.NO_FAULT

        self.check(story, seconds=27.0 + 3.0 + 3.0 + outage_play.RESTART)

    def test_tokens_can_be_drawn_from_a_slow_store_after_an_outage(self):
        def story(play):
            play.serve(20.0)
            play.fault = row_store.Fault(delay=0.3)
            play.outage(3.0)

        self.check(story, seconds=20.0 + 3.0 + outage_play.RESTART, spare=PREPAID)

    def test_tokens_last_through_three_outages_of_3_s(self):
        def story(play):
            for _ in range(3):
                play.serve(8.0)
                play.outage(3.0)

        seconds = 3 * (8.0 + 3.0 + outage_play.RESTART)
        self.check(story, seconds=seconds, spare=PREPAID)

    def test_tokens_last_through_three_outages_and_more_prompts(self):
        def story(play):
            play.serve(8.0)
            play.outage(4.0)
            play.serve(9.0)
            play.outage(3.0)
            play.serve(6.0, plans=2)
            play.outage(4.0)

        seconds = 8.0 + 9.0 + 6.0 + 4.0 + 3.0 + 4.0 + 3 * outage_play.RESTART
        self.check(story, seconds=seconds, spare=PREPAID, plans=2)
