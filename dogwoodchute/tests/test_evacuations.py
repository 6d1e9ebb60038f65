"""The operator evacuates a data centre: its endpoints get nothing more."""

import contextlib

from dogwoodchute import log
from dogwoodchute.gateway import rows
from dogwoodchute.gateway.places import evacuations
from dogwoodchute.tests import gateway_site, support, warm_endpoints

REGIONS = {"z1": "r1", "z2": "r1"}
KEY = "evacuate/z1"
NOBODY = "127.0.0.1:1"  # refuses connections


class EvacuationsTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.running = 0
        self.evacuated = evacuations.Evacuations(
            data_centre_of=warm_endpoints.data_centre_of,
            progress=lambda data_centre: evacuations.Progress(4, self.running),
            now=lambda: self.now,
        )

    def read(self, *keys, era=0):
        """Let these be all rows beside the configuration."""
        all_rows = {
            key: rows.Row(key, b"{}", rows.version_of(era, 7))
            for key in ("config", *keys)
        }
        self.evacuated.apply_changes(all_rows, list(all_rows.values()))

    def test_one_holds_from_its_row_to_the_rows_removal(self):
        self.read(KEY)
        self.assertEqual({"z1"}, self.evacuated.in_force)
        self.read(KEY, "evacuate/z2")
        self.assertEqual({"z1", "z2"}, self.evacuated.in_force)
        self.now += 3
        self.read("evacuate/z2")
        self.assertEqual({"z2"}, self.evacuated.in_force)
        self.assertEqual(103.0, self.evacuated.ended_at("z1"))
        self.assertIsNone(self.evacuated.ended_at("z2"))

    def test_its_end_is_remembered_for_a_while(self):
        self.read(KEY)
        self.assertFalse(self.evacuated.has_ended_lately)
        self.read()
        self.assertTrue(self.evacuated.has_ended_lately)
        self.now += evacuations.REMEMBERED + 1
        self.assertFalse(self.evacuated.has_ended_lately)
        self.assertIsNone(self.evacuated.ended_at("z1"))

    def test_a_restored_store_that_lacks_it_does_not_end_it_at_once(self):
        """The operator writes again what the copy lacks, some seconds later."""
        self.read(KEY)
        self.read(era=1)
        self.now += evacuations.KEPT_AFTER_RESTORE - 1
        self.assertEqual({"z1"}, self.evacuated.in_force)
        self.read(KEY, era=1)
        self.now += 2
        self.assertEqual({"z1"}, self.evacuated.in_force)
        self.read(era=1)
        self.assertEqual(set(), self.evacuated.in_force)

    def test_one_that_is_not_written_again_after_a_restore_ends(self):
        self.read(KEY)
        self.read(era=1)
        self.now += evacuations.KEPT_AFTER_RESTORE
        self.assertEqual(set(), self.evacuated.in_force)
        self.assertEqual(self.now, self.evacuated.ended_at("z1"))

    def test_logs_tell_of_its_begin_of_the_last_request_and_of_its_end(self):
        events = []
        self.patch(log, "info", lambda event, **fields: events.append(event))
        self.running = 2
        self.read(KEY)
        self.running = 1
        self.evacuated.record_finished("z1")
        self.running = 0
        self.evacuated.record_finished("z1")
        self.evacuated.record_finished("z1")
        self.read()
        self.assertEqual(
            ["evacuation_begun", "evacuation_drained", "evacuation_ended"], events
        )


@contextlib.asynccontextmanager
async def running(**options):
    """Run a site with endpoints in two data centres of a region."""
    site = gateway_site.Site(regions=REGIONS)
    site.put("op", "config", gateway_site.config())
    for service in ("engines", "plain"):
        await site.add_endpoint(f"{service}-z1", service, pause=0.2)
        await site.add_endpoint(f"{service}-z2", service, zone="z2")
    await site.start(**options)
    try:
        yield site
    finally:
        await site.stop()


def in_force(process):
    return process.gateway._evacuations.in_force


class SiteTest(support.TestCase):
    async def ask_often(self, site, first=0):
        for number in range(first, first + 6):
            path = ("/look/x", "/s/stream")[number % 2]
            status, _, _ = await site.ask(path, attempt=f"a{number}")
            self.assertEqual(200, status)

    def test_its_endpoints_get_nothing_until_it_is_taken_back(self):
        async def scenario():
            async with running() as site:
                host = site.host_process
                site.put("op", KEY, {})
                await support.until(lambda: in_force(host))
                await self.ask_often(site)
                self.assertEqual([], site.endpoints["plain-z1"].received)
                self.assertEqual([], site.endpoints["engines-z1"].received)
                site.put("op", KEY, None)
                await support.until(lambda: not in_force(host))
                await self.ask_often(site, first=6)
                self.assertNotEqual([], site.endpoints["plain-z1"].received)

        self.run_async(scenario())

    def test_streams_that_run_there_go_on(self):
        async def scenario():
            async with running() as site:
                begun = site.endpoints["engines-z1"]
                asking = support.asyncio.create_task(site.ask("/s/stream"))
                await support.until(lambda: begun.received)
                site.put("op", KEY, {})
                await support.until(lambda: in_force(site.host_process))
                status, _, body = await asking
                self.assertEqual(200, status)
                self.assertEqual(begun.events, body.count(b"id:"))

        self.run_async(scenario())

    def test_a_host_that_the_store_turns_away_learns_of_it_from_others(self):
        async def scenario():
            async with running(hosts=2, in_touch=True) as site:
                first, second = site.host_processes
                await support.until(lambda: first.gateway.relays())
                first._store_client._address = NOBODY
                site.put("op", KEY, {})
                await support.until(lambda: in_force(second), seconds=5.0)
                await support.until(lambda: in_force(first), seconds=5.0)

        self.run_async(scenario())

    def test_a_host_that_starts_meanwhile_knows_it_before_it_serves(self):
        async def scenario():
            site = gateway_site.Site(regions=REGIONS)
            site.put("op", "config", gateway_site.config())
            site.put("op", KEY, {})
            await site.add_endpoint("e1", "engines")
            await site.add_endpoint("p1", "plain")
            await site.add_endpoint("p2", "plain", zone="z2")
            await site.start()
            try:
                await self.ask_plain(site)
                self.assertEqual([], site.endpoints["p1"].received)
            finally:
                await site.stop()

        self.run_async(scenario())

    async def ask_plain(self, site):
        for number in range(4):
            status, _, _ = await site.ask("/look/x", attempt=f"p{number}")
            self.assertEqual(200, status)

    def test_where_all_are_evacuated_callers_are_refused_as_not_run(self):
        async def scenario():
            async with running() as site:
                for zone in ("z1", "z2"):
                    site.put("op", f"evacuate/{zone}", {})
                await support.until(lambda: len(in_force(site.host_process)) == 2)
                status, headers, _ = await site.ask("/order/x")
                self.assertEqual(503, status)
                self.assertIn("Retry-After", headers)

        self.run_async(scenario())
