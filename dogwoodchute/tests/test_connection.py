"""The metric of connections that a host closes before their end."""

import asyncio
import contextlib

import prometheus_client
import sanic

from dogwoodchute import server
from dogwoodchute.standins import attempt_endpoint
from dogwoodchute.tests import gateway_site, support


def cut_count(reason, stage):
    """Return the number of connections that were cut."""
    labels = {"reason": reason, "stage": stage}
    name = "dogwoodchute_connections_cut_total"
    return prometheus_client.REGISTRY.get_sample_value(name, labels) or 0


class CutTest(support.TestCase):
    def test_a_broken_answer_is_counted_with_its_reason(self):
        async def scenario():
            async with gateway_site.running() as site:
                site.endpoints["e1"].next_modes = [attempt_endpoint.BREAK]
                before = cut_count("abort", "response")
                with self.assertRaises(gateway_site.BROKEN):
                    await site.ask("/o/stream")
                self.assertEqual(before + 1, cut_count("abort", "response"))

        self.run_async(scenario())


HEAD_TIMEOUT = 0.4  # seconds of the server below
IDLE_TIMEOUT = 2.0  # seconds; half of it passes between its checks of a connection
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


@contextlib.asynccontextmanager
async def connected(*, answer_after=0.0):
    """Connect to a server with a short timeout of heads."""

    async def handle(request):
        await asyncio.sleep(answer_after)
        return sanic.text("done")

    limits = {**gateway_site.LIMITS, "idle_timeout": IDLE_TIMEOUT}
    listener = server.Server(name=f"heads-{id(handle)}", **limits)
    listener.set_limits(
        **limits, header_timeout=HEAD_TIMEOUT / server.HEAD_TIMEOUT_FACTOR
    )
    listener.app.add_route(handle, "/", name="handle")
    await listener.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
    try:
        yield reader, writer
    finally:
        writer.close()
        await listener.stop()


async def answer(reader):
    """Return the status of the next answer, after reading it whole."""
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
    await reader.readexactly(len("done"))
    return int(head.split()[1])


class HeadTest(support.TestCase):
    def test_a_head_that_does_not_end_is_given_up(self):
        async def scenario():
            async with connected() as (reader, writer):
                writer.write(REQUEST[:-2])
                self.assertEqual(b"", await asyncio.wait_for(reader.read(), 5.0))

        self.run_async(scenario())

    def test_the_time_of_a_head_counts_from_its_own_first_byte(self):
        """Guards against the first request's time on a connection that is used again:
        the second one's head comes in two parts around a check."""

        async def scenario():
            async with connected() as (reader, writer):
                for part in range(12):
                    writer.write(REQUEST[:-2])
                    await asyncio.sleep(0.2)
                    writer.write(REQUEST[-2:])
                    self.assertEqual(200, await answer(reader), part)

        self.run_async(scenario())

    def test_so_it_does_for_a_head_that_comes_behind_another_request(self):
        async def scenario():
            async with connected(answer_after=1.5) as (reader, writer):
                writer.write(REQUEST + REQUEST[:-2])
                self.assertEqual(200, await answer(reader))
                await asyncio.sleep(0.2)
                writer.write(REQUEST[-2:])
                self.assertEqual(200, await answer(reader))

        self.run_async(scenario())
