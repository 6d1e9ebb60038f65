"""Answers of faulty endpoints, as callers receive them."""

import contextlib

import aiohttp

from dogwoodchute.coordination import ejection
from dogwoodchute.tests import gateway_site, raw_endpoint, support

REFUSED = b"X-Dogwoodchute-Not-Executed: 1"
STREAM = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"


def event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def chunked(*events):
    """Return events, each in a chunk, without the last (empty) chunk."""
    return b"".join(b"%x\r\n%b\r\n" % (len(each), each) for each in events)


LAST_CHUNK = b"0\r\n\r\n"
UNFRAMED_STREAM = b"Content-Type: text/event-stream"


@contextlib.asynccontextmanager
async def running(*scripts, service):
    """Run a site where the endpoints of a service are raw ones with these scripts."""
    async with gateway_site.running() as site:
        raw_endpoints = []
        for number, script in enumerate(scripts):
            endpoint = raw_endpoint.RawEndpoint(script=script)
            await endpoint.start()
            raw_endpoints.append(endpoint)
            site.register(f"raw{number}", service, endpoint.port)
        gateway = site.host_process.gateway
        await support.until(
            lambda: gateway.ready_endpoints(service) == 1 + len(raw_endpoints)
        )
        site.put("servers", "e1" if service == "engines" else "p1", None)
        await support.until(
            lambda: gateway.ready_endpoints(service) == len(raw_endpoints)
        )
        try:
            yield site, raw_endpoints
        finally:
            for endpoint in raw_endpoints:
                endpoint.stop()


async def read(site):
    """Request a stream; return its status, its body, and whether that is complete."""
    headers = {
        "Host": "site.example",
        "X-Dogwoodchute-Attempt-Id": "a1",
        "X-Dogwoodchute-Deadline-Ms": "2500",
        "X-Dogwoodchute-Credential": gateway_site.KEY,
    }
    url = f"http://{site.address}/s/stream"
    body = b""
    async with site.session.post(url, headers=headers) as response:
        try:
            async for data in response.content.iter_any():
                body += data
        except (aiohttp.ClientError, ConnectionError):
            return response.status, body, False
        return response.status, body, True


class RefusedTwiceTest(support.TestCase):
    def check(self, refusal):
        """Refuse one request, and write the refusal again before the next answer."""

        def script(head, number):
            if b"a1" in head:
                return refusal(head), False
            answer = raw_endpoint.answer(head, body=b"done")
            return (
                refusal(head.replace(b"b2", b"a1")) if number > 1 else b""
            ) + answer, False

        async def scenario():
            async with running(script, service="plain") as (site, (raw,)):
                refused = await site.ask("/order/x", attempt="a1")
                self.assertEqual(503, refused[0])
                answered = await site.ask("/order/x", attempt="b2")
                self.assertEqual(["a1", "b2"], raw.attempts)
                self.assertEqual((200, b"done"), answered[::2])

        self.run_async(scenario())

    def test_a_refusal_that_comes_twice_is_not_taken_for_the_next_request_s(self):
        def refusal(head):
            return raw_endpoint.answer(head, status=b"503 Busy", headers=REFUSED)

        self.check(refusal)

    def test_nor_is_one_that_names_no_request(self):
        """Guards against "not run" answers for orders that an endpoint has run."""

        def refusal(head):
            named = raw_endpoint.answer(head, status=b"503 Busy", headers=REFUSED)
            return raw_endpoint.ATTEMPT.sub(b"X-Other: 1", named)

        self.check(refusal)

    def test_a_copy_that_comes_at_once_is_not_taken_for_the_next_request(self):
        def script(head, number):
            refusal = raw_endpoint.answer(head, status=b"503 Busy", headers=REFUSED)
            if b"a1" in head and number == 1:
                return 2 * refusal, False
            return raw_endpoint.answer(head, body=b"done"), False

        async def scenario():
            async with running(script, service="plain") as (site, _):
                await site.ask("/order/x", attempt="a1")
                for number in range(2, 6):
                    answered = await site.ask("/order/x", attempt=f"b{number}")
                    self.assertEqual((200, b"done"), answered[::2])

        self.run_async(scenario())


class BrokenStreamTest(support.TestCase):
    def check(self, second):
        """Break a stream off after two events, and answer the retry with `second`.

        Returns what the caller received.
        """
        requests = []

        def script(head, number):
            requests.append(head)
            if len(requests) == 1:
                start = raw_endpoint.answer(head, headers=STREAM, framed=False)
                return start + chunked(event(1), event(2)), True
            return second(head)

        async def scenario():
            async with running(script, script, service="engines") as (site, _):
                received = await read(site)
                self.assertEqual(2, len(requests))
                return received

        return self.run_async(scenario())

    def test_another_endpoint_s_error_is_not_joined_to_a_stream(self):
        for status in (b"500 Failed", b"404 Gone", b"503 Busy", b"200 OK"):

            def second(head, status=status):
                return raw_endpoint.answer(head, status=status, body=b"error"), False

            received = self.check(second)
            self.assertEqual((200, event(1) + event(2), False), received, status)

    def test_a_refusal_is_not_joined_to_a_stream(self):
        def second(head):
            return raw_endpoint.answer(head, status=b"503 x", headers=REFUSED), False

        self.assertEqual((200, event(1) + event(2), False), self.check(second))

    def test_a_stream_that_goes_on_is_whole(self):
        def second(head):
            start = raw_endpoint.answer(head, headers=STREAM, framed=False)
            return start + chunked(event(3), event(4)) + LAST_CHUNK, False

        events = b"".join(map(event, (1, 2, 3, 4)))
        self.assertEqual((200, events, True), self.check(second))

    def test_a_resumed_stream_that_starts_anew_is_broken_off(self):
        """Guards against first events sent twice in a stream that looks complete."""

        def second(head):
            start = raw_endpoint.answer(head, headers=STREAM, framed=False)
            return start + chunked(event(1), event(2), event(3)) + LAST_CHUNK, False

        self.assertEqual((200, event(1) + event(2), False), self.check(second))


class CutAnswerTest(support.TestCase):
    """An answer that is cut after any byte never looks complete."""

    def setUp(self):
        super().setUp()
        # Otherwise the endpoint would be ejected after a few failures.
        self.patch(ejection.Ejector, "record_failure", lambda *arguments: False)

    def answers(self, head):
        """Return complete plain answers.

        The last one has a body without a length, which any close ends.
        """
        body = b"answer"
        coding = b"Transfer-Encoding: chunked"
        chunks = chunked(body) + LAST_CHUNK
        return [
            raw_endpoint.answer(head, body=body),
            raw_endpoint.answer(head, headers=coding, framed=False) + chunks,
            raw_endpoint.answer(head, framed=False),
        ]

    def test_plain_answers(self):
        cut = {"kind": 0, "at": 0}

        def script(head, number):
            return self.answers(head)[cut["kind"]][: cut["at"]], True

        async def scenario():
            async with running(script, service="plain") as (site, (raw,)):
                sample = b"X-Dogwoodchute-Attempt-Id: a1\r\n"
                for kind, complete in enumerate(self.answers(sample)):
                    for at in range(len(complete)):
                        cut.update(kind=kind, at=at)
                        raw.attempts.clear()
                        status, _, _ = await site.ask("/order/x")
                        self.assertEqual(["a1"], raw.attempts)
                        self.assertEqual(502, status, (kind, complete[:at]))

        self.run_async(scenario())

    def test_streams(self):
        cut = {"at": 0}

        def complete(head):
            start = raw_endpoint.answer(head, headers=STREAM, framed=False)
            return start + chunked(event(1), event(2)) + LAST_CHUNK

        def script(head, number):
            return complete(head)[: cut["at"]], True

        async def scenario():
            async with running(script, service="engines") as (site, (raw,)):
                for at in range(len(complete(b"X-Dogwoodchute-Attempt-Id: a1\r\n"))):
                    cut["at"] = at
                    raw.attempts.clear()
                    status, received, is_complete = await read(site)
                    self.assertEqual(["a1"], raw.attempts)
                    if status == 502:
                        continue
                    self.assertEqual((200, False), (status, is_complete), at)
                    self.assertIn(received, (b"", event(1), event(1) + event(2)))

        self.run_async(scenario())

    def test_streams_that_end_with_their_connection(self):
        """One without an event, or within one, was broken off."""
        cut = {"at": 0}
        events = event(1) + event(2)
        whole = {events[: len(event(1))], events}

        def script(head, number):
            start = raw_endpoint.answer(head, headers=UNFRAMED_STREAM, framed=False)
            return start + events[: cut["at"]], True

        async def scenario():
            async with running(script, service="engines") as (site, _):
                for at in range(len(events) + 1):
                    cut["at"] = at
                    status, received, is_complete = await read(site)
                    self.assertEqual(200, status)
                    sent = events[:at]
                    self.assertEqual(sent in whole, is_complete, at)
                    self.assertTrue(sent.startswith(received))

        self.run_async(scenario())
