"""How many tokens hosts draw and return."""

import hypothesis
from hypothesis import strategies as st

from dogwoodchute.coordination import grants, sizing
from dogwoodchute.tests import support

TOKENS = st.integers(0, 10**9)
RATES = st.floats(0, 1e6)


class DemandTest(support.TestCase):
    def test_steady_use_converges_to_its_rate(self):
        demand = sizing.Demand(window=60)
        for second in range(600):
            demand.record_use(float(second), 50)
        self.assertAlmostEqual(50, demand.rate(599.5), delta=1)

    def test_rate_decays_and_idle_counts(self):
        demand = sizing.Demand(window=60)
        self.assertEqual(float("inf"), demand.idle_seconds(5))
        demand.record_use(0, 600)
        self.assertAlmostEqual(10 / 2.718281828, demand.rate(60), places=5)
        self.assertEqual(60, demand.idle_seconds(60))


class SizeTest(support.TestCase):
    @support.fuzz_settings(300)
    @hypothesis.given(
        paid=TOKENS, drawn=TOKENS, needed=st.integers(1, 10**6), rate=RATES
    )
    def test_a_draw_covers_the_need_within_the_budget(self, paid, drawn, needed, rate):
        balance = grants.Balance(paid, min(paid, drawn))
        remaining = balance.paid - balance.drawn
        size = sizing.draw_size(
            balance=balance, needed=needed, rate=rate, horizon=30, share=0.1
        )
        if needed > remaining:
            self.assertEqual(0, size)
            return
        self.assertTrue(needed <= size <= remaining)
        self.assertTrue(size <= max(needed, remaining * 0.1))

    def test_a_draw_follows_demand_and_becomes_exact(self):
        sizes = []
        for remaining in (1_000_000, 20_000, 900):
            sizes.append(
                sizing.draw_size(
                    balance=grants.Balance(remaining, 0),
                    needed=500,
                    rate=100,
                    horizon=30,
                    share=0.1,
                )
            )
        self.assertEqual([3_500, 2_000, 500], sizes)

    def test_refills_one_after_the_other_leave_the_budget_to_others(self):
        """Repeated draws of a share of the remaining budget once emptied it."""
        drawn = available = 0
        for _ in range(100):
            size = sizing.refill_size(
                balance=grants.Balance(1_000_000, drawn),
                available=available,
                reserved=0,
                rate=50_000,
                horizon=14,
                share=0.05,
            )
            drawn += size
            available += size
        self.assertEqual(50_000, drawn)

    @support.fuzz_settings(300)
    @hypothesis.given(
        available=TOKENS, reserved=TOKENS, rate=RATES, idle=st.floats(0, 1e4)
    )
    def test_a_return_stays_within_what_is_available(
        self, available, reserved, rate, idle
    ):
        size = sizing.return_size(
            available=available, reserved=reserved, rate=rate, horizon=30, idle=idle
        )
        self.assertTrue(0 <= size <= available)

    def test_idle_tokens_go_back_and_busy_ones_stay(self):
        args = {"available": 5_000, "horizon": 30}
        idle = sizing.return_size(reserved=0, rate=0.1, idle=61, **args)
        self.assertEqual(5_000, idle)
        surplus = sizing.return_size(reserved=0, rate=50, idle=1, **args)
        self.assertEqual(3_500, surplus)
        busy = sizing.return_size(reserved=0, rate=100, idle=1, **args)
        self.assertEqual(0, busy)
