"""Answers that end early though their connection is closed as at a proper end (FIN)."""

import asyncio
import contextlib

import aiohttp

from dogwoodchute import clock, outcomes, peers, relays, sse
from dogwoodchute.coordination import claims
from dogwoodchute.filters import dispatch
from dogwoodchute.standins import engine, service, table as standin_table
from dogwoodchute.tests import endpoints, raw_answers, support

JSON = b"Content-Type: application/json"
TEXT = b"Content-Type: text/plain"
STREAM = b"Content-Type: text/event-stream"
CHUNKED = b"Transfer-Encoding: chunked"
PROMPT = 0.5  # seconds in which a sound short answer is passed on, on a busy machine


def event(number):
    """Return an event of a chat, with the tokens used so far."""
    usage = b'{"usage":{"total_tokens":%d}}' % (number + 1)
    return b"id: %d\ndata: %s\n\n" % (number, usage)


def chunked(body):
    """Return a body as one chunk and the last (empty) one."""
    return (b"%x\r\n%b\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"


class PlainTest(support.TestCase):
    def call(self, *answers, **fields):
        """Send a plain call to an endpoint with raw answers.

        Returns its outcome, the body that its caller gets and the seconds that it took.
        """

        async def scenario():
            async with (
                raw_answers.serving(*answers) as (address, _),
                endpoints.running(service.Service()) as (forwarder, endpoint),
            ):
                endpoint = endpoint._replace(address=address)
                exchange = endpoints.order(endpoint, endpoints.Caller(), **fields)
                began = clock.monotonic()
                outcome = await dispatch.make(forwarder=forwarder)(exchange, None)
                seconds = clock.monotonic() - began
                return outcome, b"".join(exchange.deferred_body), seconds

        return self.run_async(scenario())

    def assert_broken_off(self, outcome, body, *, may_rerun=False):
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertEqual("endpoint_failed", outcome.code)
        self.assertEqual(may_rerun, outcome.may_rerun)
        self.assertEqual(b"", body)

    def test_a_part_without_a_length_is_not_taken_for_the_whole(self):
        """The endpoint's process was killed, and its kernel closed the connection."""
        for headers in ((), (TEXT,), (JSON,)):
            for idempotent in (False, True):
                part = raw_answers.answer(b'{"order": ', *headers)
                outcome, body, _ = self.call(part, idempotent=idempotent)
                self.assert_broken_off(outcome, body, may_rerun=idempotent)

    def test_json_without_a_length_is_whole_once_it_is_closed(self):
        for whole in (b'{"order": [1, "\xc3\xa9"]}', b"[1, {}]", b'"stove"'):
            for at in range(len(whole)):
                outcome, body, _ = self.call(raw_answers.answer(whole[:at], JSON))
                self.assert_broken_off(outcome, body)
            outcome, body, seconds = self.call(raw_answers.answer(whole, JSON))
            self.assertEqual((200, 10), (outcome.status, outcome.tokens))
            self.assertEqual(whole, body)
            self.assertLess(seconds, PROMPT)

    def test_json_that_any_cut_may_leave_is_not_whole(self):
        encoded = b"Content-Encoding: gzip"
        for part in (b"12", b"", b"[" * 100_000):
            outcome, body, _ = self.call(raw_answers.answer(part, JSON))
            self.assert_broken_off(outcome, body)
        outcome, body, _ = self.call(raw_answers.answer(b"{}", JSON, encoded))
        self.assert_broken_off(outcome, body)

    def test_a_part_with_a_length_or_in_chunks_is_not_taken_for_the_whole(self):
        for part in (
            raw_answers.answer(b"{}", b"Content-Length: 3", JSON),
            raw_answers.answer(b"2\r\n{}\r\n", CHUNKED, JSON),
            raw_answers.answer(b"2\r\n{}\r\n0\r\n", CHUNKED, JSON),
        ):
            outcome, body, _ = self.call(part)
            self.assert_broken_off(outcome, body)

    def test_an_answer_that_tells_its_end_is_whole(self):
        for whole in (
            raw_answers.answer(b"done", b"Content-Length: 4"),
            raw_answers.answer(chunked(b"done"), CHUNKED),
            raw_answers.answer(chunked(b"done"), b"Transfer-Encoding: gzip, chunked"),
        ):
            outcome, body, seconds = self.call(whole)
            self.assertIsInstance(outcome, outcomes.Answered)
            self.assertEqual(b"done", body)
            self.assertLess(seconds, PROMPT)
        nothing = raw_answers.answer(b"", status=b"204 No Content")
        self.assertEqual(204, self.call(nothing)[0].status)

    def test_an_answer_to_head_without_a_length_is_whole(self):
        for headers in ((), (TEXT,), (CHUNKED,)):
            nothing = raw_answers.answer(b"", *headers)
            outcome, body, seconds = self.call(nothing, method="HEAD")
            self.assertEqual((200, 10), (outcome.status, outcome.tokens))
            self.assertEqual(b"", body)
            self.assertLess(seconds, PROMPT)

    def test_a_host_that_stops_takes_no_part_for_the_whole(self):
        """Its own close of the connection ended the answer."""

        async def scenario():
            hold = asyncio.Event()
            part = raw_answers.answer(b"half", TEXT)
            async with (
                raw_answers.serving(part, hold=hold) as (address, heads),
                endpoints.running(service.Service()) as (forwarder, endpoint),
            ):
                endpoint = endpoint._replace(address=address)
                exchange = endpoints.order(endpoint, endpoints.Caller())
                running = asyncio.create_task(
                    dispatch.make(forwarder=forwarder)(exchange, None)
                )
                await support.until(lambda: heads)
                await asyncio.sleep(0.1)
                await forwarder.stop()
                outcome = await running
                hold.set()
                return outcome, b"".join(exchange.deferred_body)

        self.assert_broken_off(*self.run_async(scenario()))


class ChatTest(support.TestCase):
    """Streams of engines that are killed within them."""

    EVENTS = b"".join(map(event, range(3)))

    def chat(self, *answers, **fields):
        """Send a chat to an engine with raw answers.

        Returns its outcome, all that its caller gets and the heads that the engine got.
        """
        caller = endpoints.Caller()

        async def scenario():
            async with (
                raw_answers.serving(*answers) as (address, heads),
                endpoints.running(engine.Engine()) as (forwarder, endpoint),
            ):
                endpoint = endpoint._replace(address=address)
                exchange = endpoints.chat(endpoint, caller, **fields)
                outcome = await forwarder.chat(exchange)
                await asyncio.gather(*forwarder._background)
                return outcome, caller.data + b"".join(exchange.deferred_body), heads

        return self.run_async(scenario())

    def test_a_part_without_a_length_is_resumed_after_its_last_whole_event(self):
        """Wherever the stream is cut, and in chunks too."""
        whole = self.EVENTS + sse.DONE
        for at in range(len(event(0)), len(whole)):
            part = whole[:at]
            received = min(part.count(b"\n\n"), 3)
            rest = whole[len(b"".join(map(event, range(received)))) :]
            after = b"%d" % (received - 1)
            resumed = raw_answers.answer(rest, STREAM, b"X-Resumed-After: " + after)
            for first in (
                raw_answers.answer(part, STREAM),
                raw_answers.answer(chunked(part), STREAM, CHUNKED),
            ):
                outcome, data, heads = self.chat(first, resumed)
                self.assertIsInstance(outcome, outcomes.Answered, at)
                self.assertEqual((3, whole), (outcome.tokens, data))
                self.assertIn(b"\r\nLast-Event-ID: " + after + b"\r\n", heads[1])

    def test_a_part_that_cannot_be_resumed_is_unknown(self):
        lost = raw_answers.answer(b"{}", b"Content-Length: 2", status=b"410 Gone")
        for at in range(len(self.EVENTS + sse.DONE)):
            part = raw_answers.answer((self.EVENTS + sse.DONE)[:at], STREAM)
            for stream in (True, False):
                outcome, data, _ = self.chat(part, lost, stream=stream)
                self.assertIsInstance(outcome, outcomes.Unknown, at)
                self.assertNotIn(b"[DONE]", data)
                if not stream:
                    self.assertEqual(b"", data)

    def test_a_short_stream_without_a_length_is_whole_at_once(self):
        for body in (sse.DONE, event(0) + sse.DONE):
            began = clock.monotonic()
            outcome, data, heads = self.chat(raw_answers.answer(body, STREAM))
            self.assertIsInstance(outcome, outcomes.Answered)
            self.assertEqual(body, data)
            self.assertEqual(1, len(heads))
            self.assertLess(clock.monotonic() - began, PROMPT)

    def test_a_host_that_stops_takes_no_part_for_the_whole(self):
        """Its own close of the connection ended the stream."""
        caller = endpoints.Caller()

        async def scenario():
            hold = asyncio.Event()
            part = raw_answers.answer(self.EVENTS, STREAM)
            async with (
                raw_answers.serving(part, hold=hold) as (address, _),
                endpoints.running(engine.Engine()) as (forwarder, endpoint),
            ):
                endpoint = endpoint._replace(address=address)
                exchange = endpoints.chat(endpoint, caller)
                running = asyncio.create_task(forwarder.chat(exchange))
                await support.until(lambda: caller.data)
                await forwarder.stop()
                (ended,) = await asyncio.gather(running, return_exceptions=True)
                hold.set()
                return ended, b"".join(exchange.deferred_body)

        ended, deferred = self.run_async(scenario())
        self.assertNotIsInstance(ended, outcomes.Answered)
        self.assertEqual((self.EVENTS, b""), (caller.data, deferred))


class OtherHostTest(support.TestCase):
    """Answers that another host of the fleet passes on, and is killed within."""

    def relay(self, *answers, make=endpoints.order, **fields):
        """Relay a request to a host with raw answers.

        Returns its outcome, its caller and the exchange.
        """
        caller = endpoints.Caller()

        async def scenario():
            async with (
                raw_answers.serving(*answers) as (address, _),
                endpoints.running(service.Service()) as (forwarder, endpoint),
            ):
                peer = peers.Peer("h2", "i", "r", "dc", "", address, True, False, {})
                exchange = make(endpoint, caller, **fields)
                outcome = await relays.forward_to_peer(
                    exchange,
                    peer,
                    host=forwarder._host,
                    session=forwarder.session(fresh=True),
                )
                return outcome, caller, exchange

        return self.run_async(scenario())

    def test_a_part_without_a_length_is_not_taken_for_the_whole(self):
        """Hosts tell the length of each answer, so what has none was broken off."""
        refusal = b'{"error": {"code": "budget_spent", "message": "m"}}'
        for body, headers in (
            (b"half", (TEXT,)),
            (b"", ()),
            (refusal[:20], (b"X-Outcome: not_run", JSON)),
        ):
            outcome, _, exchange = self.relay(raw_answers.answer(body, *headers))
            self.assertIsInstance(outcome, outcomes.Unknown, body)
            self.assertEqual("peer_failed", outcome.code)
            self.assertEqual([], exchange.deferred_body)

    def test_a_part_with_a_length_or_in_chunks_is_not_taken_for_the_whole(self):
        for part in (
            raw_answers.answer(b"half", b"Content-Length: 5"),
            raw_answers.answer(b"4\r\nhalf\r\n", CHUNKED),
        ):
            outcome, _, exchange = self.relay(part)
            self.assertIsInstance(outcome, outcomes.Unknown)
            self.assertEqual([], exchange.deferred_body)

    def test_an_answer_that_tells_its_end_is_whole(self):
        for method, length, body in (("POST", 4, b"done"), ("HEAD", 4, b"")):
            whole = raw_answers.answer(body, b"Content-Length: %d" % length)
            outcome, _, exchange = self.relay(whole, method=method)
            self.assertIsInstance(outcome, outcomes.Answered)
            self.assertEqual([body], exchange.deferred_body)

    def test_a_stream_is_whole_only_with_its_closing_event(self):
        """Wherever it is cut, and however its end is framed."""
        events = b"".join(map(event, range(3)))
        for at in range(len(events + sse.DONE) + 1):
            part = (events + sse.DONE)[:at]
            for sent in (
                raw_answers.answer(part, STREAM),
                raw_answers.answer(chunked(part), STREAM, CHUNKED),
            ):
                outcome, caller, exchange = self.relay(sent, make=endpoints.chat)
                whole = caller.data + b"".join(exchange.deferred_body)
                if at == len(events + sse.DONE):
                    self.assertIsInstance(outcome, outcomes.Answered)
                    self.assertEqual(events + sse.DONE, whole)
                    continue
                self.assertIsInstance(outcome, outcomes.Unknown, at)
                self.assertNotIn(b"[DONE]", whole)


class WholeHostTest(support.TestCase):
    """A part of an answer is neither told nor kept as the answer of its call."""

    @contextlib.asynccontextmanager
    async def running(self, answer, *, hold=None):
        """Run a host whose plain service answers so; yields a call, and the host."""
        memory = standin_table.MemoryTable()
        async with (
            raw_answers.serving(answer, hold=hold) as (address, heads),
            aiohttp.ClientSession() as session,
        ):
            addresses = {endpoints.ORDERS.name: address}
            host = await endpoints.start_host(memory, addresses)
            url = f"http://127.0.0.1:{host.callers.port}/services/order-api/orders"
            headers = {
                "Authorization": f"Bearer {endpoints.CLIENT_KEY}",
                "Idempotency-Key": "order",
            }

            async def call():
                async with session.post(url, data=b"{}", headers=headers) as response:
                    label = response.headers.get("X-Outcome")
                    return label, await response.read()

            try:
                yield call, host, memory, heads
            finally:
                await host.stop()

    def test_a_call_whose_endpoint_is_killed_is_unknown_and_stays_so(self):
        async def scenario():
            part = raw_answers.answer(b"half", TEXT)
            async with self.running(part) as (call, _, _, heads):
                for _ in range(2):
                    label, body = await call()
                    self.assertEqual("unknown", label)
                    self.assertNotIn(b"half", body)
                self.assertEqual(1, len(heads))

        self.run_async(scenario())

    def test_a_host_that_stops_keeps_no_part_as_the_answer(self):
        async def scenario():
            hold = asyncio.Event()
            part = raw_answers.answer(b"half", TEXT)
            async with self.running(part, hold=hold) as (call, host, memory, heads):
                calling = asyncio.create_task(call())
                await support.until(lambda: heads)
                await asyncio.sleep(0.1)
                await host.stop()
                hold.set()
                await asyncio.gather(calling, return_exceptions=True)
                (row,) = [v for k, v in memory.rows.items() if k.startswith("claim/")]
                claim = claims.claim_of(row.value)
                self.assertNotEqual(claims.SETTLED, claim.state)
                self.assertIsNone(claim.answer)

        self.run_async(scenario())
