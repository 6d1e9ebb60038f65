"""The adaptive limit, and how hosts share its free slots."""

from dogwoodchute.coordination import limits
from dogwoodchute.tests import support

TARGETS = limits.Targets()


def load(running, at, waiting=0, capacity=48):
    return limits.Load(running, waiting, capacity, False, at)


class LimitTest(support.TestCase):
    def make(self, capacity=48):
        return limits.Limit(capacity=capacity, targets=TARGETS)

    def test_shrinks_to_the_load_that_keeps_the_gap(self):
        limit = self.make()
        for second in range(20):
            running = min(limit.value, 48)
            limit.update_report(load(running, second), hosts=1, draw=0.0)
            gap = 0.010 + 0.0004 * running
            limit.observe(second, first_token=0.1, token_gap=gap)
        self.assertIn(limit.value, range(36, 41))

    def test_grows_only_when_it_is_reached(self):
        limit = self.make(8)
        for second in range(5):
            limit.update_report(load(2, second, capacity=8), hosts=1, draw=0.0)
            limit.observe(second, first_token=0.1, token_gap=0.01)
        self.assertEqual(8, limit.value)
        for second in range(5, 30):
            running = limit.value
            limit.update_report(load(running, second, capacity=8), hosts=1, draw=0.0)
            limit.observe(second, first_token=0.1, token_gap=0.01)
        self.assertEqual(8 * limits.HEADROOM, limit.value)

    def test_hosts_share_the_room_of_one_report(self):
        hosts = [self.make() for _ in range(8)]
        for number, limit in enumerate(hosts):
            limit.update_report(load(8, 0.0, capacity=48), hosts=8, draw=number / 8)
            while limit.has_room(0.1, 8):
                limit.acquire(0.1)
        self.assertEqual(40, sum(limit.own for limit in hosts))

    def test_ends_above_the_limit_are_not_made_up_for(self):
        limit = self.make(4)
        for _ in range(4):
            limit.acquire(0.0)
        limit.update_report(load(8, 1.0, capacity=4), hosts=1, draw=0.9)
        limit.release(1.1)
        self.assertFalse(limit.has_room(1.1, 1))

    def test_what_was_sent_just_before_a_report_counts(self):
        limit = self.make(4)
        limit.acquire(0.9)
        limit.acquire(0.9)
        limit.update_report(load(0, 1.0, capacity=4), hosts=1, draw=0.0)
        limit.acquire(1.1)
        limit.acquire(1.1)
        self.assertFalse(limit.has_room(1.1, 1))

    def test_without_reports_hosts_divide_the_limit(self):
        limit = self.make(8)
        sent = 0
        while limit.has_room(0.0, 4):
            limit.acquire(0.0)
            sent += 1
        self.assertEqual(2, sent)
        self.assertEqual(8.0, limit.estimate(0.0, 4))
