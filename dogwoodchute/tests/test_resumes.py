"""What a caller says of the stream that it takes up, as a host decodes it."""

import aiohttp

from dogwoodchute import outcomes, server
from dogwoodchute.platform import ingress
from dogwoodchute.tests import gateway_site, support

ATTEMPT = ("X-Dogwoodchute-Attempt-Id", "a2")


class DecodeTest(support.TestCase):
    def decoded(self, *headers):
        """Return the decoded request with these headers, None if it is refused."""
        requests = []

        async def serve(call):
            requests.append(call.request)
            return outcomes.refuse(503, "busy", "not run", step="test")

        async def scenario():
            host = server.Server(name="resumes", **gateway_site.LIMITS)
            ingress.add_routes(host.app, serve=serve, leaving=lambda: False)
            await host.start("127.0.0.1", 0)
            url = f"http://127.0.0.1:{host.port}/s/stream"
            try:
                async with (
                    aiohttp.ClientSession() as session,
                    session.post(url, headers=[ATTEMPT, *headers]) as response,
                ):
                    self.assertEqual(503 if requests else 400, response.status)
            finally:
                await host.stop()

        self.run_async(scenario())
        return requests[0] if requests else None

    def test_the_attempt_that_brought_the_first_event(self):
        self.assertEqual("a1", self.decoded(("resumes", " a1 ")).resumes)

    def test_none_and_an_empty_one_name_no_attempt(self):
        self.assertIsNone(self.decoded().resumes)
        self.assertIsNone(self.decoded(("Resumes", "")).resumes)

    def test_two_of_them_are_refused_though_they_are_equal(self):
        self.assertIsNone(self.decoded(("Resumes", "a1"), ("Resumes", "a1")))


class ForwardTest(support.TestCase):
    def test_an_endpoint_gets_it_as_the_caller_sent_it(self):
        async def scenario():
            async with gateway_site.running() as site:
                status, _, _ = await site.ask(
                    "/s/stream", attempt="a2", Resumes="a1", Last_Event_Id="3"
                )
                self.assertEqual(200, status)
                (received,) = site.endpoints["e1"].received
                sent = received.headers["resumes"], received.headers["last-event-id"]
                self.assertEqual(("a1", "3"), sent)

        self.run_async(scenario())


class LogTest(support.TestCase):
    """A stream that went on at another software version left no trace in the log."""

    def test_the_line_of_a_request_names_its_stream_and_the_software_version(self):
        lines = self.collect_lines("request")

        async def scenario():
            async with gateway_site.running() as site:
                gate = site.host_process.gateway
                await site.add_endpoint("e2", "engines", software="v2")
                await support.until(lambda: gate.ready_endpoints("engines") == 2)
                site.put("servers", "e1", None)
                await support.until(lambda: gate.ready_endpoints("engines") == 1)
                await site.ask("/s/stream", attempt="a1", Resumes="")
                take_up = {"Resumes": "a1", "Last_Event_Id": "3"}
                await site.ask("/s/stream", attempt="a2", **take_up)
                site.put("servers", "e2", None)
                await support.until(lambda: gate.ready_endpoints("engines") == 0)
                await site.ask("/s/stream", attempt="c1", Resumes="a1")

        self.run_async(scenario())
        found = [(x["resumes"], x["after"], x["software"]) for x in lines]
        self.assertEqual(
            [(None, None, "v2"), ("a1", "3", "v2"), ("a1", None, None)], found
        )

    def test_the_line_of_an_endpoint_s_row_names_its_software_version(self):
        lines = self.collect_lines("endpoint_changed")

        def versions(name):
            return [each["software"] for each in lines if each["endpoint"] == name]

        async def scenario():
            async with gateway_site.running() as site:
                endpoint = await site.add_endpoint("e2", "engines", software="v2")
                await support.until(lambda: versions("e2") == ["v2"])
                endpoint.software = "v1"
                port = int(site.addresses["e2"].rpartition(":")[2])
                site.register("e2", "engines", port)
                await support.until(lambda: versions("e2") == ["v2", "v1"])

        self.run_async(scenario())
        self.assertEqual([None], versions("e1"))
