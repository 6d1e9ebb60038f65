"""Answers without framing whose connections end before they are whole."""

import asyncio
import contextlib
import json

import aiohttp
import testtools

from dogwoodchute import clock, server
from dogwoodchute.coordination import ejection
from dogwoodchute.platform import ingress
from dogwoodchute.tests import (
    gateway_site,
    raw_endpoint,
    support,
    test_faulty_answers,
    unframed_endpoint,
)

BORN = 1_700_000_000_000  # Unix milliseconds
WHOLE = 6  # events of a whole stream
PROMPT_END = 0.3  # seconds within which a sound stream's end must reach its caller


def events(first, last):
    return b"".join(map(test_faulty_answers.event, range(first, last + 1)))


class MortalEndpoint:
    """Writes unframed answers. It may die in the middle of one, and start again."""

    def __init__(self, *, answers=True):
        self.born = BORN
        self.says_born = True
        self.port = 0
        self.attempts = []
        self.begun = 0  # events written of the last stream
        self.go_on = asyncio.Event()  # until then a stream waits after its third event
        self._answers = answers  # what it says of itself
        self._listening = None
        self._writers = set()

    async def start(self):
        self._listening = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )
        self.port = self._listening.sockets[0].getsockname()[1]

    def die(self):
        """Close the listener and all connections, as the kernel of a killed process."""
        self.stop()
        self.drop()

    def stop(self):
        self._listening.close()

    def drop(self):
        """Close all connections that are open."""
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with (
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
            contextlib.closing(writer),
        ):
            while True:
                head = await reader.readuntil(raw_endpoint.HEAD_END)
                if head.startswith(b"GET /api/report"):
                    await self._report(writer)
                    continue
                self.attempts.append(raw_endpoint.ATTEMPT.search(head).group(1))
                await self._answer(head, writer)
                break
        self._writers.discard(writer)

    async def _report(self, writer):
        if not self._answers:
            await asyncio.sleep(3600)
        report = {"running": 0}
        if self.says_born:
            report["born"] = self.born
        body = json.dumps(report).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        writer.write(head + body)

    async def _answer(self, head, writer):
        if b" /s/" not in head:
            writer.write(raw_endpoint.answer(head, body=b"half", framed=False))
            self.begun = 1
            await self.go_on.wait()
            writer.write(b" and half")
            return
        headers = test_faulty_answers.UNFRAMED_STREAM
        writer.write(raw_endpoint.answer(head, headers=headers, framed=False))
        first = 1
        if b"Last-Event-Id: " in head:
            first += int(head.partition(b"Last-Event-Id: ")[2].split(b"\r\n")[0])
        for number in range(first, WHOLE + 1):
            writer.write(test_faulty_answers.event(number))
            self.begun = number
            if number == 3:
                await self.go_on.wait()


class EarlyEndCase(support.TestCase):
    @contextlib.asynccontextmanager
    async def running(self, count=1, *, service="engines", **options):
        """Run a site whose endpoints of a service are mortal ones."""
        async with gateway_site.running() as site:
            endpoints = [MortalEndpoint(**options) for _ in range(count)]
            for number, endpoint in enumerate(endpoints):
                await endpoint.start()
                self.put_row(site, f"m{number}", service, endpoint.port)
            gateway = site.host_process.gateway
            await support.until(lambda: gateway.ready_endpoints(service) == 1 + count)
            site.put("servers", "e1" if service == "engines" else "p1", None)
            await support.until(lambda: gateway.ready_endpoints(service) == count)
            try:
                yield site, endpoints
            finally:
                for endpoint in endpoints:
                    endpoint.die()

    def put_row(self, site, name, service, port):
        address = {"address": f"127.0.0.1:{port}", "zone": "z1", "state": "ready"}
        fields = {"service": service, "slots": 8, "sequence": 1, "born": BORN}
        site.put("servers", name, {**address, **fields})

    async def stream_cut_short(self, site, endpoint, *, then=None):
        """Let an endpoint die in the middle of a stream; return what its caller got."""
        reading = asyncio.create_task(test_faulty_answers.read(site))
        await support.until(lambda: endpoint.begun == 3)
        endpoint.stop()
        if then is not None:
            # A new process listens before this host learns of the end of the old one.
            await then()
        endpoint.drop()
        return await reading


class EarlyEndTest(EarlyEndCase):
    def test_the_part_that_a_dead_endpoint_sent_does_not_look_complete(self):
        async def scenario():
            async with self.running() as (site, (endpoint,)):
                _, _, is_complete = await self.stream_cut_short(site, endpoint)
                self.assertFalse(is_complete)

        self.run_async(scenario())

    def test_nor_does_it_if_the_endpoint_starts_again_at_once(self):
        async def scenario():
            async with self.running() as (site, (endpoint,)):
                endpoint.born += 1
                _, _, is_complete = await self.stream_cut_short(
                    site, endpoint, then=endpoint.start
                )
                self.assertFalse(is_complete)

        self.run_async(scenario())

    def test_nor_if_nothing_answers_at_its_address(self):
        async def scenario():
            async with self.running(answers=False) as (site, (endpoint,)):
                _, _, is_complete = await self.stream_cut_short(
                    site, endpoint, then=endpoint.start
                )
                self.assertFalse(is_complete)

        self.run_async(scenario())

    def test_a_stream_of_a_dead_endpoint_goes_on_at_another(self):
        async def scenario():
            async with self.running(2) as (site, endpoints):
                reading = asyncio.create_task(test_faulty_answers.read(site))
                await support.until(lambda: any(e.begun == 3 for e in endpoints))
                dying, other = sorted(endpoints, key=lambda each: -each.begun)
                other.go_on.set()
                dying.die()
                received = await reading
                self.assertEqual((200, events(1, WHOLE), True), received)

        self.run_async(scenario())

    def test_many_streams_of_a_killed_process_do_not_look_complete(self):
        async def scenario():
            async with gateway_site.running() as site:
                process, port = unframed_endpoint.start()
                self.addCleanup(process.stdout.close)
                self.addCleanup(process.wait)
                self.addCleanup(process.kill)
                site.register("u1", "engines", port)
                gateway = site.host_process.gateway
                await support.until(lambda: gateway.ready_endpoints("engines") == 2)
                site.put("servers", "e1", None)
                await support.until(lambda: gateway.ready_endpoints("engines") == 1)
                lines = self.collect_lines("try_failed")
                reads = [test_faulty_answers.read(site) for _ in range(20)]
                reading = asyncio.gather(*reads)
                await asyncio.sleep(unframed_endpoint.EVENTS * 2 * 0.02)
                process.kill()
                received = await reading
                # One that had not begun is answered 502.
                streams = [whole for status, _, whole in received if status == 200]
                self.assertIn(False, streams)
                self.assertNotIn(True, streams)
                self.assertTrue(lines)

        self.run_async(scenario())

    def check_plain(self, path, service="plain"):
        async def scenario():
            async with self.running(service=service) as (site, (endpoint,)):
                asking = asyncio.create_task(site.ask(path))
                await support.until(lambda: endpoint.begun)
                endpoint.die()
                self.assertNotEqual(200, (await asking)[0])

        self.run_async(scenario())

    def test_half_an_order_s_answer_is_not_its_answer(self):
        self.check_plain("/order/x")

    def test_half_an_answer_that_may_be_repeated_is_not_its_answer(self):
        self.check_plain("/look/x")

    def test_a_stop_of_this_host_does_not_complete_a_stream(self):
        """Guards against connections that this host closes and takes for ended."""

        async def scenario():
            async with self.running() as (site, (endpoint,)):
                reading = asyncio.create_task(test_faulty_answers.read(site))
                await support.until(lambda: endpoint.begun == 3)
                await site.host_process.gateway.stop()
                _, _, is_complete = await reading
                self.assertFalse(is_complete)

        self.run_async(scenario())

    def test_a_stop_of_this_host_does_not_complete_an_order(self):
        async def scenario():
            async with self.running(service="plain") as (site, (endpoint,)):
                asking = asyncio.create_task(site.ask("/order/x"))
                await support.until(lambda: endpoint.begun)
                await site.host_process.gateway.stop()
                self.assertNotEqual(200, (await asking)[0])

        self.run_async(scenario())

    def check_sound(self, *, says_born):
        async def scenario():
            async with self.running() as (site, (endpoint,)):
                endpoint.says_born = says_born
                endpoint.go_on.set()
                for _ in range(3):
                    began = clock.monotonic()
                    received = await test_faulty_answers.read(site)
                    self.assertEqual((200, events(1, WHOLE), True), received)
                    self.assertLess(clock.monotonic() - began, PROMPT_END)

        self.run_async(scenario())

    def test_a_sound_stream_is_whole_and_ends_at_once(self):
        self.check_sound(says_born=True)

    def test_so_is_that_of_an_endpoint_that_does_not_say_when_it_started(self):
        self.check_sound(says_born=False)

    def test_a_sound_order_is_answered_at_once(self):
        async def scenario():
            async with self.running(service="plain") as (site, (endpoint,)):
                endpoint.go_on.set()
                began = clock.monotonic()
                status, _, body = await site.ask("/order/x")
                self.assertEqual((200, b"half and half"), (status, body))
                self.assertLess(clock.monotonic() - began, PROMPT_END)

        self.run_async(scenario())


class BlameTest(EarlyEndCase):
    def test_an_end_in_doubt_is_not_held_against_its_endpoint(self):
        """Guards against sound endpoints that are ejected or counted as crashed."""
        failures = []

        def record(self, name, now):
            failures.append(name)
            return False

        self.patch(ejection.Ejector, "record_failure", record)
        crashed = self.collect_lines("endpoint_crashed")

        async def scenario():
            async with self.running(service="plain", answers=False) as (site, (sound,)):
                sound.go_on.set()
                for number in range(3):
                    status, _, _ = await site.ask("/order/x", attempt=f"a{number}")
                    self.assertEqual(502, status)
                sound.stop()

        self.run_async(scenario())
        self.assertEqual(([], []), (failures, crashed))


class NoBodyTest(support.TestCase):
    def test_an_answer_without_a_body_needs_no_length(self):
        """Guards against sound answers to HEAD and 204s that count as broken off."""

        def script(head, number):
            status = b"204 No Content" if b"a2" in head else b"200 OK"
            return raw_endpoint.answer(head, status=status, framed=False), False

        async def scenario():
            running = test_faulty_answers.running(script, service="plain")
            async with running as (site, _):
                status, _, _ = await site.ask("/look/x", method="HEAD")
                self.assertEqual(200, status)
                status, _, _ = await site.ask("/look/x", attempt="a2")
                self.assertEqual(204, status)

        self.run_async(scenario())


class FailedHandlerTest(support.TestCase):
    def test_an_error_in_the_middle_of_a_stream_does_not_complete_it(self):
        """Guards against the HTTP server ending answers whose handlers failed."""

        async def serve(call):
            call.reply_started = True
            await call.reply.start(200, [("Content-Type", "text/event-stream")])
            await call.reply.chunk(events(1, 3))
            raise RuntimeError("a fault")

        async def scenario():
            listener = server.Server(name=f"callers-{id(self)}", **gateway_site.LIMITS)
            ingress.add_routes(listener.app, serve=serve, leaving=lambda: False)
            await listener.start("127.0.0.1", 0)
            try:
                async with aiohttp.ClientSession() as session:
                    url = f"http://127.0.0.1:{listener.port}/s/stream"
                    headers = {"X-Dogwoodchute-Attempt-Id": "a1"}
                    async with session.post(url, headers=headers) as response:
                        self.assertEqual(200, response.status)
                        with testtools.ExpectedException(aiohttp.ClientPayloadError):
                            await response.read()
            finally:
                await listener.stop()

        self.run_async(scenario())
