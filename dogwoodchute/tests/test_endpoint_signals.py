"""What endpoints say of themselves in answers: that they leave, or want a pause."""

import asyncio
import contextlib
import json

from dogwoodchute.coordination import hold_offs, leaving
from dogwoodchute.gateway import rows
from dogwoodchute.gateway.registered import (
    endpoint_limits,
    endpoint_table,
    endpoint_words,
)
from dogwoodchute.platform import egress
from dogwoodchute.tests import (
    gateway_site,
    raw_endpoint,
    support,
    test_odd_rows,
    warm_endpoints,
)

LEAVING = b"Server-Leaving: 1"
BUSY = b"503 Service Unavailable"
NOT_RUN = b"X-Dogwoodchute-Not-Executed: 1"
BOUND = 0.1  # seconds until a host heeds what an endpoint said


class TableTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.others = ()
        self.restarted = []
        self.table = endpoint_table.EndpointTable(
            table="servers",
            decode=test_odd_rows.decode.endpoint,
            listeners=endpoint_table.Listeners(
                changed=lambda: None,
                removed=lambda name: None,
                restarted=self.restarted.append,
            ),
            limits=endpoint_limits.EndpointLimits(
                host="h1", others=lambda: self.others, now=lambda: self.now
            ),
            **warm_endpoints.parts(lambda: self.now),
            now=lambda: self.now,
        )
        self.register("e1")
        self.register("e2")

    def register(self, name, **fields):
        value = json.dumps({**test_odd_rows.SOUND, **fields}).encode()
        self.table.apply_changes({}, [rows.Row(name, value, 1)])

    def usable(self):
        return [endpoint.id for endpoint in self.table.usable("s")]

    def endpoint(self, name):
        return next(e for e in self.table.usable("s") if e.id == name)

    def test_a_leaving_endpoint_gets_nothing_though_its_row_says_that_it_is_ready(self):
        self.table.mark_leaving(self.endpoint("e1"))
        self.assertEqual(["e2"], self.usable())
        self.register("e1", sequence=2)
        self.assertEqual(["e2"], self.usable())

    def test_one_that_starts_again_under_its_id_is_used_again(self):
        self.table.mark_leaving(self.endpoint("e1"))
        self.table.hold_off(self.endpoint("e2"), 30.0)
        self.register("e1", born=1_700_000_000_001)
        self.register("e2", born=1_700_000_000_001)
        self.assertEqual(["e1", "e2"], self.usable())
        self.assertEqual(["e1", "e2"], self.restarted)

    def test_one_that_only_said_so_is_used_again_some_time_later(self):
        self.table.mark_leaving(self.endpoint("e1"))
        self.now += leaving.SIGNAL_LIFETIME - 0.1
        self.assertEqual(["e2"], self.usable())
        self.now += 0.1
        self.assertEqual(["e1", "e2"], self.usable())

    def test_what_another_host_learned_holds_as_long_as_there(self):
        said = test_odd_rows.SOUND["born"]
        departures = [
            endpoint_words.Word("e1", said, 2.0),
            endpoint_words.Word("e2", said - 1, 2.0),  # an earlier process
            endpoint_words.Word("unknown", said, 2.0),
        ]
        self.table.learn_words(departures)
        self.assertEqual(["e2"], self.usable())
        (told_on,) = self.table.words()
        self.assertEqual(2.0, told_on.age)
        self.now += leaving.SIGNAL_LIFETIME - 2.0
        self.table.learn_words([departures[0]._replace(age=60.0)])
        self.assertEqual(["e1", "e2"], self.usable())

    def test_a_pause_is_kept_and_bounded(self):
        self.table.hold_off(self.endpoint("e1"), 1.5)
        self.assertEqual(["e2"], self.usable())
        self.now += 1.5
        self.assertEqual(["e1", "e2"], self.usable())
        self.table.hold_off(self.endpoint("e1"), 1e300)
        self.now += hold_offs.MAX_SECONDS
        self.assertEqual(["e1", "e2"], self.usable())

    def test_a_shorter_pause_does_not_end_a_longer_one(self):
        endpoint = self.endpoint("e1")
        self.table.hold_off(endpoint, 10.0)
        self.table.hold_off(endpoint, 1.0)
        self.now += 5.0
        self.assertEqual(["e2"], self.usable())

    def test_a_service_that_wants_a_pause_says_when_it_takes_requests(self):
        self.assertEqual(0.0, self.table.seconds_until_usable("s"))
        first, second = self.table.usable("s")
        self.table.hold_off(first, 4.0)
        self.table.hold_off(second, 3.0)
        self.assertEqual(3.0, self.table.seconds_until_usable("s"))
        self.table.mark_leaving(second)
        self.assertEqual(4.0, self.table.seconds_until_usable("s"))
        self.table.mark_leaving(first)
        self.assertIsNone(self.table.seconds_until_usable("s"))


class HeadTest(support.TestCase):
    def test_odd_values_are_ignored(self):
        for text in ("-1", "nan", "inf", "soon", "", "Wed, 21 Oct 2026 07:28:00 GMT"):
            head = egress.parse_head(503, {"Retry-After": text}, [])
            self.assertIsNone(head.retry_after, text)
            self.assertEqual(text, head.bad_retry_after)
        head = egress.parse_head(503, {"Retry-After": "0.25"}, [])
        self.assertEqual((0.25, None), (head.retry_after, head.bad_retry_after))
        head = egress.parse_head(503, {}, [])
        self.assertEqual((None, None), (head.retry_after, head.bad_retry_after))

    def test_only_one_value_says_that_an_endpoint_leaves(self):
        for text, expected in (("1", True), ("0", False), ("", False), ("yes", False)):
            head = egress.parse_head(200, {"Server-Leaving": text}, [])
            self.assertEqual(expected, head.leaving, text)


@contextlib.asynccontextmanager
async def running(script, *, service="plain", beside=False):
    """Run a site with an endpoint that answers as `script` says."""
    site = gateway_site.Site()
    site.put("op", "config", gateway_site.config())
    other = "engines" if service == "plain" else "plain"
    await site.add_endpoint("other", other)
    if beside:
        await site.add_endpoint("beside", service)
    endpoint = raw_endpoint.RawEndpoint(script=script)
    await endpoint.start()
    site.register("raw", service, endpoint.port)
    await site.start()
    try:
        yield site, endpoint
    finally:
        endpoint.stop()
        await site.stop()


class SocketTest(support.TestCase):
    """The same, by requests to a host."""

    def check_nothing_follows(self, script, *, path="/look/x", service="plain"):
        """Send one request, then others; check that only the first is received."""

        async def scenario():
            async with running(script, service=service) as (site, endpoint):
                first = await site.ask(path, attempt="first")
                await asyncio.sleep(BOUND)
                for number in range(3):
                    status, headers, _ = await site.ask(path, attempt=f"later{number}")
                    self.assertEqual(503, status)
                    self.assertGreater(float(headers["Retry-After"]), 0.0)
                self.assertEqual(["first"], endpoint.attempts)
                return first

        return self.run_async(scenario())

    def test_an_answer_says_that_the_endpoint_leaves(self):
        def script(head, number):
            return raw_endpoint.answer(head, headers=LEAVING, body=b"ok"), False

        status, _, body = self.check_nothing_follows(script)
        self.assertEqual((200, b"ok"), (status, body))

    def test_an_error_says_that_the_endpoint_leaves(self):
        def script(head, number):
            return raw_endpoint.answer(head, status=b"500 No", headers=LEAVING), False

        self.check_nothing_follows(script)

    def test_a_refusal_says_that_the_endpoint_leaves(self):
        def script(head, number):
            headers = LEAVING + b"\r\n" + NOT_RUN
            return raw_endpoint.answer(head, status=BUSY, headers=headers), False

        self.check_nothing_follows(script)

    def test_the_head_of_a_stream_says_that_the_endpoint_leaves(self):
        def script(head, number):
            body = b"id: 1\ndata: a\n\n"
            return raw_endpoint.answer(head, headers=LEAVING, body=body), False

        status, _, body = self.check_nothing_follows(
            script, path="/s/stream", service="engines"
        )
        self.assertEqual((200, b"id: 1\ndata: a\n\n"), (status, body))

    def test_a_refusal_asks_for_a_pause(self):
        def script(head, number):
            headers = b"Retry-After: 2.5\r\n" + NOT_RUN
            return raw_endpoint.answer(head, status=BUSY, headers=headers), False

        status, headers, _ = self.check_nothing_follows(script)
        self.assertEqual(503, status)
        self.assertGreaterEqual(float(headers["Retry-After"]), 2.4)

    def test_after_the_pause_the_endpoint_is_used_again(self):
        def script(head, number):
            if b"first" not in head:
                return raw_endpoint.answer(head, body=b"ok"), False
            headers = b"Retry-After: 0.4\r\n" + NOT_RUN
            return raw_endpoint.answer(head, status=BUSY, headers=headers), False

        async def scenario():
            async with running(script) as (site, endpoint):
                await site.ask("/look/x", attempt="first")
                await asyncio.sleep(0.5)
                status, _, _ = await site.ask("/look/x", attempt="second")
                self.assertEqual(200, status)
                self.assertEqual(["first", "second"], endpoint.attempts)

        self.run_async(scenario())

    def test_a_pause_that_is_no_number_takes_no_endpoint_out(self):
        def script(head, number):
            headers = b"Retry-After: soon\r\n" + NOT_RUN
            return raw_endpoint.answer(head, status=BUSY, headers=headers), False

        async def scenario():
            async with running(script) as (site, endpoint):
                for number in range(3):
                    await site.ask("/look/x", attempt=f"a{number}")
                self.assertEqual(3, len(endpoint.attempts))

        self.run_async(scenario())

    def test_a_request_that_was_refused_with_a_pause_is_answered_elsewhere(self):
        def script(head, number):
            headers = b"Retry-After: 30\r\n" + NOT_RUN
            return raw_endpoint.answer(head, status=BUSY, headers=headers), False

        async def scenario():
            async with running(script, beside=True) as (site, endpoint):
                for number in range(10):
                    status, _, _ = await site.ask("/look/x", attempt=f"a{number}")
                    self.assertEqual(200, status)
                self.assertLessEqual(len(endpoint.attempts), 1)

        self.run_async(scenario())

    def test_another_endpoint_at_the_address_takes_nobody_out_by_its_words(self):
        """The chosen one is left out until its row changes, as another one answered."""

        def script(head, number):
            if b"first" not in head:
                return raw_endpoint.answer(head, body=b"ok"), False
            status = b"421 Misdirected Request"
            return raw_endpoint.answer(head, status=status, headers=LEAVING), False

        async def scenario():
            async with running(script) as (site, endpoint):
                await site.ask("/look/x", attempt="first")
                site.register("raw", "plain", endpoint.port)

                async def is_served():
                    return (await site.ask("/look/x", attempt="again"))[0] == 200

                await support.until_async(is_served, seconds=5.0)

        self.run_async(scenario())
