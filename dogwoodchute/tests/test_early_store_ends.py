"""Answers of the store and reports of engines that end early, by a close (FIN)."""

import contextlib
import itertools

from dogwoodchute import clock, server
from dogwoodchute.controllers import order_client
from dogwoodchute.gateway import rows
from dogwoodchute.platform import (
    http_client,
    names,
    relay,
    store,
    store_rows,
    table,
    transport,
)
from dogwoodchute.standins import engine
from dogwoodchute.tests import endpoints, raw_answers, support

JSON = b"Content-Type: application/json"
PAGE = b'{"rows": [], "ver": 7, "nowMs": 1000, "hasMore": false}'
STORE_BOUNDS = {"body_bytes": 1 << 20, "header_bytes": 16384, "idle_timeout": 30.0}
PROMPT = 1.0  # seconds in which a sound short answer is passed on, on a busy machine


class StoreTest(support.TestCase):
    """Answers of the platform's store, read directly or through another host."""

    @contextlib.asynccontextmanager
    async def relaying(self, *answers):
        """Run a host that relays calls to a store with raw answers.

        Yields the addresses of the store and of the host.
        """
        host = server.Server(name="relaying", **STORE_BOUNDS)
        async with raw_answers.serving(*answers) as (address, _):
            client = store.Client(
                address=address, relays=lambda: [], now=clock.monotonic
            )
            relay.add_routes(host.app, client=client)
            await host.start("127.0.0.1", 0)
            try:
                yield address, f"127.0.0.1:{host.port}"
            finally:
                await client.close()
                await host.stop()

    async def call(self, address, method):
        """Send a call; return the transport's outcome and what the store's does."""
        client = store.Client(address=address, relays=lambda: [], now=clock.monotonic)
        rows_of = store_rows.open_store(client)
        path = names.GET_PATH if method == "GET" else names.TX_PATH
        call = transport.Call(method, path, b"", 1.0, 1.0)
        sender = transport.Transport()
        try:
            sent = await sender.send(address, call)
            if method == "GET":
                return sent, await rows_of.read("t", "p", None, None)
            return sent, await rows_of.commit("p", [], [rows.Put("t", "k", b"v")])
        finally:
            await client.close()
            await sender.close()

    def check(self, answer, method, *, through_host):
        async def scenario():
            async with self.relaying(answer) as (direct, host):
                return await self.call(host if through_host else direct, method)

        return self.run_async(scenario())

    def test_a_part_without_a_length_is_no_answer(self):
        """Directly and through another host, which must not end it as complete."""
        for method, through_host in itertools.product(("GET", "POST"), (False, True)):
            for at in range(0, len(PAGE), 5):
                part = raw_answers.answer(PAGE[:at], JSON)
                sent, _ = self.check(part, method, through_host=through_host)
                self.assertIsInstance(sent, transport.NoAnswer, (method, through_host))

    def test_a_part_without_a_length_gives_no_rows_and_commits_nothing(self):
        for method, through_host in itertools.product(("GET", "POST"), (False, True)):
            for at in range(0, len(PAGE), 5):
                part = raw_answers.answer(PAGE[:at], JSON)
                _, outcome = self.check(part, method, through_host=through_host)
                expected = rows.Unavailable if method == "GET" else rows.Unknown
                self.assertIsInstance(outcome, expected)

    def test_an_answer_without_a_length_is_whole_once_it_is_closed(self):
        for method, through_host in itertools.product(("GET", "POST"), (False, True)):
            for headers in ((JSON,), ()):
                whole = raw_answers.answer(PAGE, *headers)
                began = clock.monotonic()
                _, outcome = self.check(whole, method, through_host=through_host)
                expected = rows.Rows if method == "GET" else rows.Committed
                self.assertIsInstance(outcome, expected)
                self.assertLess(clock.monotonic() - began, PROMPT)

    def test_a_refusal_needs_no_body(self):
        for status in (b"429 Too Many", b"503 Busy"):
            refusal = raw_answers.answer(b"", status=status)
            for through_host in (False, True):
                sent, outcome = self.check(refusal, "POST", through_host=through_host)
                self.assertTrue(transport.is_refusal(sent))
                self.assertIsInstance(outcome, rows.Unavailable)

    def test_a_part_of_a_service_s_answer_is_unknown(self):
        """The same of the wire format that `dogwoodchuted` speaks."""
        whole = b'{"committed": {"a": 1}}'

        async def scenario(part):
            async with raw_answers.serving(part) as (address, _):
                connection = http_client.Connection(address=address, timeout=1.0)
                client = http_client.table_client(connection)
                outcome = await client.commit("c1", [], [table.Write("a", {})])
                await connection.close()
                return outcome

        for at in range(len(whole)):
            outcome = self.run_async(scenario(raw_answers.answer(whole[:at])))
            self.assertIsInstance(outcome, table.Unknown, at)
        outcome = self.run_async(scenario(raw_answers.answer(whole)))
        self.assertEqual(table.Committed(versions={"a": 1}), outcome)


class ReportTest(support.TestCase):
    """What engines tell of themselves; a part of it must not be used."""

    def test_a_part_of_a_report_is_not_used(self):
        whole = b'{"state": {"models": ["m"]}, "usage": {"total_tokens": 123}}'

        async def scenario(part):
            async with (
                raw_answers.serving(part) as (address, _),
                endpoints.running(engine.Engine()) as (forwarder, _),
            ):
                engines = order_client.http_engines()
                reported = await engines.report(address)
                await engines.close()
                tokens = await forwarder._cancel(f"http://{address}", "id")
                return reported, tokens

        for at in range(len(whole)):
            reported, tokens = self.run_async(
                scenario(raw_answers.answer(whole[:at], JSON))
            )
            self.assertIsInstance(reported, order_client.NoAnswer)
            self.assertIsNone(tokens)
        reported, tokens = self.run_async(scenario(raw_answers.answer(whole, JSON)))
        self.assertEqual(({"models": ["m"]}, 123), (reported.state, tokens))
