"""The client of the platform's store over loopback, and the relay of other hosts."""

import asyncio
import contextlib

from dogwoodchute import clock, server
from dogwoodchute.gateway import rows
from dogwoodchute.platform import relay, store, transport
from dogwoodchute.standins import row_store
from dogwoodchute.tests import support

LIMITS = {"body_bytes": 1 << 20, "header_bytes": 16384, "idle_timeout": 30.0}
PUT = rows.Put("t", "k", b"v")


class Site:
    """A store, a host that relays, and a host whose path to the store may fail."""

    def __init__(self):
        self.rows = row_store.RowStore(now=clock.monotonic)
        self.fault = row_store.NO_FAULT  # of the second listener of the store
        self.only = None  # the one kind of call that has the fault
        self.relays = []

    def fault_of(self, kind):
        return self.fault if self.only in (None, kind) else row_store.NO_FAULT


@contextlib.asynccontextmanager
async def running():
    site = Site()
    servers = [server.Server(name=f"s{n}-{id(site)}", **LIMITS) for n in range(3)]
    good, faulty, relaying = servers
    row_store.add_routes(good.app, site.rows)
    row_store.add_routes(faulty.app, site.rows, faults=site.fault_of)
    await good.start("127.0.0.1", 0)
    await faulty.start("127.0.0.1", 0)
    direct = store.Client(
        address=f"127.0.0.1:{good.port}", relays=lambda: [], now=clock.monotonic
    )
    relay.add_routes(relaying.app, client=direct)
    await relaying.start("127.0.0.1", 0)
    site.relay = f"127.0.0.1:{relaying.port}"
    site.client = store.Client(
        address=f"127.0.0.1:{faulty.port}",
        relays=lambda: site.relays,
        now=clock.monotonic,
    )
    site.store = store.store(site.client)
    try:
        yield site
    finally:
        await site.client.close()
        await direct.close()
        for each in servers:
            await each.stop()


class StoreClientTest(support.TestCase):
    def test_rows_are_written_under_conditions_and_read(self):
        async def story():
            async with running() as site:
                done = await site.store.commit("p", [rows.Check("t", "k", 0)], [PUT])
                self.assertEqual(rows.Committed(version=1), done)
                again = await site.store.commit("p", [rows.Check("t", "k", 0)], [PUT])
                self.assertIsInstance(again, rows.Conflict)
                self.assertEqual(b"v", again.rows[0].value)
                found = await site.store.read("t", "p", "k", "l")
                self.assertEqual([("k", b"v", 1)], [row[:3] for row in found.rows])
                self.assertLessEqual(site.store.now(), clock.monotonic())

        self.run_async(story())

    def test_a_feed_waits_for_changes_and_tells_lost_history(self):
        async def story():
            async with running() as site:
                waiting = asyncio.create_task(site.store.feed("t", 0, 1.0))
                await asyncio.sleep(0.05)
                site.rows.commit("", [], [PUT])
                changed = await waiting
                self.assertEqual([b"v"], [row.value for row in changed.rows])
                site.rows.commit("", [], [rows.Put("t", "k", None)])
                removed = await site.store.feed("t", changed.version, 0.0)
                self.assertEqual([None], [row.value for row in removed.rows])
                site.rows.forget_history()
                lost = await site.store.feed("t", 0, 0.0)
                self.assertEqual(rows.Compacted(), lost)

        self.run_async(story())

    def test_a_refused_commit_has_no_effect_and_a_lost_one_may_have(self):
        async def story():
            async with running() as site:
                for status in (429, 503):
                    site.fault = row_store.Fault(status=status)
                    outcome = await site.store.commit("p", [], [PUT])
                    self.assertIsInstance(outcome, rows.Unavailable)
                await asyncio.sleep(1.3)
                site.fault = row_store.Fault(lose=True)
                outcome = await site.store.commit("p", [], [PUT])
                self.assertIsInstance(outcome, rows.Unknown)
                self.assertEqual(1, site.rows.version)

        self.run_async(story())

    def test_a_host_that_is_turned_away_goes_through_another(self):
        async def story():
            async with running() as site:
                site.relays = [site.relay]
                site.fault = row_store.Fault(status=503)
                outcome = await site.store.commit("p", [], [PUT])
                self.assertEqual(rows.Committed(version=1), outcome)
                self.assertFalse(site.client.is_store_reachable)
                found = await site.store.read("t", "p", None, None)
                self.assertEqual(1, len(found.rows))
                site.fault = row_store.NO_FAULT
                await asyncio.sleep(1.3)
                await site.store.read("t", "p", None, None)
                self.assertTrue(site.client.is_store_reachable)

        self.run_async(story())

    def test_too_many_commits_of_a_part_do_not_lose_the_store(self):
        """One overloaded part stopped configuration, endpoints and heartbeats."""

        async def story():
            async with running() as site:
                site.relays = [site.relay]
                site.fault = row_store.Fault(status=429)
                site.only = "commit"
                for _ in range(4):
                    outcome = await site.store.commit("p", [], [PUT])
                    self.assertEqual(
                        rows.Unavailable(reason="status 429", overloaded=True), outcome
                    )
                    began = clock.monotonic()
                    found = await site.store.read("t", "p", None, None)
                    self.assertEqual([], found.rows)
                    self.assertLess(clock.monotonic() - began, 0.08)
                    self.assertTrue(site.client.is_store_reachable)
                self.assertEqual(0, site.rows.version)

        self.run_async(story())

    def test_commits_of_an_overloaded_part_wait_longer_and_longer(self):
        async def story():
            async with running() as site:
                site.fault = row_store.Fault(status=429)
                site.only = "commit"
                waits = []
                for _ in range(4):
                    began = clock.monotonic()
                    await site.store.commit("p", [], [PUT])
                    await site.store.read("t", "p", None, None)
                    waits.append(clock.monotonic() - began)
                self.assertGreater(waits[3], 0.2)
                began = clock.monotonic()
                await site.store.commit("other", [], [PUT])
                self.assertLess(clock.monotonic() - began, 0.05)
                site.fault = row_store.NO_FAULT
                await site.store.commit("p", [], [PUT])
                began = clock.monotonic()
                await site.store.commit("p", [], [PUT])
                self.assertLess(clock.monotonic() - began, 0.05)

        self.run_async(story())

    def test_a_host_that_is_refused_everything_as_too_much_finds_a_relay(self):
        async def story():
            async with running() as site:
                site.relays = [site.relay]
                await site.store.read("t", "p", None, None)
                site.fault = row_store.Fault(status=429)
                refused = await site.store.read("t", "p", None, None)
                self.assertIsInstance(refused, rows.Unavailable)
                outcome = await site.store.commit("p", [], [PUT])
                self.assertEqual(rows.Committed(version=1), outcome)
                self.assertFalse(site.client.is_store_reachable)
                found = await site.store.read("t", "p", None, None)
                self.assertEqual(1, len(found.rows))
                site.fault = row_store.NO_FAULT
                await asyncio.sleep(1.3)
                await site.store.read("t", "p", None, None)
                self.assertTrue(site.client.is_store_reachable)

        self.run_async(story())

    def test_a_call_that_hung_tells_nothing_of_a_path_that_answered_since(self):
        async def story():
            async with running() as site:
                site.fault = row_store.Fault(silent=True)
                hung = asyncio.create_task(site.store.commit("p", [], [PUT]))
                await asyncio.sleep(0.1)
                site.fault = row_store.NO_FAULT
                await site.store.commit("p", [], [PUT])
                self.assertIsInstance(await hung, rows.Unknown)
                self.assertTrue(site.client.is_store_reachable)

        asyncio.run(story())

    def test_a_large_row_over_a_narrow_link_is_not_begun_anew(self):
        """Hosts that begin it anew never get it, and hold up all other calls."""

        async def story():
            async with running() as site:
                site.rows.commit("", [], [rows.Put("t", "k", b"v" * 30_000)])
                site.fault = row_store.Fault(rate=20_000)
                found = await site.store.read("t", "", None, None)
                self.assertIsInstance(found, rows.Rows)
                changed = await site.store.feed("t", 0, 0.0)
                self.assertIsInstance(changed, rows.Rows)
                self.assertTrue(site.client.is_store_reachable)

        self.run_async(story())

    def test_a_table_counts_as_coming_in_only_while_its_bytes_come(self):
        """Else other hosts fetch it too, or wait for an answer that is stuck."""

        async def story():
            async with running() as site:
                site.rows.commit("", [], [rows.Put("t", "k", b"v" * 30_000)])
                site.fault = row_store.Fault(rate=40_000)
                reading = asyncio.create_task(site.store.read("t", "", None, None))
                await asyncio.sleep(0.4)
                self.assertTrue(site.store.receiving("t"))
                self.assertFalse(site.store.receiving("other"))
                await reading
                self.assertFalse(site.store.receiving("t"))

        self.run_async(story())

    def test_an_answer_that_stops_midway_is_given_up(self):
        async def story():
            async with running() as site:
                site.rows.commit("", [], [rows.Put("t", "k", b"v" * 30_000)])
                self.patch(row_store, "SLOW_STEP", 5.0)
                site.fault = row_store.Fault(rate=1_000)
                began = clock.monotonic()
                found = await site.store.read("t", "", None, None)
                self.assertIsInstance(found, rows.Unavailable)
                self.assertLess(clock.monotonic() - began, 2 * store.CALL_TIMEOUT)

        self.run_async(story())

    def test_garbage_is_no_answer(self):
        async def story():
            async with running() as site:
                site.fault = row_store.Fault(status=200)
                found = await site.store.read("t", "p", None, None)
                self.assertIsInstance(found, rows.Unavailable)
                outcome = await site.store.commit("p", [], [PUT])
                self.assertIsInstance(outcome, rows.Unknown)

        self.run_async(story())

    def test_an_answer_without_end_is_given_up_at_a_bound(self):
        sent = []

        async def endless(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            with contextlib.suppress(ConnectionError), contextlib.closing(writer):
                while True:
                    writer.write(b"x" * 65536)
                    sent.append(65536)
                    await writer.drain()

        async def story():
            listening = await asyncio.start_server(endless, "127.0.0.1", 0)
            port = listening.sockets[0].getsockname()[1]
            client = store.Client(
                address=f"127.0.0.1:{port}", relays=lambda: [], now=clock.monotonic
            )
            began = clock.monotonic()
            found = await store.store(client).read("t", "", None, None)
            self.assertIsInstance(found, rows.Unavailable)
            self.assertIn("exceeds", found.reason)
            self.assertLess(clock.monotonic() - began, store.READ_TIMEOUT / 2)
            self.assertLess(sum(sent), 2 * transport.MAX_ANSWER_BYTES)
            await client.close()
            listening.close()

        self.run_async(story())
