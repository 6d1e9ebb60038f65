"""The measurement of the event loop's lateness, on a virtual clock."""

from unittest import mock

import prometheus_client

from dogwoodchute import log, loop_watch
from dogwoodchute.tests import support, virtual


class LoopWatchTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = virtual.Loop()
        self.addCleanup(self.loop.finish)
        warning = mock.patch.object(log, "warning")
        self.warning = warning.start()
        self.addCleanup(warning.stop)
        self.loop.create_task(loop_watch.watch(now=self.loop.time))

    def stall(self, seconds):
        """Block the loop, as slow work does."""
        self.loop.call_later(0.1, self.loop.advance, seconds)
        self.loop.run_for(1.0)

    def test_a_loop_in_time_logs_nothing(self):
        self.loop.run_for(5.0)
        self.warning.assert_not_called()

    def test_a_stall_is_logged_once_with_its_length(self):
        self.loop.run_for(0.3)
        # The timer that is due 0.1 s after the stall began runs when it ends.
        self.stall(0.7)
        self.warning.assert_called_once()
        (event,), fields = self.warning.call_args
        self.assertEqual("loop_late", event)
        self.assertAlmostEqual(0.6, float(fields["seconds"]), delta=0.011)

    def test_a_short_delay_is_counted_and_not_logged(self):
        name = "dogwoodchute_loop_late_seconds_sum"
        before = prometheus_client.REGISTRY.get_sample_value(name)
        self.loop.run_for(0.3)
        self.stall(0.15)
        after = prometheus_client.REGISTRY.get_sample_value(name)
        self.warning.assert_not_called()
        self.assertGreater(after - before, 0.04)
