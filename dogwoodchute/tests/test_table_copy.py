"""Copies of a table that follow the store or one another."""

import random

from dogwoodchute import clock
from dogwoodchute.gateway import rows
from dogwoodchute.gateway.following import table_copy
from dogwoodchute.standins import row_store
from dogwoodchute.tests import support


def put(store, key, value):
    store.commit("", [], [rows.Put("t", key, value)])


def read(store):
    answer = store.read("t", "", None, None)
    return table_copy.Changes(answer.rows, answer.version, is_snapshot=True)


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
        changes = self.copy.since(1)
        self.assertTrue(changes.is_snapshot)
        self.assertEqual(["b"], [row.key for row in changes.rows])

    def test_nothing_is_told_before_the_first_read(self):
        self.assertIsNone(self.copy.since(None))

    def test_followers_that_change_their_source_end_with_the_stores_rows(self):
        """Otherwise a follower may keep a removed endpoint or an old configuration."""
        for seed in range(30):
            with self.subTest(seed=seed):
                self.check_follower(random.Random(seed))

    def check_follower(self, rng):
        self.patch(table_copy, "MAX_REMOVED", 3)
        store = row_store.RowStore(now=clock.monotonic)
        sources = [table_copy.TableCopy(), table_copy.TableCopy()]
        follower = table_copy.TableCopy()
        put(store, "a", b"0")
        for step in range(200):
            value = None if rng.random() < 0.4 else str(step).encode()
            put(store, rng.choice("abcdefgh"), value)
            self.follow_store(store, rng.choice(sources), rng)
            self.copy_changes(rng.choice(sources), follower)
        for source in sources:
            self.follow_store(store, source, rng)
        self.copy_changes(sources[0], follower)
        self.assertEqual(
            {row.key: row.value for row in read(store).rows},
            {row.key: row.value for row in follower.rows.values()},
        )

    def follow_store(self, store, source, rng):
        if source.version is None or rng.random() < 0.05:
            source.apply(read(store))
            return
        answer = store.feed("t", source.version)
        source.apply(table_copy.Changes(answer.rows, answer.version, is_snapshot=False))

    def copy_changes(self, source, follower):
        changes = source.since(follower.version)
        if changes is None:
            return
        before = follower.version or 0
        follower.apply(changes)
        self.assertGreaterEqual(follower.version, before)
