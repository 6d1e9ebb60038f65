"""The token bucket, the bounded queue and the shared interval."""

import hypothesis
from hypothesis import strategies

from dogwoodchute.controllers import bills, lookups
from dogwoodchute.coordination import pacing, releases
from dogwoodchute.tests import support

STORE_READS = 2_000.0  # reads per second that the platform serves
STORE_WRITES = 300.0  # writes per second, a low reading of "several hundred"
IN_FORCE = 11.0  # seconds after which a change must be in force on all hosts

SENDS = strategies.lists(
    strategies.tuples(strategies.floats(0, 3), strategies.integers(1, 900)),
    max_size=60,
)


class BucketTest(support.TestCase):
    @support.fuzz_settings(100)
    @hypothesis.given(sends=SENDS)
    def test_bytes_in_any_window_are_bounded(self, sends):
        bucket = pacing.Bucket(rate=100, burst=300)
        now = 0.0
        passed = []
        for pause, size in sends:
            now += pause
            now += bucket.wait(now)
            self.assertEqual(0.0, bucket.wait(now))
            bucket.take(size, now)
            passed.append((now, size))
        for first, (start, _) in enumerate(passed):
            total = 0
            for end, size in passed[first:]:
                # The last item may exceed the bound, so it is not counted.
                self.assertLessEqual(total, 300 + 100 * (end - start) + 1)
                total += size

    def test_time_that_goes_back_gains_nothing(self):
        bucket = pacing.Bucket(rate=100, burst=100)
        bucket.take(200, 10.0)
        self.assertGreater(bucket.wait(9.0), 0.9)
        self.assertGreater(bucket.wait(10.0), 0.9)


class OutboxTest(support.TestCase):
    def test_order_bound_and_discard(self):
        outbox = pacing.Outbox(max_bytes=10)
        first = outbox.push(pacing.GOSSIP, b"aaaa")
        second = outbox.push(pacing.GOSSIP, b"bbbb")
        self.assertIsNone(outbox.push(pacing.URGENT, b"ccc"))
        self.assertTrue(outbox.discard(first))
        self.assertFalse(outbox.discard(first))
        self.assertIsNotNone(outbox.push(pacing.URGENT, b"ccc"))
        self.assertEqual(b"bbbb", outbox.pop(pacing.GOSSIP))
        self.assertFalse(outbox.discard(second))
        self.assertEqual(3, outbox.bytes)
        self.assertFalse(outbox.has_waiting(pacing.GOSSIP))
        self.assertTrue(outbox.has_waiting(pacing.URGENT))


class SharedIntervalTest(support.TestCase):
    def test_the_fleet_stays_within_the_store_at_any_size(self):
        rates = {
            "look-ups": (lookups.FLEET_READS, lookups.SHORTEST_INTERVAL),
            "polls": (releases.FLEET_READS, 1.0),
            "bills": (bills.FLEET_COMMITS, 0.25),
        }
        for hosts in (1, 8, 100, 340):
            calls = {}
            for name, (rate, shortest) in rates.items():
                wait = pacing.shared_interval(hosts, fleet_rate=rate, shortest=shortest)
                self.assertGreaterEqual(wait, shortest)
                calls[name] = hosts / wait
            self.assertLessEqual(calls["look-ups"] + calls["polls"], STORE_READS / 2)
            self.assertLessEqual(calls["bills"], STORE_WRITES)

    def test_a_note_is_polled_for_in_time_at_the_largest_size(self):
        wait = pacing.shared_interval(340, fleet_rate=releases.FLEET_READS, shortest=1)
        self.assertLess(2 * wait, IN_FORCE)
