"""The question to an endpoint whose answer ended with its connection, and its traps."""

import asyncio
import gzip
import json
import socket
import struct
import types

import aiohttp
import testtools

from dogwoodchute import outcomes, server
from dogwoodchute.filters import dispatch
from dogwoodchute.platform import names, relay
from dogwoodchute.standins import service
from dogwoodchute.tests import (
    endpoints,
    gateway_site,
    raw_endpoint,
    support,
    test_early_ends,
    test_faulty_answers,
)

WHOLE_STREAM = (200, test_early_ends.events(1, test_early_ends.WHOLE), True)
HALF = b"HTTP/1.1 200 OK\r\n\r\nhalf"  # of a plain answer without framing


class Endpoint(test_early_ends.MortalEndpoint):
    """Answers questions as `report` does, and may reset connections.

    `report` takes the writer and the question's head.
    """

    def __init__(self):
        super().__init__()
        self.report = None
        self.resets = 0  # further connections that are reset at once
        self.connections = 0
        self.heads = []  # of requests and questions, after their connection's number

    def say(self, *, headers=b"", status=b"200 OK", body=None):
        if body is None:
            body = json.dumps({"running": 0, "born": self.born}).encode()
        lines = b"HTTP/1.1 %b\r\nContent-Length: %d\r\n" % (status, len(body))
        return lines + headers + b"\r\n" + body

    async def _serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        if self.resets:
            self.resets -= 1
            connected = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
            return
        readuntil = reader.readuntil

        async def read_head(separator):
            head = await readuntil(separator)
            self.heads.append((number, head))
            return head

        reader.readuntil = read_head
        await super()._serve(reader, writer)

    async def _report(self, writer):
        if self.report is None:
            await super()._report(writer)
        else:
            await self.report(writer, self.heads[-1][1])


class EndCheckTest(support.TestCase):
    running = test_early_ends.EarlyEndTest.running
    put_row = test_early_ends.EarlyEndTest.put_row
    stream_cut_short = test_early_ends.EarlyEndTest.stream_cut_short

    def setUp(self):
        super().setUp()
        self.patch(test_early_ends, "MortalEndpoint", Endpoint)

    async def check_sound_stream(self, site, endpoint):
        endpoint.go_on.set()
        self.assertEqual(WHOLE_STREAM, await test_faulty_answers.read(site))

    def test_what_an_endpoint_says_twice_is_not_taken_for_an_answer(self):
        """Guards against orders answered with a late copy of a question's answer."""

        async def scenario():
            async with self.running(service="plain") as (site, (endpoint,)):
                missing = endpoint.say(status=b"404 Not Found", body=b"no such page")
                asked = []
                answer = endpoint._answer

                async def report(writer, head):
                    asked.append(writer)
                    writer.write(missing)

                async def answer_late(head, writer):
                    if writer in asked:
                        writer.write(missing)
                    await answer(head, writer)

                endpoint.report, endpoint._answer = report, answer_late
                endpoint.go_on.set()
                for number in range(3):
                    status, _, body = await site.ask("/order/x", attempt=f"a{number}")
                    self.assertEqual((200, b"half and half"), (status, body))

        self.run_async(scenario())

    def test_a_connection_that_was_asked_on_is_kept_as_long_as_its_endpoint_says(self):
        async def scenario():
            async with self.running(service="plain") as (site, (endpoint,)):

                async def report(writer, head):
                    writer.write(endpoint.say(headers=b"Keep-Alive: timeout=1\r\n"))

                endpoint.report = report
                endpoint.go_on.set()
                await site.ask("/order/x", attempt="a1")
                asked_on, _ = endpoint.heads[-1]
                await asyncio.sleep(0.7)
                await site.ask("/order/x", attempt="a2")
                used = [n for n, head in endpoint.heads if b"POST" in head]
                self.assertNotIn(asked_on, used)

        self.run_async(scenario())

    def test_a_stream_of_a_process_that_is_newer_than_its_row_is_whole(self):
        """Guards against sound streams that are cut while rows lag behind."""

        async def scenario():
            async with self.running() as (site, (endpoint,)):
                endpoint.born += 1
                await self.check_sound_stream(site, endpoint)

        self.run_async(scenario())

    def test_so_are_those_that_begin_after_one_of_them_was_asked_about(self):
        async def scenario():
            async with self.running() as (site, (endpoint,)):
                endpoint.born += 1
                endpoint.go_on.set()
                await test_faulty_answers.read(site)
                await self.check_sound_stream(site, endpoint)

        self.run_async(scenario())

    def test_a_sound_stream_is_whole_though_a_kept_connection_is_silent(self):
        async def scenario():
            async with self.running() as (site, (endpoint,)):
                asked = []

                async def report(writer, head):
                    if writer in asked:
                        await asyncio.sleep(3600)
                    asked.append(writer)
                    writer.write(endpoint.say())

                endpoint.report = report
                endpoint.go_on.set()
                # Two at once leave two connections; the next request takes one.
                await asyncio.gather(*[test_faulty_answers.read(site) for _ in "12"])
                await self.check_sound_stream(site, endpoint)

        self.run_async(scenario())

    def test_a_sound_stream_is_whole_though_a_new_connection_is_reset(self):
        """Guards against streams that are cut at endpoints with a long queue."""

        async def scenario():
            async with self.running() as (site, (endpoint,)):
                reading = asyncio.create_task(test_faulty_answers.read(site))
                await support.until(lambda: endpoint.begun == 3)
                endpoint.resets = 2
                endpoint.go_on.set()
                self.assertEqual(WHOLE_STREAM, await reading)

        self.run_async(scenario())

    def test_nor_is_it_cut_though_new_connections_are_reset_for_long(self):
        async def scenario():
            async with self.running() as (site, (endpoint,)):
                reading = asyncio.create_task(test_faulty_answers.read(site))
                await support.until(lambda: endpoint.begun == 3)
                endpoint.resets = 1000
                endpoint.go_on.set()
                self.assertEqual(WHOLE_STREAM, await reading)

        self.run_async(scenario())

    def test_a_process_that_is_not_ready_to_tell_its_start_did_not_outlive(self):
        async def scenario():
            async with self.running() as (site, (endpoint,)):
                await self.check_sound_stream(site, endpoint)

                async def report(writer, head):
                    status = b"503 Service Unavailable"
                    writer.write(endpoint.say(status=status, body=b"starting"))

                async def start():
                    endpoint.report = report
                    await endpoint.start()

                endpoint.begun = 0
                endpoint.go_on.clear()
                cut = await self.stream_cut_short(site, endpoint, then=start)
                self.assertFalse(cut[2])

        self.run_async(scenario())

    def test_what_an_endpoint_says_is_asked_for_without_compression(self):
        """Guards against a start that can't be read, so that nothing is compared."""

        async def scenario():
            async with self.running() as (site, (endpoint,)):

                async def report(writer, head):
                    said = {}
                    if b"gzip" in head:
                        said["headers"] = b"Content-Encoding: gzip\r\n"
                        plain = json.dumps({"born": endpoint.born}).encode()
                        said["body"] = gzip.compress(plain)
                    writer.write(endpoint.say(**said))

                endpoint.report = report
                endpoint.born += 1
                _, _, is_complete = await self.stream_cut_short(
                    site, endpoint, then=endpoint.start
                )
                self.assertFalse(is_complete)

        self.run_async(scenario())

    def test_a_stop_of_this_host_during_the_question_is_no_error(self):
        async def scenario():
            async with self.running() as (site, (endpoint,)):
                asking = asyncio.Event()

                async def report(writer, head):
                    asking.set()
                    await asyncio.sleep(3600)

                endpoint.go_on.set()
                await asyncio.gather(*[test_faulty_answers.read(site) for _ in "12"])
                endpoint.report = report
                checked = self.collect_lines("answer_end_checked")
                reading = asyncio.create_task(test_faulty_answers.read(site))
                await asking.wait()
                await site.host_process.gateway.stop()
                self.assertFalse((await reading)[2])
                self.assertEqual([False], [line["outlived"] for line in checked])

        self.run_async(scenario())

    def test_an_answer_to_head_needs_no_length(self):
        async def scenario():
            async with self.running(service="plain") as (site, (endpoint,)):

                async def answer(head, writer):
                    writer.write(raw_endpoint.answer(head, framed=False))

                endpoint._answer = answer
                status, _, _ = await site.ask("/look/x", method="HEAD")
                self.assertEqual(200, status)

        self.run_async(scenario())

    def test_chunks_after_another_coding_tell_their_end(self):
        async def scenario():
            async with self.running(service="plain") as (site, (endpoint,)):

                async def answer(head, writer):
                    coding = b"Transfer-Encoding: identity, chunked"
                    start = raw_endpoint.answer(head, headers=coding, framed=False)
                    chunks = test_faulty_answers.chunked(b"body")
                    writer.write(start + chunks + test_faulty_answers.LAST_CHUNK)
                    await endpoint.go_on.wait()

                endpoint._answer = answer
                status, _, body = await site.ask("/look/x")
                endpoint.go_on.set()
                self.assertEqual((200, b"body"), (status, body))

        self.run_async(scenario())


class OwnInterfaceTest(support.TestCase):
    """Plain answers without framing at the project's own interface."""

    async def ask(self, then):
        """Return a call's outcome; `then` runs once half of its answer was written.

        It gets the endpoint's listener and writer, and the forwarder.
        """
        begun = asyncio.get_running_loop().create_future()

        async def begin(reader, writer):
            await reader.readuntil(raw_endpoint.HEAD_END)
            writer.write(HALF)
            await writer.drain()
            begun.set_result(writer)

        listening = await asyncio.start_server(begin, "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        async with endpoints.running(service.Service()) as (forwarder, endpoint):
            endpoint = endpoint._replace(address=f"127.0.0.1:{port}")
            exchange = endpoints.order(endpoint, endpoints.Caller())
            asking = asyncio.create_task(
                dispatch.make(forwarder=forwarder)(exchange, None)
            )
            writer = await begun
            await asyncio.sleep(0.05)
            await then(listening, writer, forwarder)
            outcome = await asking
            writer.close()
        listening.close()
        return outcome

    def test_half_an_answer_of_a_dead_endpoint_is_not_its_answer(self):
        async def die(listening, writer, forwarder):
            listening.close()
            writer.close()

        outcome = self.run_async(self.ask(die))
        self.assertIsInstance(outcome, outcomes.Unknown)

    def test_a_stop_of_this_host_does_not_complete_an_answer(self):
        async def stop(listening, writer, forwarder):
            await forwarder.stop()

        outcome = self.run_async(self.ask(stop))
        self.assertIsInstance(outcome, outcomes.Unknown)

    def test_a_sound_answer_is_whole(self):
        async def end(listening, writer, forwarder):
            writer.close()

        outcome = self.run_async(self.ask(end))
        self.assertIsInstance(outcome, outcomes.Answered)


class FailedRelayTest(support.TestCase):
    def test_an_error_in_a_relayed_answer_does_not_complete_it(self):
        """Guards against the HTTP server ending answers whose handlers failed."""

        async def call_for_host(method, target, body, *, sink):
            await sink.begin(200, 0)
            await sink.write(b"half")
            raise RuntimeError("a fault")

        store = types.SimpleNamespace(
            is_store_reachable=True, call_for_host=call_for_host
        )

        async def scenario():
            listener = server.Server(name=f"relay-{id(self)}", **gateway_site.LIMITS)
            relay.add_routes(listener.app, client=store)
            await listener.start("127.0.0.1", 0)
            try:
                async with aiohttp.ClientSession() as session:
                    url = f"http://127.0.0.1:{listener.port}{names.GET_PATH}"
                    async with session.get(url) as response:
                        self.assertEqual(200, response.status)
                        with testtools.ExpectedException(aiohttp.ClientPayloadError):
                            await response.read()
            finally:
                await listener.stop()

        self.run_async(scenario())
