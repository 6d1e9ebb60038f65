"""Calls must not wait for bytes that no longer affect their outcome."""

import asyncio
import contextlib
import time

from dogwoodchute import clock, server
from dogwoodchute.gateway import rows
from dogwoodchute.gateway.accounts import account_rows, reclaim
from dogwoodchute.platform import relay, store, store_rows, transport
from dogwoodchute.standins import row_store
from dogwoodchute.tests import gateway_site, support, test_reclaim

REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nX-Dogwoodchute-Attempt-Id: a1\r\n"
    b"X-Dogwoodchute-Not-Executed: 1\r\nContent-Length: 10\r\n\r\n"
)
MISDIRECTED = b"HTTP/1.1 421 Misdirected\r\nContent-Length: 10\r\n\r\n"
AT_ONCE = 1.0  # seconds
LIMITS = {"body_bytes": 1 << 20, "header_bytes": 16384, "idle_timeout": 30.0}


class HalfRefusal:
    """An endpoint that sends the head of a refusal and never the announced body."""

    def __init__(self, head):
        self._head = head
        self.requests = 0

    async def start(self):
        self._listening = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._listening.sockets[0].getsockname()[1]

    def stop(self):
        self._listening.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            writer.write(self._head)
            await writer.drain()
            await reader.read()
        writer.close()


class HalfRefusalTest(support.TestCase):
    def seconds(self, path, service, head, *, beside):
        """Return the seconds until the answer, its status, and the refused requests.

        With `beside` there is a second endpoint that serves the request.
        """

        async def scenario():
            site = gateway_site.Site()
            site.put("op", "config", gateway_site.config())
            await site.add_endpoint(
                "other", "plain" if service != "plain" else "engines"
            )
            refusing = HalfRefusal(head)
            if beside:
                await site.add_endpoint("z-sound", service)
            site.register("a-half", service, await refusing.start())
            await site.start()
            try:
                for _ in range(20):
                    site.host_process.gateway.count_request(service)
                began = time.monotonic()
                status, _, _ = await site.ask(path)
                return time.monotonic() - began, status, refusing.requests
            finally:
                refusing.stop()
                await site.stop()

        return self.run_async(scenario())

    def test_a_refused_call_goes_elsewhere_at_once(self):
        for path, service in (("/look/x", "plain"), ("/s/stream", "engines")):
            took, status, requests = self.seconds(path, service, REFUSAL, beside=True)
            self.assertEqual(1, requests, path)
            self.assertEqual(200, status, f"{path} after {took:.2f} s")
            self.assertLess(took, AT_ONCE, path)

    def test_a_call_that_is_refused_by_all_is_answered_at_once(self):
        took, status, _ = self.seconds("/order/x", "plain", REFUSAL, beside=False)
        self.assertEqual(503, status)
        self.assertLess(took, AT_ONCE)

    def test_a_misdirected_call_goes_elsewhere_at_once(self):
        took, status, requests = self.seconds(
            "/order/x", "plain", MISDIRECTED, beside=True
        )
        self.assertEqual(1, requests)
        self.assertEqual(200, status, f"after {took:.2f} s")
        self.assertLess(took, AT_ONCE)


class RelayTest(support.TestCase):
    def test_a_large_row_comes_through_a_relay_with_a_narrow_link(self):
        """As on the direct path, a transfer restarted by each call never finishes."""

        async def scenario():
            row_table = row_store.RowStore(now=clock.monotonic)
            row_table.commit("", [], [rows.Put("t", "k", b"v" * 30_000)])
            servers = [
                server.Server(name=f"r{n}-{id(row_table)}", **LIMITS) for n in range(3)
            ]
            narrow, closed, relaying = servers
            slow = row_store.Fault(bytes_per_second=20_000)
            refuse = row_store.Fault(status=503)
            row_store.add_routes(narrow.app, row_table, faults=lambda kind: slow)
            row_store.add_routes(closed.app, row_table, faults=lambda kind: refuse)
            await narrow.start("127.0.0.1", 0)
            await closed.start("127.0.0.1", 0)
            direct = store.Client(
                address=f"127.0.0.1:{narrow.port}",
                relays=lambda: [],
                now=clock.monotonic,
            )
            relay.add_routes(relaying.app, client=direct)
            await relaying.start("127.0.0.1", 0)
            client = store.Client(
                address=f"127.0.0.1:{closed.port}",
                relays=lambda: [f"127.0.0.1:{relaying.port}"],
                now=clock.monotonic,
            )
            try:
                outcomes = []
                for _ in range(3):
                    outcomes.append(
                        await store_rows.open_store(client).read("t", "", None, None)
                    )
                    await asyncio.sleep(0.5)
                self.assertTrue(
                    any(isinstance(each, rows.Rows) for each in outcomes), outcomes
                )
            finally:
                await client.close()
                await direct.close()
                for each in servers:
                    await each.stop()

        self.run_async(scenario())

    def test_a_row_that_breaks_off_behind_a_relay_is_not_taken_for_whole(self):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"rows": []}')
            await writer.drain()
            writer.close()

        async def scenario():
            breaking = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = breaking.sockets[0].getsockname()[1]
            direct = store.Client(
                address=f"127.0.0.1:{port}", relays=lambda: [], now=clock.monotonic
            )
            relaying = server.Server(name=f"r-{id(direct)}", **LIMITS)
            relay.add_routes(relaying.app, client=direct)
            await relaying.start("127.0.0.1", 0)
            client_transport = transport.Transport()
            call = transport.Call("GET", "/api/rows-get?table=t", b"", 1.0, 1.0)
            try:
                outcome = await client_transport.send(
                    f"127.0.0.1:{relaying.port}", call
                )
                self.assertIsInstance(outcome, transport.NoAnswer)
            finally:
                await client_transport.close()
                await direct.close()
                await relaying.stop()
                breaking.close()

        self.run_async(scenario())


class ReclaimTest(support.TestCase):
    def test_one_contended_account_does_not_hold_up_the_others(self):
        part = account_rows.part_of("acc0")
        names = [
            f"acc{n}" for n in range(60) if account_rows.part_of(f"acc{n}") == part
        ]
        site = test_reclaim.Site(accounts=names[:8], names=test_reclaim.HOSTS)
        first = min(names[:8])
        plain = row_store.in_process_client(site.store, faults=site.inject_fault)
        closed = {}

        async def commit(part, checks, puts):
            account = checks[0].key
            if account == first:  # other hosts draw from it all the time
                site.put(account, account_rows.ACCOUNTS, account, [1, 0])
            found = await plain.commit(part, checks, puts)
            if isinstance(found, rows.Committed):
                closed[account] = site.loop.time()
            return found

        reclaimer = reclaim.Reclaimer(
            store=plain._replace(commit=commit),
            registered=lambda: site.newest,
            is_responsible_for=lambda each: each == part,
            now=site.loop.time,
        )
        began = site.loop.time()
        site.run(reclaimer, 30.0)
        late = {name: round(at - began, 2) for name, at in closed.items()}
        self.assertEqual(7, len(closed), late)
        self.assertLess(max(late.values()), 2.0, late)

    def test_tokens_of_a_commit_that_landed_late_come_back(self):
        """A killed process sent it; it applied after the next process registered."""
        site = test_reclaim.Site(accounts=["ann"], names=test_reclaim.HOSTS[:1])
        for _ in range(2):
            site.hold("ann", "edge-0-old")
        site.run(site.reclaimer(), 10.0)
        self.assertEqual([], site.held())
