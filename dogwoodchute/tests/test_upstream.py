"""Connections to endpoints that send too many bytes, too few, or garbage."""

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


def make_call():
    request = calls.Request(
        "a1", "h", "GET", "/x", "", (("Host", "h"),), b"", None, 2.0, None, None
    )
    call = calls.Call(request=request, reply=None, received=clock.monotonic())
    call.route = ROUTE
    call.service = model.Service("s", None)
    return call


@contextlib.asynccontextmanager
async def endpoint(answers, *, reset=False):
    """Serve raw answers in order.

    Each answer comes with whether the connection is closed after it. Yields the client
    side, the endpoint, and the connections that the endpoint accepted.
    """
    accepted = []

    async def serve(reader, writer):
        accepted.append(writer)
        while answers:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                writer.close()
                return
            answer, closes = answers.pop(0)
            writer.write(answer)
            await writer.drain()
            if closes:
                if reset:
                    await asyncio.sleep(0.05)
                    # With a linger time of 0 the close sends a reset.
                    sock = writer.get_extra_info("socket")
                    linger = struct.pack("ii", 1, 0)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.transport.abort()
                writer.close()
                return

    listening = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = listening.sockets[0].getsockname()[1]
    target = model.Endpoint("e1", "s", f"127.0.0.1:{port}", "z1", model.READY, 4)
    connections = upstream.Upstream(wire=egress.wire_format())
    await connections.start()
    try:
        yield connections, target, accepted
    finally:
        await connections.stop()
        listening.close()


class UpstreamTest(support.TestCase):
    async def ask(self, connections, target):
        answer = await connections.send(
            make_call(), target, time_left=1.0, last_event_id=None
        )
        if not isinstance(answer, upstream.Answer):
            return answer
        body = await answer.read_body("e1")
        if not isinstance(body, upstream.Lost):
            answer.release()
        answer.close()
        return body

    def test_a_connection_is_used_again(self):
        async def scenario():
            async with endpoint([(SIZED, False)] * 2) as (
                connections,
                target,
                accepted,
            ):
                self.assertEqual(b"ok", await self.ask(connections, target))
                self.assertEqual(b"ok", await self.ask(connections, target))
                self.assertEqual(1, len(accepted))

        self.run_async(scenario())

    def test_a_long_answer_goes_on_after_its_reader_was_full(self):
        """The parser buffers bytes while the reader is full and must continue later."""

        async def scenario():
            body = bytes(range(256)) * 16384
            sized = HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
            chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
            chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk
            small = b"1\r\nx\r\n" * 200_000 + b"0\r\n\r\n"
            tiny = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + small
            cases = [(sized + body, body), (chunked, body), (tiny, b"x" * 200_000)]
            for sent, expected in cases:
                async with endpoint([(sent, False)]) as (connections, target, _):
                    answer = await connections.send(
                        make_call(), target, time_left=1.0, last_event_id=None
                    )
                    await asyncio.sleep(0.1)
                    received = b""
                    while data := await asyncio.wait_for(answer.read_chunk("e1"), 5.0):
                        self.assertIsInstance(data, bytes)
                        received += data
                        await asyncio.sleep(0.001)
                    self.assertEqual(expected, received)
                    answer.close()

        self.run_async(scenario())

    def test_after_unasked_bytes_a_connection_is_not_used_again(self):
        async def scenario():
            answers = [(SIZED + SIZED, False), (SIZED, False)]
            async with endpoint(answers) as (connections, target, accepted):
                self.assertEqual(b"ok", await self.ask(connections, target))
                await asyncio.sleep(0.05)
                self.assertEqual(b"ok", await self.ask(connections, target))
                self.assertEqual(2, len(accepted))

        self.run_async(scenario())

    def test_a_body_without_length_is_whole_only_if_closed_in_order(self):
        """And only if its endpoint answers a question afterwards."""

        async def scenario():
            unframed = HEAD + b"\r\nrest"
            answers = [(unframed, True), (SIZED, True)]
            async with endpoint(answers) as (connections, target, _):
                self.assertEqual(b"rest", await self.ask(connections, target))
            async with endpoint([(unframed, True)]) as (connections, target, _):
                body = await self.ask(connections, target)
                self.assertIsInstance(body, upstream.Lost)
            answers = [(unframed, True), (SIZED, True)]
            async with endpoint(answers, reset=True) as (connections, target, _):
                body = await self.ask(connections, target)
                self.assertIsInstance(body, upstream.Lost)

        self.run_async(scenario())

    def test_a_short_body_and_a_closed_connection_are_lost(self):
        async def scenario():
            short = HEAD + b"Content-Length: 9\r\n\r\nok"
            for answer in (short, b"", b"garbage\r\n\r\n"):
                async with endpoint([(answer, True)]) as (connections, target, _):
                    body = await self.ask(connections, target)
                    self.assertIsInstance(body, upstream.Lost, answer)

        self.run_async(scenario())

    def test_an_endpoint_that_does_not_listen_was_not_sent_anything(self):
        async def scenario():
            async with endpoint([]) as (connections, target, _):
                unused = target._replace(address="127.0.0.1:1")
                body = await self.ask(connections, unused)
                self.assertIsInstance(body, upstream.NotSent)

        self.run_async(scenario())

    def test_the_endpoints_idle_timeout_is_kept(self):
        async def scenario():
            short = SIZED.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=0\r\n\r\n")
            answers = [(short, False), (SIZED, False)]
            async with endpoint(answers) as (connections, target, accepted):
                await self.ask(connections, target)
                await self.ask(connections, target)
                self.assertEqual(2, len(accepted))

        self.run_async(scenario())
