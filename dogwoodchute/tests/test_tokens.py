"""Requesting tokens from another host over loopback."""

import asyncio
import contextlib

from dogwoodchute import clock, server
from dogwoodchute.gateway import tokens
from dogwoodchute.tests import support

LIMITS = {"body_bytes": 1 << 20, "header_bytes": 16384, "idle_timeout": 30.0}


@contextlib.asynccontextmanager
async def client_and_host():
    """Yield a client, a host's address, and an event that makes the host hang."""
    hanging = asyncio.Event()

    async def give(account, asked):
        if hanging.is_set():
            await asyncio.sleep(60)
        return asked

    listener = server.Server(name=f"control-{id(hanging)}", **LIMITS)
    tokens.add_routes(listener.app, give=give)
    await listener.start("127.0.0.1", 0)
    asker = tokens.Asker(now=clock.monotonic)
    try:
        yield asker, f"127.0.0.1:{listener.port}", hanging
    finally:
        await asker.close()
        await listener.stop()


class AskerTest(support.TestCase):
    def test_a_host_that_does_not_answer_costs_its_time_out_once(self):
        """Each request waited for that host again and had no time to try another."""

        async def scenario():
            async with client_and_host() as (asker, address, hanging):
                self.assertEqual(5, await asker.ask(address, "ann", 5))
                hanging.set()
                self.assertIsNone(await asker.ask(address, "ann", 5))
                began = clock.monotonic()
                for _ in range(10):
                    self.assertIsNone(await asker.ask(address, "ann", 5))
                self.assertLess(clock.monotonic() - began, tokens.ASK_TIMEOUT)
                hanging.clear()
                await asyncio.sleep(tokens.FIRST_PAUSE)
                self.assertEqual(5, await asker.ask(address, "ann", 5))
                self.assertEqual(5, await asker.ask(address, "bob", 5))

        self.run_async(scenario())
