"""The users' targets for load, checked in the queueing model with fixed seeds."""

from bench import load, load_engine, load_model
from dogwoodchute.tests import support

STORM_RECOVERY = 10.0  # seconds after the cause of the retry storm has ended
LEAVING = 3.0  # seconds until a leaving engine gets no new requests
MIN_GOODPUT_SHARE = 0.95  # at three times the capacity, of the goodput at capacity


class TargetsTest(support.TestCase):
    def goodput_share(self, policy):
        by_load = {
            factor: load.steady(
                load_model.Setup(load=factor, seconds=40, policy=policy)
            )
            for factor in (1.0, 3.0)
        }
        return by_load[3.0]["goodput"] / by_load[1.0]["goodput"]

    def test_goodput_is_kept_at_three_times_the_capacity(self):
        self.assertGreaterEqual(self.goodput_share("full"), MIN_GOODPUT_SHARE)

    def test_the_same_check_fails_without_a_limit(self):
        self.assertLess(self.goodput_share("round_robin"), MIN_GOODPUT_SHARE)

    def test_latency_targets_at_nine_tenths_of_the_capacity(self):
        figures = load.steady(load_model.Setup(load=0.9, seconds=40))
        self.assertLessEqual(figures["first_token_p95"], load_engine.FIRST_TOKEN)
        self.assertLessEqual(figures["token_gap_p95"], load_engine.TOKEN_GAP)
        self.assertEqual(0, figures["ejections"])

    def test_retry_storm_ends_soon_after_its_cause(self):
        figures = load.storm("full")
        self.assertGreater(figures["peak_tries"], 5.0, "there was no storm")
        self.assertLessEqual(figures["recovery_seconds"], STORM_RECOVERY)
        self.assertGreater(
            load.storm("round_robin")["recovery_seconds"], STORM_RECOVERY
        )

    def test_slow_engine_sheds_its_load(self):
        self.assertLessEqual(load.slow("full")["seconds_to_shed"], 3.0)

    def test_leaving_engine_gets_nothing_new(self):
        self.assertLessEqual(load.leaving(), LEAVING)
