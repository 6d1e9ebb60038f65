"""The users' targets, held in the queueing model with fixed seeds."""

from bench import load, load_engine, load_model
from dogwoodchute.tests import support

STORM_OVER = 10.0  # seconds after its cause
LEAVING = 3.0  # seconds
GOODPUT_KEPT = 0.95  # at three times the capacity, of that at capacity


class TargetsTest(support.TestCase):
    def goodput_kept(self, policy):
        at = {
            share: load.steady(load_model.Setup(load=share, seconds=40, policy=policy))
            for share in (1.0, 3.0)
        }
        return at[3.0]["goodput"] / at[1.0]["goodput"]

    def test_goodput_is_kept_at_three_times_the_capacity(self):
        self.assertGreaterEqual(self.goodput_kept("full"), GOODPUT_KEPT)

    def test_the_same_check_fails_without_a_limit(self):
        self.assertLess(self.goodput_kept("round_robin"), GOODPUT_KEPT)

    def test_latency_targets_at_nine_tenths_of_the_capacity(self):
        found = load.steady(load_model.Setup(load=0.9, seconds=40))
        self.assertLessEqual(found["first_token_p95"], load_engine.FIRST_TOKEN)
        self.assertLessEqual(found["token_gap_p95"], load_engine.TOKEN_GAP)
        self.assertEqual(0, found["ejections"])

    def test_retry_storm_ends_soon_after_its_cause(self):
        found = load.storm("full")
        self.assertGreater(found["peak_tries"], 5.0, "there was no storm")
        self.assertLessEqual(found["recovery_seconds"], STORM_OVER)
        self.assertGreater(load.storm("round_robin")["recovery_seconds"], STORM_OVER)

    def test_slow_engine_sheds_its_load(self):
        self.assertLessEqual(load.slow("full")["seconds_to_shed"], 3.0)

    def test_leaving_engine_gets_nothing_new(self):
        self.assertLessEqual(load.leaving(), LEAVING)
