"""The stand-in for an endpoint: streams of a software version, ends and reports."""

import json

import aiohttp

from dogwoodchute.standins import attempt_endpoint
from dogwoodchute.tests import gateway_site, raw_endpoint, support

HEADERS = {"X-Dogwoodchute-Attempt-Id": "a1"}


class AttemptEndpointTest(support.TestCase):
    def with_endpoint(self, check, **options):
        """Run `check(site, endpoint)` with an endpoint and no host."""

        async def scenario():
            site = gateway_site.Site()
            endpoint = await site.add_endpoint("e1", "engines", **options)
            try:
                async with aiohttp.ClientSession() as site.session:
                    await check(site, endpoint)
            finally:
                await site.stop_listeners()

        self.run_async(scenario())

    async def read(self, site, **headers):
        """Return the bytes of a stream, and whether it came to its end."""
        received = b""
        url = f"http://{site.addresses['e1']}/s/stream"
        try:
            async with site.session.post(url, headers={**HEADERS, **headers}) as answer:
                async for data in answer.content.iter_any():
                    received += data
        except aiohttp.ClientPayloadError:
            return received, False
        return received, True

    def test_each_event_names_the_software_version(self):
        async def check(site, endpoint):
            received, is_whole = await self.read(site)
            self.assertTrue(is_whole)
            self.assertEqual(b"id: 1\ndata: t1 v1\n\nid: 2\ndata: t2 v1\n\n", received)
            endpoint.software = ""
            received, _ = await self.read(site, **{"Last-Event-Id": "1"})
            self.assertEqual(b"id: 2\ndata: t2\n\n", received)

        self.with_endpoint(check, software="v1", events=2)

    def test_a_stream_that_is_broken_off_ends_after_whole_events(self):
        async def check(site, endpoint):
            for mode in (attempt_endpoint.CLOSE, attempt_endpoint.ABORT):
                endpoint.next_modes, endpoint.break_after = [mode], 3
                received, is_whole = await self.read(site, **{"Last-Event-Id": "2"})
                events = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in (3, 4, 5))
                self.assertEqual((events, False), (received, is_whole), mode)

        self.with_endpoint(check, events=8, pause=0.02)

    def test_its_row_and_its_report_name_the_same_start(self):
        async def check(site, endpoint):
            def row():
                (found,) = site.store.read("servers", "", "e1", "e1\0").rows
                return json.loads(found.value)

            async def report():
                url = f"http://{site.addresses['e1']}/api/report"
                async with site.session.get(url) as answer:
                    return await answer.json()

            self.assertEqual("v1", row()["version"])
            self.assertEqual(endpoint.born, row()["born"])
            self.assertEqual(endpoint.born, (await report())["born"])
            endpoint.born += 1
            self.assertEqual(row()["born"] + 1, (await report())["born"])
            self.assertEqual([], endpoint.received)

        self.with_endpoint(check, software="v1")

    def test_an_endpoint_of_raw_bytes_answers_with_its_start(self):
        async def scenario():
            endpoint = raw_endpoint.RawEndpoint(script=None)
            await endpoint.start()
            url = f"http://127.0.0.1:{endpoint.port}/api/report"
            try:
                async with (
                    aiohttp.ClientSession() as session,
                    session.get(url) as answer,
                ):
                    self.assertEqual(endpoint.born, (await answer.json())["born"])
            finally:
                endpoint.stop()
            self.assertEqual([], endpoint.attempts)

        self.run_async(scenario())
