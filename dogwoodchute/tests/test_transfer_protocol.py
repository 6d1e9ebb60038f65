"""Requesting tokens from another host over loopback."""

import asyncio
import contextlib

from dogwoodchute import clock, server
from dogwoodchute.gateway.accounts import transfer_protocol
from dogwoodchute.tests import support

LIMITS = {"body_bytes": 1 << 20, "header_bytes": 16384, "idle_timeout": 30.0}


@contextlib.asynccontextmanager
async def client_and_host(taken=None, now=clock.monotonic):
    """Yield a client, a host's address, and an event that makes the host hang."""
    hanging = asyncio.Event()
    taken = [] if taken is None else taken

    async def transfer_out(account, requested):
        if hanging.is_set():
            await asyncio.sleep(60)
        return requested

    def take_back(account, tokens):
        taken.append((account, tokens))
        return account != "refused"

    listener = server.Server(name=f"control-{id(hanging)}", **LIMITS)
    transfer_protocol.add_routes(
        listener.app, transfer_out=transfer_out, take_back=take_back
    )
    await listener.start("127.0.0.1", 0)
    client = transfer_protocol.TransferClient(now=now)
    try:
        yield client, f"127.0.0.1:{listener.port}", hanging
    finally:
        await client.close()
        await listener.stop()


class TransferClientTest(support.TestCase):
    def test_a_host_that_does_not_answer_costs_its_time_out_once(self):
        """Each request waited for that host again and had no time to try another."""

        async def scenario():
            seconds = 0.0
            running = client_and_host(now=lambda: seconds)
            async with running as (client, address, hanging):
                self.assertEqual(5, await client.request(address, "ann", 5))
                hanging.set()
                self.assertIsNone(await client.request(address, "ann", 5))
                began = clock.monotonic()
                for _ in range(10):
                    self.assertIsNone(await client.request(address, "ann", 5))
                self.assertLess(
                    clock.monotonic() - began, transfer_protocol.REQUEST_TIMEOUT
                )
                hanging.clear()
                seconds = transfer_protocol.FIRST_PAUSE - 0.001
                self.assertIsNone(await client.request(address, "ann", 5))
                seconds = transfer_protocol.FIRST_PAUSE
                self.assertEqual(5, await client.request(address, "ann", 5))
                self.assertEqual(5, await client.request(address, "bob", 5))

        self.run_async(scenario())

    def test_what_a_host_does_not_take_back_is_known(self):
        """Tokens must neither be lost in calm nor counted on two hosts."""

        async def scenario():
            taken = []
            async with client_and_host(taken) as (client, address, _):
                self.assertFalse(await client.give_back(address, "ann", 7))
                self.assertTrue(await client.give_back(address, "refused", 7))
                self.assertTrue(await client.give_back("127.0.0.1:1", "ann", 7))
                self.assertEqual([("ann", 7), ("refused", 7)], taken)

        self.run_async(scenario())
