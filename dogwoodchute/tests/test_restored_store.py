"""A store that comes back from a copy, without what was written since."""

from dogwoodchute.gateway import rows
from dogwoodchute.tests import support, table_fleet, test_store_client

BOUND = 2.5  # seconds until all hosts must have a change
AWAY = 2.0  # seconds for which the store is away


def put(value):
    return rows.Put("t", "k", value)


class RestoredRowsTest(support.TestCase):
    def run_scenario(self, scenario, *, era=1):
        async def run():
            async with test_store_client.running() as setup:
                setup.rows.era = era
                setup.rows.version = rows.version_of(era, 0)
                setup.rows.forget_history()
                await scenario(setup)

        self.run_async(run())

    def test_versions_of_a_restored_store_are_above_all_of_before(self):
        async def scenario(setup):
            copy = setup.rows.copy()
            before = await setup.store.commit("", [], [put(b"1")])
            setup.rows.restore(copy)
            after = await setup.store.commit("", [], [put(b"2")])
            self.assertGreater(after.version, before.version)
            read = await setup.store.read("t", "", None, None)
            self.assertEqual([after.version], [row.version for row in read.rows])
            self.assertEqual(after.version, read.version)

        self.run_scenario(scenario)

    def test_a_feed_from_a_version_of_before_says_that_history_is_lost(self):
        """The restored store has given the same number to another version."""

        async def scenario(setup):
            copy = setup.rows.copy()
            before = await setup.store.commit("", [], [put(b"1")])
            setup.rows.restore(copy)
            await setup.store.commit("", [], [put(b"2")])
            await setup.store.commit("", [], [put(b"3")])
            found = await setup.store.feed("t", before.version, 0.0)
            self.assertIsInstance(found, rows.Compacted)

        self.run_scenario(scenario)

    def test_a_commit_under_a_version_of_before_meets_a_conflict(self):
        """The restored store has given the same number to another value."""

        async def scenario(setup):
            copy = setup.rows.copy()
            before = await setup.store.commit("", [], [put(b"1")])
            setup.rows.restore(copy)
            setup.rows.commit("", [], [put(b"other")])
            await setup.store.read("t", "", None, None)
            check = rows.Check("t", "k", before.version)
            outcome = await setup.store.commit("", [check], [put(b"2")])
            self.assertEqual([b"other"], [row.value for row in outcome.rows])

        self.run_scenario(scenario)

    def test_a_restore_is_noticed_through_a_relay(self):
        async def scenario(setup):
            setup.relays = [setup.relay]
            copy = setup.rows.copy()
            before = await setup.store.commit("", [], [put(b"1")])
            setup.rows.restore(copy)
            setup.fault = setup.fault._replace(status=503)
            found = await setup.store.read("t", "", None, None)
            self.assertGreater(found.version, rows.ERA_SPAN)
            again = await setup.store.feed("t", before.version, 0.0)
            self.assertIsInstance(again, rows.Compacted)
            self.assertEqual(2, setup.store.era())

        self.run_scenario(scenario)


class RestoredTablesTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = table_fleet.Fleet(near=5, far=3)
        self.addCleanup(self.fleet.loop.finish)
        self.fleet.start(size=100)

    def restore(self, *, seconds):
        """Bring the store back from a copy that lacks some versions."""
        copy = self.fleet.store.copy()
        for _ in range(5):
            self.fleet.put(100)
            self.fleet.loop.run_for(0.5)
        self.fleet.store_down = True
        self.fleet.loop.run_for(seconds)
        self.fleet.store.restore(copy)
        self.fleet.store_down = False

    def test_a_change_after_a_restore_is_known_in_time(self):
        for seconds in (0.1, AWAY, 6.0):
            self.restore(seconds=seconds)
            self.fleet.loop.run_for(4.0)
            written_at = self.fleet.loop.time()
            version = self.fleet.put(100)
            self.fleet.loop.run_for(BOUND)
            last = self.fleet.last_adopted(version)
            self.assertIsNotNone(last, seconds)
            self.assertLess(written_at, last)
            self.assertLess(last - written_at, BOUND)
