"""Which endpoints are leaving, by the signals of several sources."""

from dogwoodchute.coordination import leaving
from dogwoodchute.tests import support


class LeavingTest(support.TestCase):
    def listed(self, state, revision, now=0.0, **flags):
        return state.apply_host_list(revision, flags, ["one", "two"], now)

    def test_a_leaving_flag_counts_and_its_end_clears_it(self):
        state = leaving.LeavingEndpoints()
        self.assertEqual(["one"], self.listed(state, 1, one=True, two=False))
        self.assertTrue(state.is_leaving("one"))
        self.assertFalse(state.is_leaving("two"))
        self.listed(state, 2, one=False, two=False)
        self.assertFalse(state.is_leaving("one"))

    def test_an_entry_that_vanishes_has_left(self):
        state = leaving.LeavingEndpoints()
        self.listed(state, 1, one=False)
        self.assertEqual(["one"], self.listed(state, 2))
        self.assertFalse(state.is_leaving("two"), "it was never listed")

    def test_an_older_list_changes_nothing(self):
        state = leaving.LeavingEndpoints()
        self.listed(state, 5, one=True)
        self.listed(state, 4, one=False)
        self.assertTrue(state.is_leaving("one"))

    def test_a_live_list_does_not_undo_the_endpoint_s_own_word(self):
        state = leaving.LeavingEndpoints()
        state.set_signal("one", leaving.ENDPOINT, 10.0)
        self.listed(state, 1, now=11.0, one=False)
        state.expire(10.0 + leaving.SIGNAL_LIFETIME - 1)
        self.assertTrue(state.is_leaving("one"))
        state.expire(10.0 + leaving.SIGNAL_LIFETIME)
        self.assertFalse(state.is_leaving("one"))

    def test_a_lagging_report_does_not_undo_it_and_a_later_one_does(self):
        state = leaving.LeavingEndpoints()
        state.set_signal("one", leaving.ENDPOINT, 10.0)
        state.clear_if_outdated("one", 10.0 + leaving.MAX_REPORT_LAG)
        self.assertTrue(state.is_leaving("one"))
        state.clear_if_outdated("one", 10.1 + leaving.MAX_REPORT_LAG)
        self.assertFalse(state.is_leaving("one"))

    def test_each_signal_must_clear(self):
        state = leaving.LeavingEndpoints()
        self.listed(state, 1, one=True)
        state.set_signal("one", leaving.ENDPOINT, 0.0)
        state.clear_if_outdated("one", 100.0)
        self.assertEqual([leaving.HOST_LIST], state.signals("one"))
        self.listed(state, 2, one=False)
        self.assertFalse(state.is_leaving("one"))
