"""Answers of faulty endpoints, as callers see them at their sockets."""

import contextlib

import aiohttp

from dogwoodchute.coordination import ejection
from dogwoodchute.tests import gateway_site, raw_endpoint, support

REFUSED = b"X-Dogwoodchute-Not-Executed: 1"
STREAM = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"


def event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def chunked(*events):
    """Return events in chunks, without the last chunk."""
    return b"".join(b"%x\r\n%b\r\n" % (len(each), each) for each in events)


LAST_CHUNK = b"0\r\n\r\n"


@contextlib.asynccontextmanager
async def running(*scripts, service):
    """Run a site whose endpoints of a service are raw, and answer by the scripts."""
    async with gateway_site.running() as site:
        made = []
        for number, script in enumerate(scripts):
            endpoint = raw_endpoint.RawEndpoint(script=script)
            await endpoint.start()
            made.append(endpoint)
            site.register(f"raw{number}", service, endpoint.port)
        gateway = site.host_process.gateway
        await support.until(lambda: gateway.ready_endpoints(service) == 1 + len(made))
        site.put("servers", "e1" if service == "engines" else "p1", None)
        await support.until(lambda: gateway.ready_endpoints(service) == len(made))
        try:
            yield site, made
        finally:
            for endpoint in made:
                endpoint.stop()


async def read(site):
    """Return a stream's status, what came of its body, and whether it was whole."""
    sent = {
        "Host": "site.example",
        "X-Dogwoodchute-Attempt-Id": "a1",
        "X-Dogwoodchute-Deadline-Ms": "2500",
        "X-Dogwoodchute-Credential": gateway_site.KEY,
    }
    url = f"http://{site.address}/s/stream"
    got = b""
    async with site.session.post(url, headers=sent) as response:
        try:
            async for data in response.content.iter_any():
                got += data
        except (aiohttp.ClientError, ConnectionError):
            return response.status, got, False
        return response.status, got, True


class RefusedTwiceTest(support.TestCase):
    def check(self, refusal):
        """Refuse one request; write the refusal again when the next one comes."""

        def script(head, number):
            if b"a1" in head:
                return refusal(head), False
            done = raw_endpoint.answer(head, body=b"done")
            return (
                refusal(head.replace(b"b2", b"a1")) if number > 1 else b""
            ) + done, False

        async def story():
            async with running(script, service="plain") as (site, (raw,)):
                refused = await site.ask("/order/x", attempt="a1")
                self.assertEqual(503, refused[0])
                answered = await site.ask("/order/x", attempt="b2")
                self.assertEqual(["a1", "b2"], raw.got)
                self.assertEqual((200, b"done"), answered[::2])

        self.run_async(story())

    def test_a_refusal_that_comes_twice_is_not_taken_for_the_next_request_s(self):
        def refusal(head):
            return raw_endpoint.answer(head, status=b"503 Busy", headers=REFUSED)

        self.check(refusal)

    def test_nor_is_one_that_names_no_request(self):
        """Callers were told "not run" of orders that an endpoint had run."""

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

        async def story():
            async with running(script, service="plain") as (site, _):
                await site.ask("/order/x", attempt="a1")
                for number in range(2, 6):
                    answered = await site.ask("/order/x", attempt=f"b{number}")
                    self.assertEqual((200, b"done"), answered[::2])

        self.run_async(story())


class BrokenStreamTest(support.TestCase):
    def check(self, second):
        """Break a stream off after two events; the next endpoint answers `second`."""
        asked = []

        def script(head, number):
            asked.append(head)
            if len(asked) == 1:
                begun = raw_endpoint.answer(head, headers=STREAM, framed=False)
                return begun + chunked(event(1), event(2)), True
            return second(head)

        async def story():
            async with running(script, script, service="engines") as (site, _):
                found = await read(site)
                self.assertEqual(2, len(asked))
                return found

        return self.run_async(story())

    def test_another_endpoint_s_error_is_not_joined_to_a_stream(self):
        for status in (b"500 Failed", b"404 Gone", b"503 Busy", b"200 OK"):

            def second(head, status=status):
                return raw_endpoint.answer(head, status=status, body=b"error"), False

            found = self.check(second)
            self.assertEqual((200, event(1) + event(2), False), found, status)

    def test_a_refusal_is_not_joined_to_a_stream(self):
        def second(head):
            return raw_endpoint.answer(head, status=b"503 x", headers=REFUSED), False

        self.assertEqual((200, event(1) + event(2), False), self.check(second))

    def test_a_stream_that_goes_on_is_whole(self):
        def second(head):
            begun = raw_endpoint.answer(head, headers=STREAM, framed=False)
            return begun + chunked(event(3), event(4)) + LAST_CHUNK, False

        events = b"".join(map(event, (1, 2, 3, 4)))
        self.assertEqual((200, events, True), self.check(second))

    def test_a_resumed_stream_that_starts_anew_is_broken_off(self):
        """Callers got the first events twice, in a stream that looked whole."""

        def second(head):
            begun = raw_endpoint.answer(head, headers=STREAM, framed=False)
            return begun + chunked(event(1), event(2), event(3)) + LAST_CHUNK, False

        self.assertEqual((200, event(1) + event(2), False), self.check(second))


class CutAnswerTest(support.TestCase):
    """An answer that is cut after any byte never looks whole."""

    def setUp(self):
        super().setUp()
        # Else the endpoint would get no more requests after a few cuts.
        self.patch(ejection.Ejector, "fail", lambda *known: False)

    def answers(self, head):
        """Return whole plain answers. Any end of a body without a length is its end."""
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

        async def story():
            async with running(script, service="plain") as (site, (raw,)):
                sample = b"X-Dogwoodchute-Attempt-Id: a1\r\n"
                for kind, whole in enumerate(self.answers(sample)):
                    for at in range(len(whole)):
                        cut.update(kind=kind, at=at)
                        raw.got.clear()
                        status, _, _ = await site.ask("/order/x")
                        self.assertEqual(["a1"], raw.got)
                        self.assertEqual(502, status, (kind, whole[:at]))

        self.run_async(story())

    def test_streams(self):
        cut = {"at": 0}

        def whole(head):
            begun = raw_endpoint.answer(head, headers=STREAM, framed=False)
            return begun + chunked(event(1), event(2)) + LAST_CHUNK

        def script(head, number):
            return whole(head)[: cut["at"]], True

        async def story():
            async with running(script, service="engines") as (site, (raw,)):
                for at in range(len(whole(b"X-Dogwoodchute-Attempt-Id: a1\r\n"))):
                    cut["at"] = at
                    raw.got.clear()
                    status, got, is_whole = await read(site)
                    self.assertEqual(["a1"], raw.got)
                    if status == 502:
                        continue
                    self.assertEqual((200, False), (status, is_whole), at)
                    self.assertIn(got, (b"", event(1), event(1) + event(2)))

        self.run_async(story())
