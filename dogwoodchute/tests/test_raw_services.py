"""Plain services that write raw bytes: late copies, and answers that are cut off."""

import asyncio
import contextlib
import re
import socket
import struct

from dogwoodchute import forward, outcomes
from dogwoodchute.filters import dispatch
from dogwoodchute.standins import service
from dogwoodchute.tests import endpoints, support

REQUEST_ID = re.compile(rb"Idempotency-Key: (\w{32})", re.IGNORECASE)


class LateCopyTest(support.TestCase):
    """Endpoints of plain services that write raw bytes."""

    async def ask_twice(self, serve):
        """Send two idempotent calls; return their outcomes and exchanges."""
        listening = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        results = []
        async with endpoints.running(service.Service()) as (forwarder, endpoint):
            endpoint = endpoint._replace(address=f"127.0.0.1:{port}")
            for number in range(2):
                exchange = endpoints.order(
                    endpoint, endpoints.Caller(), idempotent=True
                )
                exchange.request_key = f"key-{number}"
                outcome = await dispatch.make(forwarder=forwarder)(exchange, None)
                results.append((outcome, exchange))
        listening.close()
        return results

    def late_copies(self, *, repeats_id):
        """Return an endpoint that writes each answer again before the next one."""

        async def serve(reader, writer):
            last = b""
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    await reader.readexactly(2)  # the body
                    request_id = REQUEST_ID.search(head).group(1)
                    line = b"Idempotency-Key: " + request_id + b"\r\n"
                    answer = (
                        b"HTTP/1.1 200 OK\r\nContent-Length: 32\r\n"
                        + (line if repeats_id else b"")
                        + b"\r\n"
                        + request_id
                    )
                    writer.write(last or answer)
                    await writer.drain()
                    last = answer
            writer.close()

        return serve

    def test_a_late_copy_is_not_taken_for_the_next_answer(self):
        """The next caller got an answer that wasn't its own."""
        for repeats_id in (False, True):
            results = self.run_async(
                self.ask_twice(self.late_copies(repeats_id=repeats_id))
            )
            for outcome, exchange in results:
                if not isinstance(outcome, outcomes.Answered):
                    continue
                own_id = forward.engine_request_id(exchange).encode()
                self.assertEqual([own_id], exchange.deferred_body, repeats_id)
            self.assertIsInstance(results[0][0], outcomes.Answered)

    def test_an_answer_without_length_that_is_reset_is_not_whole(self):
        """It reached the caller as a complete success."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
            await writer.drain()
            await asyncio.sleep(0.05)
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        for outcome, _ in self.run_async(self.ask_twice(serve)):
            self.assertIsInstance(outcome, outcomes.Unknown)

    def test_an_answer_whose_status_is_no_final_one_is_not_forwarded(self):
        for status in (b"000", b"099", b"101", b"600", b"999"):

            async def serve(reader, writer, status=status):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(
                    b"HTTP/1.1 " + status + b" X\r\nContent-Length: 2\r\n\r\nok"
                )
                await writer.drain()
                writer.close()

            for outcome, exchange in self.run_async(self.ask_twice(serve)):
                self.assertIsInstance(outcome, outcomes.Unknown, status)
                self.assertEqual([], exchange.deferred_body, status)
