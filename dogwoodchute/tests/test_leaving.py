"""Which endpoints are leaving, by the signals of several sources."""

from dogwoodchute.coordination import leaving
from dogwoodchute.tests import support


class LeavingTest(support.TestCase):
    def listed(self, state, revision, now=0.0, **flags):
        return state.take_list(revision, flags, ["one", "two"], now)

    def test_a_leaving_flag_counts_and_its_end_clears_it(self):
        state = leaving.Leaving()
        self.assertEqual(["one"], self.listed(state, 1, one=True, two=False))
        self.assertTrue(state.is_leaving("one"))
        self.assertFalse(state.is_leaving("two"))
        self.listed(state, 2, one=False, two=False)
        self.assertFalse(state.is_leaving("one"))

    def test_an_entry_that_vanishes_has_left(self):
        state = leaving.Leaving()
        self.listed(state, 1, one=False)
        self.assertEqual(["one"], self.listed(state, 2))
        self.assertFalse(state.is_leaving("two"), "it was never listed")

    def test_an_older_list_changes_nothing(self):
        state = leaving.Leaving()
        self.listed(state, 5, one=True)
        self.listed(state, 4, one=False)
        self.assertTrue(state.is_leaving("one"))

    def test_a_live_list_does_not_undo_the_endpoint_s_own_word(self):
        state = leaving.Leaving()
        state.mark("one", leaving.ENDPOINT, 10.0)
        self.listed(state, 1, now=11.0, one=False)
        state.expire(10.0 + leaving.HOLD - 1)
        self.assertTrue(state.is_leaving("one"))
        state.expire(10.0 + leaving.HOLD)
        self.assertFalse(state.is_leaving("one"))

    def test_a_lagging_report_does_not_undo_it_and_a_later_one_does(self):
        state = leaving.Leaving()
        state.mark("one", leaving.ENDPOINT, 10.0)
        state.recant("one", 10.0 + leaving.SETTLE)
        self.assertTrue(state.is_leaving("one"))
        state.recant("one", 10.1 + leaving.SETTLE)
        self.assertFalse(state.is_leaving("one"))

    def test_each_signal_must_clear(self):
        state = leaving.Leaving()
        self.listed(state, 1, one=True)
        state.mark("one", leaving.ENDPOINT, 0.0)
        state.recant("one", 100.0)
        self.assertEqual([leaving.HOST_LIST], state.signals("one"))
        self.listed(state, 2, one=False)
        self.assertFalse(state.is_leaving("one"))
