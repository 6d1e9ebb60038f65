"""Detection of slow store partitions, with time passed in."""

from dogwoodchute.coordination import checkpoints, store_overload
from dogwoodchute.platform import store
from dogwoodchute.tests import support


class OverloadDetectorTest(support.TestCase):
    def test_a_slow_or_refused_commit_counts_for_a_while(self):
        detector = store_overload.OverloadDetector()
        self.assertEqual(0.0, detector.slow_commit_seconds(100.0))
        detector.record_commit(0.7, 100.0)
        self.assertEqual(
            0.7, detector.slow_commit_seconds(100.0 + store_overload.MEMORY - 0.1)
        )
        self.assertEqual(
            0.0, detector.slow_commit_seconds(100.0 + store_overload.MEMORY)
        )
        detector.record_refusal(200.0)
        self.assertGreaterEqual(
            detector.slow_commit_seconds(201.0), store_overload.SLOW_COMMIT
        )

    def test_a_quick_commit_ends_it_at_once(self):
        detector = store_overload.OverloadDetector()
        detector.record_refusal(100.0)
        detector.record_commit(0.03, 101.0)
        self.assertEqual(0.0, detector.slow_commit_seconds(101.0))

    def test_hosts_together_leave_room_at_a_slow_part(self):
        for hosts in (2, 7, 16, 62):
            for seconds in (0.3, 1.0):
                rates = checkpoints.rates_of_slow_store(checkpoints.Rates(), seconds)
                pause = checkpoints.commit_interval(
                    checkpoints.OWN_COMMITS, writers=hosts, rates=rates
                )
                self.assertLess(hosts / pause * seconds, 0.5)
        usual = checkpoints.Rates()
        self.assertEqual(usual, checkpoints.rates_of_slow_store(usual, 0.0))

    def test_a_commit_may_wait_for_its_turn_at_a_slow_store(self):
        self.assertEqual(store.CALL_TIMEOUT, store.commit_timeout(0.0))
        # A second of other hosts' commits in the queue, this one, and the round trip.
        self.assertGreater(store.commit_timeout(0.24), 1.0 + 0.3 + 0.24)
        self.assertEqual(store.commit_timeout(0.5), store.commit_timeout(9.0))
