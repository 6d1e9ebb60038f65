"""The client of the platform's store over loopback, and the relay of other hosts."""

import asyncio
import contextlib

from dogwoodchute import clock, server
from dogwoodchute.gateway import rows
from dogwoodchute.platform import backpressure, relay, store, store_rows, transport
from dogwoodchute.standins import row_store
from dogwoodchute.tests import support

LIMITS = {"body_bytes": 1 << 20, "header_bytes": 16384, "idle_timeout": 30.0}
PUT = rows.Put("t", "k", b"v")


class Setup:
    """A store, a host that relays, and a host whose path to the store may fail.

    The store has two listeners. The relay's host uses the one without faults.
    """

    def __init__(self):
        self.rows = row_store.RowStore(now=clock.monotonic)
        self.fault = row_store.NO_FAULT  # of the other listener
        self.faulty_kind = None  # the only kind of call with the fault, None for all
        self.relays = []

    def inject_fault(self, kind):
        return self.fault if self.faulty_kind in (None, kind) else row_store.NO_FAULT


@contextlib.asynccontextmanager
async def running():
    setup = Setup()
    servers = [server.Server(name=f"s{n}-{id(setup)}", **LIMITS) for n in range(3)]
    good, faulty, relaying = servers
    row_store.add_routes(good.app, setup.rows)
    row_store.add_routes(faulty.app, setup.rows, faults=setup.inject_fault)
    await good.start("127.0.0.1", 0)
    await faulty.start("127.0.0.1", 0)
    direct = store.Client(
        address=f"127.0.0.1:{good.port}", relays=lambda: [], now=clock.monotonic
    )
    relay.add_routes(relaying.app, client=direct)
    await relaying.start("127.0.0.1", 0)
    setup.relay = f"127.0.0.1:{relaying.port}"
    setup.client = store.Client(
        address=f"127.0.0.1:{faulty.port}",
        relays=lambda: setup.relays,
        now=clock.monotonic,
    )
    setup.store = store_rows.open_store(setup.client)
    try:
        yield setup
    finally:
        await setup.client.close()
        await direct.close()
        for each in servers:
            await each.stop()


class StoreClientTest(support.TestCase):
    def test_rows_are_written_under_conditions_and_read(self):
        async def scenario():
            async with running() as setup:
                first = await setup.store.commit("p", [rows.Check("t", "k", 0)], [PUT])
                self.assertEqual(rows.Committed(version=1), first)
                again = await setup.store.commit("p", [rows.Check("t", "k", 0)], [PUT])
                self.assertIsInstance(again, rows.Conflict)
                self.assertEqual(b"v", again.rows[0].value)
                found = await setup.store.read("t", "p", "k", "l")
                self.assertEqual([("k", b"v", 1)], [row[:3] for row in found.rows])
                self.assertLessEqual(setup.store.now(), clock.monotonic())

        self.run_async(scenario())

    def test_a_feed_waits_for_changes_and_reports_lost_history(self):
        async def scenario():
            async with running() as setup:
                waiting = asyncio.create_task(setup.store.feed("t", 0, 1.0))
                await asyncio.sleep(0.05)
                setup.rows.commit("", [], [PUT])
                changed = await waiting
                self.assertEqual([b"v"], [row.value for row in changed.rows])
                setup.rows.commit("", [], [rows.Put("t", "k", None)])
                removed = await setup.store.feed("t", changed.version, 0.0)
                self.assertEqual([None], [row.value for row in removed.rows])
                setup.rows.forget_history()
                lost = await setup.store.feed("t", 0, 0.0)
                self.assertEqual(rows.Compacted(), lost)

        self.run_async(scenario())

    def test_a_refused_commit_has_no_effect_and_a_lost_one_may_have(self):
        async def scenario():
            async with running() as setup:
                for status in (429, 503):
                    setup.fault = row_store.Fault(status=status)
                    outcome = await setup.store.commit("p", [], [PUT])
                    self.assertIsInstance(outcome, rows.Unavailable)
                await asyncio.sleep(1.3)
                setup.fault = row_store.Fault(lose_answer=True)
                outcome = await setup.store.commit("p", [], [PUT])
                self.assertIsInstance(outcome, rows.Unknown)
                self.assertEqual(1, setup.rows.version)

        self.run_async(scenario())

    def test_a_host_that_is_turned_away_goes_through_another(self):
        async def scenario():
            async with running() as setup:
                setup.relays = [setup.relay]
                setup.fault = row_store.Fault(status=503)
                outcome = await setup.store.commit("p", [], [PUT])
                self.assertEqual(rows.Committed(version=1), outcome)
                self.assertFalse(setup.client.is_store_reachable)
                found = await setup.store.read("t", "p", None, None)
                self.assertEqual(1, len(found.rows))
                setup.fault = row_store.NO_FAULT
                await asyncio.sleep(1.3)
                await setup.store.read("t", "p", None, None)
                self.assertTrue(setup.client.is_store_reachable)

        self.run_async(scenario())

    def test_a_host_that_gets_no_answers_finds_a_relay_after_one_timeout(self):
        """Connections that went silent together were to be told from a lost store."""

        async def scenario():
            async with running() as setup:
                setup.relays = [setup.relay]
                read = ("t", "p", None, None)
                await asyncio.gather(*(setup.store.read(*read) for _ in range(3)))
                setup.fault = row_store.Fault(silent=True)
                first = asyncio.create_task(setup.store.read(*read))
                await asyncio.sleep(store.CALL_TIMEOUT + 0.2)
                self.assertFalse(setup.client.is_store_reachable)
                found = await asyncio.wait_for(setup.store.read(*read), 0.5)
                self.assertIsInstance(found, rows.Rows)
                self.assertIsInstance(await first, rows.Rows)

        self.run_async(scenario())

    def test_too_many_commits_of_a_part_do_not_lose_the_store(self):
        """Guards against one overloaded partition stopping all use of the store.

        It once stopped the updates of configuration and endpoints, and heartbeats.
        """

        async def scenario():
            async with running() as setup:
                setup.relays = [setup.relay]
                setup.fault = row_store.Fault(status=429)
                setup.faulty_kind = "commit"
                for _ in range(4):
                    outcome = await setup.store.commit("p", [], [PUT])
                    self.assertEqual(
                        rows.Unavailable(reason="status 429", overloaded=True), outcome
                    )
                    started_at = clock.monotonic()
                    found = await setup.store.read("t", "p", None, None)
                    self.assertEqual([], found.rows)
                    self.assertLess(clock.monotonic() - started_at, 0.08)
                    self.assertTrue(setup.client.is_store_reachable)
                self.assertEqual(0, setup.rows.version)

        self.run_async(scenario())

    def test_commits_of_an_overloaded_part_wait_longer_and_longer(self):
        async def scenario():
            async with running() as setup:
                setup.fault = row_store.Fault(status=429)
                setup.faulty_kind = "commit"
                durations = []
                for _ in range(4):
                    started_at = clock.monotonic()
                    await setup.store.commit("p", [], [PUT])
                    await setup.store.read("t", "p", None, None)
                    durations.append(clock.monotonic() - started_at)
                self.assertGreater(durations[3], 0.2)
                started_at = clock.monotonic()
                await setup.store.commit("other", [], [PUT])
                self.assertLess(clock.monotonic() - started_at, 0.05)
                setup.fault = row_store.NO_FAULT
                await setup.store.commit("p", [], [PUT])
                started_at = clock.monotonic()
                await setup.store.commit("p", [], [PUT])
                self.assertLess(clock.monotonic() - started_at, 0.05)

        self.run_async(scenario())

    def test_a_pause_of_a_part_grows_though_timers_end_early(self):
        lane = backpressure.Lane()
        now = 0.0
        for _ in range(6):
            now += max(0.0, lane.remaining_pause(now) - 0.001)
            lane.extend_pause(now)
        self.assertGreater(lane.remaining_pause(now), 0.4)

    def test_a_host_that_is_refused_everything_as_too_much_finds_a_relay(self):
        async def scenario():
            async with running() as setup:
                setup.relays = [setup.relay]
                await setup.store.read("t", "p", None, None)
                setup.fault = row_store.Fault(status=429)
                refused = await setup.store.read("t", "p", None, None)
                self.assertIsInstance(refused, rows.Unavailable)
                outcome = await setup.store.commit("p", [], [PUT])
                self.assertEqual(rows.Committed(version=1), outcome)
                self.assertFalse(setup.client.is_store_reachable)
                found = await setup.store.read("t", "p", None, None)
                self.assertEqual(1, len(found.rows))
                setup.fault = row_store.NO_FAULT
                await asyncio.sleep(1.3)
                await setup.store.read("t", "p", None, None)
                self.assertTrue(setup.client.is_store_reachable)

        self.run_async(scenario())

    def test_a_call_that_hung_tells_nothing_of_a_path_that_answered_since(self):
        async def scenario():
            async with running() as setup:
                setup.fault = row_store.Fault(silent=True)
                hung = asyncio.create_task(setup.store.commit("p", [], [PUT]))
                await asyncio.sleep(0.1)
                setup.fault = row_store.NO_FAULT
                await setup.store.commit("p", [], [PUT])
                self.assertIsInstance(await hung, rows.Unknown)
                self.assertTrue(setup.client.is_store_reachable)

        asyncio.run(scenario())

    def test_a_large_row_over_a_narrow_link_is_not_begun_anew(self):
        """Hosts that restart the transfer never end it and delay all other calls."""

        async def scenario():
            async with running() as setup:
                setup.rows.commit("", [], [rows.Put("t", "k", b"v" * 30_000)])
                setup.fault = row_store.Fault(bytes_per_second=20_000)
                found = await setup.store.read("t", "", None, None)
                self.assertIsInstance(found, rows.Rows)
                changed = await setup.store.feed("t", 0, 0.0)
                self.assertIsInstance(changed, rows.Rows)
                self.assertTrue(setup.client.is_store_reachable)

        self.run_async(scenario())

    def test_a_table_counts_as_coming_in_only_while_its_bytes_come(self):
        """Else other hosts fetch it too, or wait for an answer that has stalled."""

        async def scenario():
            async with running() as setup:
                setup.rows.commit("", [], [rows.Put("t", "k", b"v" * 30_000)])
                setup.fault = row_store.Fault(bytes_per_second=40_000)
                reading = asyncio.create_task(setup.store.read("t", "", None, None))
                await asyncio.sleep(0.4)
                self.assertTrue(setup.store.receiving("t"))
                self.assertFalse(setup.store.receiving("other"))
                await reading
                self.assertFalse(setup.store.receiving("t"))

        self.run_async(scenario())

    def test_an_answer_that_stops_midway_is_given_up(self):
        async def scenario():
            async with running() as setup:
                setup.rows.commit("", [], [rows.Put("t", "k", b"v" * 30_000)])
                self.patch(row_store, "CHUNK_INTERVAL", 5.0)
                setup.fault = row_store.Fault(bytes_per_second=1_000)
                started_at = clock.monotonic()
                found = await setup.store.read("t", "", None, None)
                self.assertIsInstance(found, rows.Unavailable)
                self.assertLess(clock.monotonic() - started_at, 2 * store.CALL_TIMEOUT)

        self.run_async(scenario())

    def test_garbage_is_no_answer(self):
        async def scenario():
            async with running() as setup:
                setup.fault = row_store.Fault(status=200)
                found = await setup.store.read("t", "p", None, None)
                self.assertIsInstance(found, rows.Unavailable)
                outcome = await setup.store.commit("p", [], [PUT])
                self.assertIsInstance(outcome, rows.Unknown)

        self.run_async(scenario())

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

        async def scenario():
            listening = await asyncio.start_server(endless, "127.0.0.1", 0)
            port = listening.sockets[0].getsockname()[1]
            client = store.Client(
                address=f"127.0.0.1:{port}", relays=lambda: [], now=clock.monotonic
            )
            started_at = clock.monotonic()
            found = await store_rows.open_store(client).read("t", "", None, None)
            self.assertIsInstance(found, rows.Unavailable)
            self.assertIn("exceeds", found.reason)
            self.assertLess(clock.monotonic() - started_at, store.READ_TIMEOUT / 2)
            self.assertLess(sum(sent), 2 * transport.MAX_ANSWER_BYTES)
            await client.close()
            listening.close()

        self.run_async(scenario())
