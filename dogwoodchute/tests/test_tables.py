"""Tables that hosts copy from one another, over loopback sockets."""

import asyncio
import contextlib
import json
import pathlib
import socket

from dogwoodchute import clock, server
from dogwoodchute.gateway import model, rows
from dogwoodchute.gateway.following import mirror, table_copy, tables
from dogwoodchute.standins import row_store
from dogwoodchute.tests import gateway_site, support
from dogwoodchute.tools import dogwoodgate

HOSTS = 6
LIMITS = {"body_bytes": 1 << 20, "header_bytes": 16384, "idle_timeout": 30.0}
ENDPOINT = {
    "service": "plain",
    "address": "127.0.0.1:1",
    "zone": "z1",
    "slots": 8,
    "state": "ready",
    "sequence": 1,
}


def free_address():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


class Site:
    """A store and some hosts of one region.

    Each host reaches the store through a listener of its own, which can fail.
    """

    def __init__(self):
        self.store = row_store.RowStore(now=clock.monotonic)
        self.hosts = []  # processes
        self.faults = []  # by host, of its listener
        self.calls = []  # by host, kinds of its calls of the store
        self._servers = []

    def put(self, table, key, value):
        data = json.dumps(value).encode()
        self.store.commit("", [], [rows.Put(table, key, data)])

    async def add_host(self):
        number = len(self.hosts)
        self.faults.append(row_store.NO_FAULT)
        self.calls.append([])

        def fault(kind):
            self.calls[number].append(kind)
            return self.faults[number]

        listener = server.Server(name=f"store{number}-{id(self)}", **LIMITS)
        self._servers.append(listener)
        row_store.add_routes(listener.app, self.store, faults=fault)
        await listener.start("127.0.0.1", 0)
        host = dogwoodgate.Process(
            source=pathlib.Path("unused"),
            deployment=deployment(number, f"127.0.0.1:{listener.port}"),
            metrics_port=0,
        )
        self.hosts.append(host)
        await host.start()

    async def stop(self):
        await asyncio.gather(*(host.stop() for host in self.hosts))
        for each in self._servers:
            await each.stop()

    def config_versions(self):
        return {host.gateway.config_version for host in self.hosts}

    def readers(self):
        """Return the hosts that followed a table of the store since the last call.

        Reads are not counted: hosts read the rows of accounts too.
        """
        followers = [n for n, kinds in enumerate(self.calls) if "feed" in kinds]
        for kinds in self.calls:
            kinds.clear()
        return followers


def deployment(number, store):
    return model.Deployment(
        host=f"h{number}",
        data_centre="z1",
        region="r1",
        regions={"z1": "r1"},
        callers="127.0.0.1:0",
        readiness="127.0.0.1:0",
        control=free_address(),
        gossip="127.0.0.1:0",
        heartbeats="127.0.0.1:0",
        directory="127.0.0.1:0",
        seeds=(),
        store=store,
        bounds=model.Bounds(grace=3.0),
    )


@contextlib.asynccontextmanager
async def running():
    """Run a site, and wait until all hosts but the sources follow other hosts."""
    site = Site()
    site.put("op", "config", gateway_site.config())
    site.put("servers", "e1", ENDPOINT)
    for _ in range(HOSTS):
        await site.add_host()
    try:
        await support.until(lambda: all(host.gateway.ready() for host in site.hosts))
        await asyncio.sleep(3.5)  # until all rows have the state "ready"
        site.readers()
        yield site
    finally:
        await site.stop()


class TablesTest(support.TestCase):
    def test_only_the_sources_of_a_region_read_from_the_store(self):
        async def scenario():
            async with running() as site:
                await asyncio.sleep(1.5)
                self.assertEqual(3, len(site.readers()))
                site.put("op", "config", gateway_site.config(version=2))
                started_at = clock.monotonic()
                await support.until(lambda: site.config_versions() == {2})
                self.assertLess(clock.monotonic() - started_at, 2.5)
                self.assertEqual(3, len(site.readers()))

        self.run_async(scenario())

    def test_hosts_that_the_store_turns_away_get_tables_from_their_peers(self):
        async def scenario():
            async with running() as site:
                await asyncio.sleep(1.5)
                sources = site.readers()
                followers = [n for n in range(HOSTS) if n not in sources]
                for number in (sources[0], sources[1], followers[0]):
                    site.faults[number] = row_store.Fault(status=503)
                await asyncio.sleep(1.5)
                site.put("op", "config", gateway_site.config(version=2))
                started_at = clock.monotonic()
                await support.until(lambda: site.config_versions() == {2})
                self.assertLess(clock.monotonic() - started_at, 2.5)

        self.run_async(scenario())

    def test_a_source_that_stops_holds_no_configuration_back(self):
        async def scenario():
            async with running() as site:
                await asyncio.sleep(1.5)
                source = site.readers()[0]
                stopping = asyncio.create_task(site.hosts.pop(source).stop())
                await asyncio.sleep(0.1)
                site.put("op", "config", gateway_site.config(version=2))
                started_at = clock.monotonic()
                await support.until(lambda: site.config_versions() == {2})
                self.assertLess(clock.monotonic() - started_at, 2.5)
                await stopping

        self.run_async(scenario())


class CallTest(support.TestCase):
    """A single call between two hosts."""

    async def ask(self, changes_since, *, since=None, hold=0.0, handle=None):
        listener = server.Server(name=f"s-{id(changes_since)}", **LIMITS)
        if handle is None:
            tables.add_routes(listener.app, changes_since=changes_since)
        else:
            listener.app.add_route(handle, tables.PATH, methods=["POST"])
        await listener.start("127.0.0.1", 0)
        client = tables.Client()
        try:
            address = f"127.0.0.1:{listener.port}"
            return await client.ask(address, "t", since, hold)
        finally:
            await client.close()
            await listener.stop()

    def test_an_answer_is_as_old_as_the_copy_of_the_host(self):
        """Otherwise hosts that can't reach the store take old tables for new ones."""
        changes = table_copy.Changes(
            [rows.Row("a", b"1", 7), rows.Row("b", None, 8)], 9, is_snapshot=False
        )

        async def changes_since(table, since, hold):
            now = clock.monotonic()
            await asyncio.sleep(0.2)
            return mirror.TableUpdate(
                changes, now - 5.0, now - 40.0, now - 60.0, receiving=True
            )

        answer = self.run_async(self.ask(changes_since, since=3))
        self.assertEqual(changes, answer.changes)
        self.assertTrue(answer.receiving)
        self.assertGreaterEqual(answer.age, 5.2)
        self.assertLess(answer.age, 6.0)
        self.assertGreaterEqual(answer.seconds_current, 40.2)
        self.assertGreaterEqual(answer.seconds_since_return, 60.2)

    def test_a_host_that_knows_nothing_or_hangs_gives_no_answer(self):
        async def nothing(table, since, hold):
            return None

        async def hangs(table, since, hold):
            await asyncio.sleep(30)

        for changes_since in (nothing, hangs):
            started_at = clock.monotonic()
            answer = self.run_async(self.ask(changes_since, hold=0.2))
            self.assertIsInstance(answer, tables.NoAnswer)
            self.assertLess(clock.monotonic() - started_at, 1.5)

    def test_garbage_is_no_answer(self):
        bodies = [
            b"",
            b"\xc1",
            tables.msgpack.packb([1, 2]),
            tables.msgpack.packb([0.1, 0.1, 0.0, False, b"not compressed"]),
            tables.msgpack.packb([0.1, 0.1, 0.0, False, tables.zlib.compress(b"x")]),
        ]
        for body in bodies:

            async def handle(request, body=body):
                return tables.sanic.raw(body)

            answer = self.run_async(self.ask(body, handle=handle))
            self.assertIsInstance(answer, tables.NoAnswer, body)

    def test_what_many_hosts_lack_is_packed_once(self):
        packer = tables.Packer()
        changes = table_copy.Changes([rows.Row("a", b"1", 7)], 7, is_snapshot=False)
        first = packer.pack("t", 3, changes)
        self.assertIs(first, packer.pack("t", 3, changes))
        newer = changes._replace(version=8)
        self.assertNotEqual(first, packer.pack("t", 3, newer))
