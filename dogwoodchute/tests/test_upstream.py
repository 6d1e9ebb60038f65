"""Connections to endpoints that send too much, too little, or something else."""

import asyncio
import contextlib
import socket
import struct

from dogwoodchute import clock
from dogwoodchute.gateway import calls, model, upstream
from dogwoodchute.platform import egress
from dogwoodchute.tests import support

ROUTE = model.Route(
    "r", "h", "/", model.IDEMPOTENT, 3.0, 0.5, 0, (("s", 1),), 1, True, False
)
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Dogwoodchute-Attempt-Id: a1\r\n"
    b"X-Dogwoodchute-Response-Signature: s\r\n"
)
SIZED = HEAD + b"Content-Length: 2\r\n\r\nok"


def call():
    request = calls.Request(
        "a1", "h", "GET", "/x", "", (("Host", "h"),), b"", None, 2.0, None, None
    )
    made = calls.Call(request=request, reply=None, received=clock.monotonic())
    made.route = ROUTE
    made.service = model.Service("s", None)
    return made


@contextlib.asynccontextmanager
async def endpoint(answers, *, reset=False):
    """Serve raw answers in order; yields the endpoint and its connections' count."""
    opened = []

    async def serve(reader, writer):
        opened.append(writer)
        while answers:
            if not await reader.readuntil(b"\r\n\r\n"):
                return
            answer, closes = answers.pop(0)
            writer.write(answer)
            await writer.drain()
            if closes:
                if reset:
                    await asyncio.sleep(0.05)
                    # A close that lingers for no time sends a reset.
                    sock = writer.get_extra_info("socket")
                    linger = struct.pack("ii", 1, 0)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.transport.abort()
                writer.close()
                return

    listening = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = listening.sockets[0].getsockname()[1]
    known = model.Endpoint("e1", "s", f"127.0.0.1:{port}", "z1", model.READY, 4)
    connections = upstream.Upstream(wire=egress.wire_format())
    await connections.start()
    try:
        yield connections, known, opened
    finally:
        await connections.stop()
        listening.close()


class UpstreamTest(support.TestCase):
    async def ask(self, connections, known):
        answer = await connections.send(call(), known, left=1.0, last_event_id=None)
        if not isinstance(answer, upstream.Answer):
            return answer
        body = await answer.read_body("e1")
        if not isinstance(body, upstream.Lost):
            answer.release()
        answer.close()
        return body

    def test_a_connection_is_used_again(self):
        async def story():
            async with endpoint([(SIZED, False)] * 2) as (connections, known, opened):
                self.assertEqual(b"ok", await self.ask(connections, known))
                self.assertEqual(b"ok", await self.ask(connections, known))
                self.assertEqual(1, len(opened))

        self.run_async(story())

    def test_a_long_answer_goes_on_after_its_reader_was_full(self):
        """The parser keeps what it has while its reader is full, and is asked again."""

        async def story():
            body = bytes(range(256)) * 16384
            sized = HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
            chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
            chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk
            small = b"1\r\nx\r\n" * 200_000 + b"0\r\n\r\n"
            tiny = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + small
            kinds = [(sized + body, body), (chunked, body), (tiny, b"x" * 200_000)]
            for sent, wanted in kinds:
                async with endpoint([(sent, False)]) as (connections, known, _):
                    answer = await connections.send(
                        call(), known, left=1.0, last_event_id=None
                    )
                    await asyncio.sleep(0.1)
                    got = b""
                    while data := await asyncio.wait_for(answer.read_chunk("e1"), 5.0):
                        self.assertIsInstance(data, bytes)
                        got += data
                        await asyncio.sleep(0.001)
                    self.assertEqual(wanted, got)
                    answer.close()

        self.run_async(story())

    def test_after_unasked_bytes_a_connection_is_not_used_again(self):
        async def story():
            answers = [(SIZED + SIZED, False), (SIZED, False)]
            async with endpoint(answers) as (connections, known, opened):
                self.assertEqual(b"ok", await self.ask(connections, known))
                await asyncio.sleep(0.05)
                self.assertEqual(b"ok", await self.ask(connections, known))
                self.assertEqual(2, len(opened))

        self.run_async(story())

    def test_a_body_without_length_is_whole_only_if_closed_in_order(self):
        async def story():
            unframed = HEAD + b"\r\nrest"
            async with endpoint([(unframed, True)]) as (connections, known, _):
                self.assertEqual(b"rest", await self.ask(connections, known))
            answers = [(unframed, True)]
            async with endpoint(answers, reset=True) as (connections, known, _):
                body = await self.ask(connections, known)
                self.assertIsInstance(body, upstream.Lost)

        self.run_async(story())

    def test_a_short_body_and_a_closed_connection_are_lost(self):
        async def story():
            short = HEAD + b"Content-Length: 9\r\n\r\nok"
            for answer in (short, b"", b"garbage\r\n\r\n"):
                async with endpoint([(answer, True)]) as (connections, known, _):
                    body = await self.ask(connections, known)
                    self.assertIsInstance(body, upstream.Lost, answer)

        self.run_async(story())

    def test_an_endpoint_that_does_not_listen_was_not_sent_anything(self):
        async def story():
            async with endpoint([]) as (connections, known, _):
                gone = known._replace(address="127.0.0.1:1")
                body = await self.ask(connections, gone)
                self.assertIsInstance(body, upstream.NotSent)

        self.run_async(story())

    def test_the_endpoints_idle_timeout_is_kept(self):
        async def story():
            short = SIZED.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=0\r\n\r\n")
            answers = [(short, False), (SIZED, False)]
            async with endpoint(answers) as (connections, known, opened):
                await self.ask(connections, known)
                await self.ask(connections, known)
                self.assertEqual(2, len(opened))

        self.run_async(story())
