"""What endpoints tell of themselves is read up to a limit (an operator's report)."""

import asyncio
import contextlib

import aiohttp

from dogwoodchute import bounded_read
from dogwoodchute.controllers import order_client
from dogwoodchute.tests import support

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
MAX_SENT = 64 * bounded_read.MAX_REPORT  # bytes, with those in the sockets' buffers


class Talker:
    """Sends a body without end to each request."""

    def __init__(self, *, body=b"x" * 65536):
        self.sent = 0  # bytes
        self._body = body
        self._listening = None

    async def start(self):
        self._listening = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._listening.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    def stop(self):
        self._listening.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD)
            while not writer.is_closing() and self.sent < MAX_SENT:
                writer.write(self._body)
                self.sent += len(self._body)
                await writer.drain()
        writer.close()


class BoundedReadTest(support.TestCase):
    def test_an_endless_body_is_given_up_at_the_limit(self):
        async def scenario():
            talker = Talker()
            address = await talker.start()
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"http://{address}/") as response,
            ):
                with self.assertRaisesRegex(aiohttp.ClientPayloadError, "exceeds"):
                    await bounded_read.read_report(response)
            self.assertLess(talker.sent, MAX_SENT)
            talker.stop()

        self.run_async(scenario())

    def test_an_engine_without_end_gives_no_answer_to_an_order(self):
        async def scenario():
            talker = Talker()
            address = await talker.start()
            engines = order_client.http_engines()
            answer = await engines.report(address)
            self.assertIsInstance(answer, order_client.NoAnswer)
            self.assertIn("exceeds", answer.reason)
            self.assertLess(talker.sent, MAX_SENT)
            await engines.close()
            talker.stop()

        self.run_async(scenario())
