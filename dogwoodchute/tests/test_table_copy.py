"""Copies of a table, one of which follows another."""

import random

from dogwoodchute import clock
from dogwoodchute.gateway import rows, table_copy
from dogwoodchute.standins import row_store
from dogwoodchute.tests import support


def put(store, key, value):
    store.commit("", [], [rows.Put("t", key, value)])


def read(store):
    found = store.read("t", "", None, None)
    return table_copy.Changes(found.rows, found.version, is_snapshot=True)


class CopyTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.store = row_store.RowStore(now=clock.monotonic)
        self.copy = table_copy.TableCopy()

    def test_an_older_answer_takes_nothing_back(self):
        put(self.store, "a", b"1")
        older = read(self.store)
        put(self.store, "a", b"2")
        put(self.store, "b", b"1")
        self.copy.apply(read(self.store))
        self.assertEqual([], self.copy.apply(older))
        self.assertEqual(b"2", self.copy.rows["a"].value)
        changed = older._replace(version=99, is_snapshot=False)
        self.assertEqual([], self.copy.apply(changed))
        self.assertEqual(b"2", self.copy.rows["a"].value)

    def test_a_copy_without_the_history_tells_the_whole_table(self):
        put(self.store, "a", b"1")
        self.copy.apply(read(self.store))
        put(self.store, "a", None)
        put(self.store, "b", b"1")
        self.copy.apply(read(self.store))
        told = self.copy.since(1)
        self.assertTrue(told.is_snapshot)
        self.assertEqual(["b"], [row.key for row in told.rows])

    def test_nothing_is_told_before_the_first_read(self):
        self.assertIsNone(self.copy.since(None))

    def test_followers_that_change_their_source_end_with_the_stores_rows(self):
        """Else a follower keeps a removed endpoint, or an old configuration."""
        for seed in range(30):
            with self.subTest(seed=seed):
                self.follow(random.Random(seed))

    def follow(self, rng):
        self.patch(table_copy, "MAX_REMOVED", 3)
        store = row_store.RowStore(now=clock.monotonic)
        sources = [table_copy.TableCopy(), table_copy.TableCopy()]
        follower = table_copy.TableCopy()
        put(store, "a", b"0")
        for step in range(200):
            value = None if rng.random() < 0.4 else str(step).encode()
            put(store, rng.choice("abcdefgh"), value)
            self.feed(store, rng.choice(sources), rng)
            self.pass_on(rng.choice(sources), follower)
        for source in sources:
            self.feed(store, source, rng)
        self.pass_on(sources[0], follower)
        self.assertEqual(
            {row.key: row.value for row in read(store).rows},
            {row.key: row.value for row in follower.rows.values()},
        )

    def feed(self, store, source, rng):
        if source.version is None or rng.random() < 0.05:
            source.apply(read(store))
            return
        found = store.feed("t", source.version)
        source.apply(table_copy.Changes(found.rows, found.version, is_snapshot=False))

    def pass_on(self, source, follower):
        told = source.since(follower.version)
        if told is None:
            return
        before = follower.version or 0
        follower.apply(told)
        self.assertGreaterEqual(follower.version, before)
