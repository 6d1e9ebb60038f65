"""The choice of an endpoint, the prefix index and ejection."""

import collections
import random

from dogwoodchute.coordination import choice, ejection, prefix_index
from dogwoodchute.tests import support


def candidate(name, load=0.5, *, weight=1.0, cached_blocks=0.0):
    return choice.Candidate(name, load, weight, cached_blocks)


class ChoiceTest(support.TestCase):
    def counts(self, candidates, blocks=(), draws=2000):
        rng = random.Random(3)
        return collections.Counter(
            choice.choose(candidates, blocks, rng) for _ in range(draws)
        )

    def test_the_worst_of_many_gets_nothing_and_the_best_not_all(self):
        candidates = [candidate(str(n), n / 10) for n in range(10)]
        counts = self.counts(candidates)
        self.assertEqual(0, counts["9"])
        self.assertLess(counts["0"], 600)

    def test_holder_of_the_prefix_wins_unless_it_is_loaded(self):
        blocks = tuple(range(64))
        others = [candidate(str(n)) for n in range(9)]
        holder = candidate("holder", 0.8, cached_blocks=64)
        self.assertEqual(2000, self.counts([holder, *others], blocks)["holder"])
        loaded = holder._replace(load=1.4)
        self.assertEqual(0, self.counts([loaded, *others], blocks)["holder"])

    def test_unknown_prefix_goes_to_one_endpoint(self):
        blocks = tuple(range(64))
        candidates = [candidate(str(n)) for n in range(9)]
        self.assertEqual(1, len(self.counts(candidates, blocks)))

    def test_slow_start_gets_a_small_share(self):
        candidates = [candidate(str(n)) for n in range(4)]
        counts = self.counts([*candidates, candidate("back", weight=0.1)])
        self.assertEqual(0, counts["back"])
        self.assertIsNone(choice.choose([], (), random.Random(1)))


class PrefixIndexTest(support.TestCase):
    def test_blocks_are_chained(self):
        head, other = b"x" * 64, b"y" * 64
        first = prefix_index.block_hashes(head + other + b"rest")
        second = prefix_index.block_hashes(other + other)
        self.assertEqual(2, len(first))
        self.assertNotEqual(first[1], second[1])

    def test_a_gap_halves_what_was_known_before_it(self):
        index = prefix_index.PrefixIndex()
        index.apply("one", 1, [1, 2], [])
        self.assertEqual(2.0, index.match("one", (1, 2, 3)))
        index.apply("one", 5, [3], [])
        self.assertEqual(2.0, index.match("one", (1, 2, 3)))
        self.assertEqual(5, index.last_event_number("one"))
        index.apply("one", 4, [], [1])
        self.assertEqual(2.0, index.match("one", (1, 2, 3)), "a late event")
        index.apply("one", 6, [], [1])
        self.assertEqual(0.0, index.match("one", (1, 2, 3)))

    def test_memory_is_bounded(self):
        index = prefix_index.PrefixIndex(max_entries=10)
        index.apply("one", 1, range(100), [])
        self.assertEqual(10, len(index))
        index.keep({"two"})
        self.assertEqual(0, len(index))


class EjectionTest(support.TestCase):
    def ejector(self, count=9):
        ejector = ejection.Ejector(floors=ejection.Floors())
        ejector.configure([str(n) for n in range(count)])
        return ejector

    def test_calm_with_spread_ejects_nothing(self):
        rng = random.Random(5)
        ejector = self.ejector()
        for step in range(20_000):
            first = min(0.6, rng.expovariate(1 / 0.1))
            ejector.observe(
                str(step % 9), step * 0.01, first_token=first, token_gap=0.01
            )
        self.assertEqual(0, ejector.ejections)

    def test_tenfold_slower_endpoint_is_ejected_and_returns_slowly(self):
        ejector = self.ejector()
        for step in range(90):
            ejector.observe(str(step % 9), 0.0, first_token=0.2, token_gap=0.015)
        for _ in range(10):
            ejector.observe("4", 1.0, first_token=2.0, token_gap=0.15)
        self.assertEqual("slow", ejector.reason("4", 1.0))
        self.assertEqual(0.0, ejector.weight("4", 5.9))
        self.assertEqual(ejection.MIN_WEIGHT, ejector.weight("4", 6.0))
        self.assertEqual(0.5, ejector.weight("4", 11.0))
        self.assertEqual(1.0, ejector.weight("4", 16.0))

    def test_common_slowness_ejects_nobody(self):
        ejector = self.ejector()
        for step in range(900):
            slow = 0.2 if step < 90 else 2.0
            ejector.observe(str(step % 9), 0.0, first_token=slow, token_gap=0.015)
        self.assertEqual(0, ejector.ejections)

    def test_never_more_than_the_set_share(self):
        ejector = self.ejector()
        for name in range(9):
            for _ in range(ejection.FAILURES):
                ejector.record_failure(str(name), 0.0)
        weights = [ejector.weight(str(name), 1.0) for name in range(9)]
        self.assertEqual(3, weights.count(0.0))

    def test_a_success_ends_a_run_of_failures(self):
        ejector = self.ejector()
        for _ in range(ejection.FAILURES):
            ejector.record_failure("1", 0.0)
            ejector.record_success("1")
        self.assertEqual(0, ejector.ejections)
