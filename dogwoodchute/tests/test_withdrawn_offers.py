"""Calls that are offered to a second endpoint, which is not needed after all."""

import asyncio
import contextlib

import aiohttp

from dogwoodchute.tests import gateway_site, raw_endpoint, support

FORMER_REQUESTS = 20  # requests, which add two retries to the retry budget
HEAD_AFTER = 0.5  # seconds; longer than an endpoint is waited for alone
HANGS = 60.0  # seconds to connect, unless the call is withdrawn before
BREAK_AFTER = 0.1  # seconds after that


class LateAndBroken:
    """An endpoint whose answers begin late and break off in the body."""

    def __init__(self):
        self.requests = 0
        self._listening = None

    async def start(self):
        """Listen; return the port."""
        self._listening = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._listening.sockets[0].getsockname()[1]

    def stop(self):
        self._listening.close()

    async def _serve(self, reader, writer):
        with (
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
            contextlib.closing(writer),
        ):
            head = await reader.readuntil(raw_endpoint.HEAD_END)
            self.requests += 1
            await asyncio.sleep(HEAD_AFTER)
            # The last byte never comes.
            writer.write(raw_endpoint.answer(head, body=b"part")[:-1])
            await writer.drain()
            await asyncio.sleep(BREAK_AFTER)


class WithdrawnOfferTest(support.TestCase):
    def test_an_endpoint_to_which_no_byte_was_sent_may_get_the_call_later(self):
        """The sound endpoint counted as tried, and the only retry as used: 502."""

        connect = aiohttp.TCPConnector.connect
        slow = []  # addresses to which the first connect takes too long

        async def connect_slowly(connector, request, traces, timeout):
            address = f"{request.url.host}:{request.url.port}"
            if address in slow:
                slow.remove(address)
                await asyncio.sleep(HANGS)
            return await connect(connector, request, traces, timeout)

        self.patch(aiohttp.TCPConnector, "connect", connect_slowly)

        async def scenario():
            site = gateway_site.Site()
            site.put("op", "config", gateway_site.config())
            await site.add_endpoint("sound", "plain")
            broken = LateAndBroken()
            # Of equally loaded endpoints the first by name is asked first.
            site.register("broken", "plain", await broken.start())
            await site.start()
            try:
                for _ in range(FORMER_REQUESTS):
                    site.host_process.gateway.count_request("plain")
                slow.append(site.addresses["sound"])
                status, _, body = await site.ask("/look/x")
                self.assertEqual(1, broken.requests)
                self.assertEqual([], slow)
                self.assertEqual((200, b"answer of sound"), (status, body))
                self.assertEqual(["a1"], site.endpoints["sound"].runs)
            finally:
                broken.stop()
                await site.stop()

        self.run_async(scenario())
