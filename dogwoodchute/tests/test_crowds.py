"""Crowds that don't behave end no process, and ordinary callers are still served.

The machine's memory and descriptors, and the limits of requests, are lowered so that a
small crowd shows the fault.
"""

import asyncio
import contextlib

import aiohttp
import pytest

from dogwoodchute.tests import (
    crowds,
    gateway_process,
    gateway_site,
    support,
    test_endless_memory,
)

MEMORY_MB = 100  # of the machine; a host takes some 55 MB at rest
MEMORY = MEMORY_MB << 20  # bytes
DESCRIPTORS = 400  # of the machine
BODY = 1_000_000  # bytes that a request's body may have
HEAD = 16_000  # bytes that a request's head may have
COUNT = 100  # callers of a crowd
ROUTE = "/look/x"
NO_ROUTE = "/nowhere/x"


@contextlib.asynccontextmanager
async def running(**options):
    """Run a host's process on a small machine, with a plain endpoint and an engine."""
    limits = {"memoryMb": MEMORY_MB, "maxFds": DESCRIPTORS}
    gateway = gateway_process.GatewayProcess(limits=limits)
    config = gateway_site.config()
    config["limits"] = {"maxBodyBytes": BODY, "maxHeaderBytes": HEAD}
    gateway.put("op", "config", config)
    await gateway.add_endpoint("e1", "engines")
    plain = await gateway.add_endpoint("p1", "plain")
    try:
        await gateway.start()
        for name, value in options.items():
            setattr(plain, name, value)
        yield gateway
    finally:
        await gateway.stop()


class HostChecks(support.TestCase):
    """What must hold at a host beside a crowd, and after it."""

    async def check_host(self, gateway, ordinary):
        self.assertIsNone(gateway.process.poll(), "the process has ended")
        process = gateway.process.pid
        self.assertLess(crowds.descriptors(process), DESCRIPTORS)
        self.assertEqual(200, await self.ordinary_request(gateway, ordinary))
        self.assertLess(test_endless_memory.peak_memory(process), MEMORY)

    async def ordinary_request(self, gateway, path):
        """Return the status of one ordinary caller, who asks again after a refusal."""
        for number in range(40):
            attempt = f"ordinary{number}-{id(gateway)}"
            with contextlib.suppress(aiohttp.ClientError):
                status, _, _ = await gateway.ask(path, attempt=attempt)
                if status == 200:
                    return status
            await asyncio.sleep(0.25)
        return None


@pytest.mark.crowd
class CrowdTest(HostChecks):
    def check(
        self,
        *crowds_pieces,
        listener="callers",
        count=COUNT,
        ordinary=ROUTE,
        **options,
    ):
        """Let crowds come one after the other; check what must hold beside each."""

        async def scenario():
            async with running(**options) as gateway:
                address = gateway.address_of_listener(listener)
                for pieces in crowds_pieces:
                    async with crowds.Crowd(address, pieces, count=count):
                        await self.check_host(gateway, ordinary)
                await self.check_host(gateway, ordinary)

        self.run_async(scenario(), timeout=120.0)

    def test_bodies_in_one_piece_that_stop_short(self):
        self.check(crowds.body_in_one_piece(ROUTE, BODY))

    def test_bodies_in_small_pieces_that_stop_short(self):
        self.check(crowds.body_in_small_pieces(ROUTE, BODY))

    def test_bodies_in_chunks_that_stop_short(self):
        self.check(crowds.body_in_chunks(ROUTE, BODY))

    def test_bodies_behind_a_request_that_was_answered(self):
        answered = crowds.head(ROUTE, "Content-Length: 0", attempt="first")
        self.check([answered + each for each in crowds.body_in_one_piece(ROUTE, BODY)])

    def test_bodies_at_a_path_without_a_route(self):
        self.check(crowds.body_in_one_piece(NO_ROUTE, BODY))

    def test_bodies_at_the_address_that_says_ready(self):
        self.check(crowds.body_in_one_piece("/api/readyz", BODY), listener="readiness")

    def test_bodies_at_the_directory(self):
        self.check(crowds.body_in_one_piece("/api/resolve", BODY), listener="directory")

    def test_bodies_at_the_address_for_other_hosts(self):
        self.check(crowds.body_in_one_piece("/tokens", BODY), listener="control")

    def test_bodies_far_over_the_limit(self):
        self.check(crowds.endless_body(ROUTE, 20 * BODY))

    def test_heads_of_many_short_fields(self):
        """Each takes far more memory than it has bytes, as long as it is answered."""
        pieces = crowds.many_fields(ROUTE, HEAD - 1000)
        self.check(pieces, delay=60.0, ordinary="/s/stream")

    def test_requests_sent_ahead_without_reading_the_answers(self):
        self.check(crowds.requests_ahead(ROUTE, 3000), count=40)

    def test_large_answers_that_nobody_reads(self):
        self.check(
            [crowds.head(ROUTE, "Content-Length: 0")], extra_bytes=BODY, count=COUNT
        )

    def test_heads_that_stop_half_way(self):
        self.check([crowds.head(ROUTE)[:-2]], count=2 * DESCRIPTORS)

    def test_connections_that_send_nothing(self):
        for listener in ("callers", "readiness"):
            self.check([], count=2 * DESCRIPTORS, listener=listener)

    def test_a_single_request_inside_the_limits_is_served_in_calm(self):
        async def scenario():
            async with running() as gateway:
                for number, pieces in enumerate(
                    (
                        crowds.body_in_one_piece(ROUTE, BODY),
                        crowds.body_in_small_pieces(ROUTE, BODY),
                        crowds.many_fields(ROUTE, HEAD - 1000),
                    )
                ):
                    ip, _, port = gateway.address.rpartition(":")
                    reader, writer = await asyncio.open_connection(ip, int(port))
                    for piece in pieces:
                        writer.write(piece)
                    if number < 2:
                        writer.write(b"x")
                    line = await reader.readline()
                    self.assertIn(b"200", line)
                    writer.close()

        self.run_async(scenario())


@pytest.mark.crowd
class FleetCrowdTest(HostChecks):
    """A crowd at each of several hosts of one fleet, at the same time."""

    HOSTS = 3

    @contextlib.asynccontextmanager
    async def fleet(self):
        """Run hosts on one store; all have the endpoints of the first."""
        async with contextlib.AsyncExitStack() as stack:
            first = await stack.enter_async_context(running())
            hosts = [first]
            for number in range(1, self.HOSTS):
                host = gateway_process.GatewayProcess(
                    node=f"h{number + 1}",
                    limits={"memoryMb": MEMORY_MB, "maxFds": DESCRIPTORS},
                )
                stack.push_async_callback(host.stop)
                await host.start(store=first.store_address)
                hosts.append(host)
            yield hosts

    def test_bodies_at_all_hosts(self):
        pieces = crowds.body_in_small_pieces(ROUTE, BODY, piece=7000)

        async def scenario():
            async with self.fleet() as hosts, contextlib.AsyncExitStack() as stack:
                entering = [
                    stack.enter_async_context(
                        crowds.Crowd(host.address, pieces, count=COUNT)
                    )
                    for host in hosts
                ]
                await asyncio.gather(*entering)
                for host in hosts:
                    await self.check_host(host, ROUTE)

        self.run_async(scenario(), timeout=120.0)
