"""One host's ledger of a client account's tokens, with time passed in."""

import math

from dogwoodchute.coordination import escrow
from dogwoodchute.gateway.accounts import account_rows
from dogwoodchute.tests import support


class LedgerTest(support.TestCase):
    def confirmed(self, *, draw, headroom):
        ledger = escrow.Ledger()
        ledger.begin_commit(draw=draw, headroom=headroom, now=0.0, store_now=0.0)
        ledger.end_commit(applied=True)
        ledger.begin_commit(draw=0, headroom=headroom, now=0.1, store_now=0.1)
        ledger.end_commit(applied=True)
        return ledger

    def test_the_limit_holds_until_the_commit_is_old_and_rises_from_then_on(self):
        ledger = self.confirmed(draw=100, headroom=30)
        self.assertFalse(ledger.reserve(31, 0.2))
        self.assertTrue(ledger.reserve(30, 0.2))
        ramp_start = 0.1 + escrow.WRITE_AHEAD
        self.assertFalse(ledger.reserve(1, ramp_start))
        self.assertFalse(ledger.reserve(36, ramp_start + 0.5 * escrow.RAMP))
        self.assertTrue(ledger.reserve(35, ramp_start + 0.5 * escrow.RAMP))
        self.assertFalse(ledger.reserve(35, ramp_start + 0.99 * escrow.RAMP))
        self.assertTrue(ledger.reserve(35, ramp_start + escrow.RAMP))

    def test_a_limit_rises_by_its_own_commit_and_not_by_a_later_one(self):
        """A pending commit without an answer must not delay the confirmed limit."""
        ledger = self.confirmed(draw=100, headroom=30)
        sent = 0.8 * escrow.WRITE_AHEAD
        ledger.begin_commit(draw=0, headroom=80, now=sent, store_now=sent)
        self.assertFalse(ledger.reserve(31, 0.1 + escrow.WRITE_AHEAD))
        risen = 0.1 + escrow.WRITE_AHEAD + escrow.RAMP * 50 / 70
        self.assertTrue(ledger.reserve(80, risen + 0.01))
        self.assertFalse(ledger.reserve(1, risen + 0.01))

    def test_tokens_may_be_used_when_they_are_said_to_be(self):
        ledger = self.confirmed(draw=100, headroom=30)
        self.assertLessEqual(ledger.usable_at(30), 0.2)
        for tokens in (31, 50, 100):
            at = ledger.usable_at(tokens)
            self.assertLess(ledger.available(at - 0.01), tokens)
            self.assertGreaterEqual(ledger.available(at + 1e-6), tokens)
        self.assertEqual(math.inf, ledger.usable_at(101))

    def test_an_account_s_rate_shortens_the_ramp(self):
        ledger = escrow.Ledger()
        arguments = {"draw": 100, "headroom": 30, "now": 0.0, "store_now": 0.0}
        ledger.begin_commit(**arguments, rate=35)
        ledger.end_commit(applied=True)
        self.assertEqual(30, ledger.available(escrow.WRITE_AHEAD))
        self.assertEqual(65, ledger.available(escrow.WRITE_AHEAD + 1))
        self.assertEqual(100, ledger.available(escrow.WRITE_AHEAD + 2))
        restarted_at = escrow.WRITE_AHEAD + 1
        self.assertEqual(
            35,
            escrow.reclaimable_tokens(
                ledger.confirmed, successor_started_at=restarted_at
            ),
        )

    def test_a_commit_while_the_store_is_away_takes_nothing_back(self):
        ledger = self.confirmed(draw=100, headroom=30)
        mid_ramp = 0.1 + escrow.WRITE_AHEAD + 0.5 * escrow.RAMP
        before = ledger.available(mid_ramp)
        ledger.begin_commit(draw=0, headroom=0, now=mid_ramp, store_now=mid_ramp)
        self.assertEqual(before, ledger.available(mid_ramp))

    def test_what_a_dead_host_can_t_have_used_by_its_restart_comes_back(self):
        ledger = self.confirmed(draw=100, headroom=30)
        holding = ledger.confirmed
        self.assertEqual(
            70, escrow.reclaimable_tokens(holding, successor_started_at=1.0)
        )
        ramp_start = holding.at + escrow.WRITE_AHEAD
        self.assertEqual(
            70, escrow.reclaimable_tokens(holding, successor_started_at=ramp_start)
        )
        mid_ramp = ramp_start + 0.5 * escrow.RAMP
        self.assertEqual(
            35, escrow.reclaimable_tokens(holding, successor_started_at=mid_ramp)
        )
        ramp_end = ramp_start + escrow.RAMP
        self.assertEqual(
            0, escrow.reclaimable_tokens(holding, successor_started_at=ramp_end)
        )

    def test_rows_of_older_hosts_have_no_ramp(self):
        holding = account_rows.decode_holding(b"[100,0,30,1,5.0]")
        ramp_start = holding.at + escrow.WRITE_AHEAD
        self.assertEqual(
            70,
            escrow.reclaimable_tokens(holding, successor_started_at=ramp_start - 0.01),
        )
        self.assertEqual(
            0, escrow.reclaimable_tokens(holding, successor_started_at=ramp_start)
        )

    def test_a_return_counts_from_the_moment_it_is_proposed(self):
        ledger = self.confirmed(draw=100, headroom=100)
        ledger.begin_commit(draw=-60, headroom=100, now=0.2, store_now=0.2)
        self.assertFalse(ledger.reserve(41, 0.2))
        ledger.end_commit(applied=False)
        self.assertTrue(ledger.reserve(41, 0.2))

    def test_no_more_is_returned_than_is_idle(self):
        ledger = self.confirmed(draw=100, headroom=100)
        ledger.reserve(50, 0.2)
        self.assertIsNone(
            ledger.begin_commit(draw=-51, headroom=0, now=0.2, store_now=0.2)
        )
