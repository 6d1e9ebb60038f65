"""Forwarding to endpoints: whole answers, and the right outcome for each failure."""

import asyncio
import json

from dogwoodchute import clock, outcomes, sse
from dogwoodchute.filters import dispatch
from dogwoodchute.standins import engine, service
from dogwoodchute.tests import endpoints, support

EVENTS = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
)
SHORT_WAITS = {"silence_floor": 0.15, "silence_ceiling": 0.3, "connect_timeout": 1}


class ChatTest(support.TestCase):
    def chat(self, standin, limits=None, *, prepare=None, **fields):
        """Run one chat; return its outcome, the caller and the exchange.

        `prepare` may change the exchange and the caller first.
        """
        caller = endpoints.Caller()

        async def scenario():
            async with endpoints.running(standin, **(limits or {})) as (
                forwarder,
                endpoint,
            ):
                exchange = endpoints.chat(endpoint, caller, **fields)
                if prepare is not None:
                    prepare(exchange, caller)
                outcome = await forwarder.chat(exchange)
                await asyncio.gather(*forwarder._background)
            return outcome, exchange

        outcome, exchange = self.run_async(scenario())
        return outcome, caller, exchange

    def assert_whole(self, caller, exchange, tokens=8):
        events = sse.events(caller.data + b"".join(exchange.deferred_body))
        ids = [sse.event_id(event) for event in events]
        self.assertEqual([str(n) for n in range(tokens)] + [None], ids)
        self.assertEqual(b"data: [DONE]", events[-1])

    def test_a_stream_arrives_whole_and_holds_its_end(self):
        outcome, caller, exchange = self.chat(engine.Engine())
        self.assertEqual(
            outcomes.Answered(status=200, tokens=11, endpoint="e-1"), outcome
        )
        self.assertNotIn(b"[DONE]", caller.data)
        self.assertIn("X-Resume-Token", caller.headers)
        self.assert_whole(caller, exchange)

    def test_a_whole_answer_is_joined(self):
        outcome, caller, exchange = self.chat(engine.Engine(), stream=False)
        self.assertIsInstance(outcome, outcomes.Answered)
        answer = json.loads(exchange.deferred_body[0])
        message = answer["choices"][0]["message"]["content"]
        self.assertEqual("the stove net is ready for the season ", message)
        self.assertEqual(11, answer["usage"]["total_tokens"])

    def test_a_cut_stream_is_resumed_without_gap_or_repeat(self):
        standin = engine.Engine(token_seconds=0.005)
        standin.reset_next_after_tokens = 3
        outcome, caller, exchange = self.chat(standin)
        self.assertEqual(11, outcome.tokens)
        self.assert_whole(caller, exchange)
        self.assertEqual((1, 1), (len(standin.runs), len(standin.resumed)))

    def test_a_cut_stream_does_not_go_on_at_other_software(self):
        """The engine was started again at its address, and goes on with any stream."""
        standin = engine.Engine(token_seconds=0.005, software="v1")
        standin.reset_next_after_tokens = 3
        standin.resumes_any = True

        def prepare(exchange, caller):
            caller.on_chunk = lambda: standin.restart(software="v2")

        outcome, caller, exchange = self.chat(standin, prepare=prepare)
        self.assertNotIn(b"v2", caller.data)
        self.assertEqual([], exchange.deferred_body)
        self.assertEqual("stream_lost", getattr(outcome, "code", outcome))
        self.assertIsInstance(outcome, outcomes.Unknown)

    def test_a_silent_stream_is_resumed_on_a_new_connection(self):
        standin = engine.Engine(token_seconds=0.005)

        def prepare(exchange, caller):
            def silence():
                caller.on_chunk = lambda: None
                standin.connections.silence()

            caller.on_chunk = silence

        outcome, caller, exchange = self.chat(standin, SHORT_WAITS, prepare=prepare)
        self.assertEqual(11, outcome.tokens)
        self.assert_whole(caller, exchange)
        self.assertEqual(1, len(standin.resumed))

    def test_what_cannot_be_resumed_is_unknown_and_bills_what_was_reported(self):
        standin = engine.Engine(resumable=False)
        standin.reset_after_tokens = 3
        outcome, caller, exchange = self.chat(standin)
        self.assertEqual("stream_lost", outcome.code)
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertFalse(outcome.may_rerun)
        self.assertTrue(6 <= exchange.used <= 11)
        self.assertEqual(3, len(sse.events(caller.data)))

    def test_a_failure_that_the_caller_has_not_seen_may_rerun(self):
        faults = (
            {"garbage_answers": 1},
            {"bad_json_answers": 1},
            {"lose_answers": 1},
            {"refuse_status": 500},
        )
        for fault in faults:
            standin = engine.Engine()
            for name, value in fault.items():
                setattr(standin, name, value)
            outcome, caller, exchange = self.chat(standin, stream=False)
            self.assertIsInstance(outcome, outcomes.Unknown, fault)
            self.assertTrue(outcome.may_rerun, fault)
            self.assertEqual((b"", 0), (caller.data, exchange.used), fault)

    def test_an_engine_that_never_answers_is_cut_off(self):
        standin = engine.Engine()
        standin.silent = True
        limits = {**SHORT_WAITS, "first_event_floor": 0.1, "idle_timeout": 0.2}
        outcome, _, _ = self.chat(standin, limits)
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertTrue(outcome.may_rerun)

    def test_refusals_are_not_run(self):
        for status, expected_status in ((429, 503), (503, 503), (400, 400)):
            standin = engine.Engine()
            standin.refuse_status = status
            outcome, _, _ = self.chat(standin)
            self.assertIsInstance(outcome, outcomes.NotRun)
            self.assertEqual(expected_status, outcome.status)

    def test_the_total_time_is_bounded(self):
        standin = engine.Engine(token_seconds=0.02)

        def prepare(exchange, caller):
            exchange.deadline = clock.monotonic() + 0.3

        outcome, _, exchange = self.chat(standin, prepare=prepare, tokens=500)
        self.assertEqual("timed_out", outcome.code)
        self.assertFalse(outcome.may_rerun)
        self.assertTrue(0 < exchange.used < 100)
        self.assertEqual(1, len(standin.cancelled))

    def test_a_caller_that_leaves_between_chunks_cancels_at_once(self):
        standin = engine.Engine(token_seconds=0.02)

        def prepare(exchange, caller):
            def leave():
                standin.batch.slowdown = 1e6
                exchange.caller_disconnected.set()

            caller.on_chunk = leave

        outcome, _, exchange = self.chat(standin, prepare=prepare, tokens=500)
        self.assertEqual("caller_gone", outcome.code)
        self.assertEqual(1, len(standin.cancelled))
        self.assertTrue(4 <= exchange.used <= 6)

    def test_a_caller_that_stops_reading_is_dropped(self):
        standin = engine.Engine(token_seconds=0.005)

        def prepare(exchange, caller):
            async def stall(data):
                await asyncio.sleep(endpoints.STALL_SECONDS)

            exchange.reply = exchange.reply._replace(chunk=stall)

        outcome, _, _ = self.chat(standin, {"idle_timeout": 0.2}, prepare=prepare)
        self.assertEqual("caller_gone", outcome.code)

    def test_a_caller_whose_connection_fails_is_billed_what_was_sent(self):
        """The error left the run, and the stream went unbilled."""
        standin = engine.Engine(token_seconds=0.02)

        def prepare(exchange, caller):
            real = exchange.reply.chunk

            async def fail(data):
                await real(data)
                if caller.data.count(b"\n\n") >= 3:
                    raise ConnectionResetError("the caller has gone")

            exchange.reply = exchange.reply._replace(chunk=fail)

        outcome, _, exchange = self.chat(standin, prepare=prepare, tokens=500)
        self.assertEqual("caller_gone", outcome.code)
        self.assertEqual(1, len(standin.cancelled))
        self.assertTrue(6 <= exchange.used <= 10, exchange.used)

    def test_bytes_that_complete_no_event_do_not_hold_a_stream_for_ever(self):
        """A stalled engine sent a byte now and then, and the stream never ended."""

        async def drip(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(EVENTS + b"id: 0\ndata: {}\n\nid: 1\ndata: ")
            while not writer.is_closing():
                writer.write(b"x")
                await asyncio.sleep(0.05)

        outcome = self.run_async(self.chat_with_raw(drip))
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertNotEqual("timed_out", outcome.code)

    def test_a_large_event_that_arrives_slowly_is_no_stall(self):
        async def slow(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(EVENTS + b"id: 0\ndata: {}\n\nid: 1\ndata: ")
            for _ in range(5):
                writer.write(b" " * 1000)
                await asyncio.sleep(0.05)
            usage = b'{"usage": {"total_tokens": 9}}'
            writer.write(usage + b"\n\ndata: [DONE]\n\n")
            writer.close()

        outcome = self.run_async(self.chat_with_raw(slow))
        self.assertEqual(9, getattr(outcome, "tokens", None), outcome)

    async def chat_with_raw(self, serve):
        """Run a chat at an endpoint that writes raw bytes."""
        listening = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        async with endpoints.running(engine.Engine(), **SHORT_WAITS) as (forwarder, e):
            exchange = endpoints.chat(
                e._replace(address=f"127.0.0.1:{port}"), endpoints.Caller()
            )
            exchange.deadline = clock.monotonic() + 5.0
            outcome = await forwarder.chat(exchange)
            await asyncio.gather(*forwarder._background)
        listening.close()
        return outcome

    def test_request_ids_differ_between_accounts(self):
        standin = engine.Engine()

        def other(exchange, caller):
            exchange.account = exchange.account._replace(name="other")

        self.chat(standin)
        self.chat(standin, prepare=other)
        self.assertEqual(2, len(set(standin.runs)))


class PlainTest(support.TestCase):
    def call(self, standin, limits=None, *, unreachable=False, **fields):
        """Run one plain call through `dispatch`; return its outcome and exchange.

        With `unreachable` nothing listens at the endpoint's address.
        """

        async def scenario():
            async with endpoints.running(standin, **(limits or {})) as (
                forwarder,
                endpoint,
            ):
                if unreachable:
                    endpoint = endpoint._replace(address="127.0.0.1:1")
                exchange = endpoints.order(endpoint, endpoints.Caller(), **fields)
                run = dispatch.make(forwarder=forwarder)
                return await run(exchange, None), exchange

        return self.run_async(scenario())

    def test_an_answer_passes_whole_and_costs_its_price(self):
        outcome, exchange = self.call(service.Service())
        self.assertEqual(
            outcomes.Answered(status=201, tokens=10, endpoint="e-1"), outcome
        )
        self.assertEqual([b'{"order": 1}'], exchange.deferred_body)
        self.assertNotIn("Idempotency-Key", exchange.reply_headers)

    def test_only_what_was_not_sent_is_not_run(self):
        outcome, exchange = self.call(service.Service(), unreachable=True)
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertFalse(exchange.dispatched)

    def test_anything_after_connecting_is_unknown_and_runs_once(self):
        limits = {"idle_timeout": 0.2}
        for method in ("POST", "PUT", "GET", "DELETE"):
            for fault in (
                "lose_answers",
                "garbage_answers",
                "truncated_answers",
                "silent",
            ):
                standin = service.Service()
                setattr(standin, fault, 1)
                outcome, exchange = self.call(standin, limits, method=method)
                self.assertIsInstance(outcome, outcomes.Unknown, (method, fault))
                self.assertFalse(outcome.may_rerun)
                self.assertEqual(1, len(standin.calls), (method, fault))
                self.assertEqual(10, exchange.used)

    def test_an_idempotent_call_may_rerun_and_costs_nothing(self):
        standin = service.Service()
        standin.lose_answers = 1
        outcome, exchange = self.call(standin, idempotent=True)
        self.assertTrue(outcome.may_rerun)
        self.assertEqual(0, exchange.used)

    def test_a_busy_answer_is_never_not_run(self):
        for status in (429, 503):
            standin = service.Service()
            standin.status = status
            outcome, _ = self.call(standin)
            self.assertEqual(
                outcomes.Answered(status=status, tokens=0, endpoint="e-1"), outcome
            )
            outcome, _ = self.call(standin, idempotent=True)
            self.assertIsInstance(outcome, outcomes.Unknown)

    def test_an_earlier_unknown_outcome_is_not_forgotten(self):
        async def scenario():
            standin = service.Service()
            standin.lose_answers = 1
            async with endpoints.running(standin) as (forwarder, endpoint):
                exchange = endpoints.order(
                    endpoint, endpoints.Caller(), idempotent=True
                )
                run = dispatch.make(forwarder=forwarder)
                await run(exchange, None)
                exchange.endpoint = endpoint._replace(address="127.0.0.1:1")
                return await run(exchange, None)

        self.assertIsInstance(self.run_async(scenario()), outcomes.Unknown)

    def test_an_oversize_answer_is_refused(self):
        outcome, _ = self.call(service.Service(), {"answer_bytes": 5})
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertIn("exceeds 5 bytes", outcome.message)

    def test_a_redirect_is_passed_on_and_not_followed(self):
        standin = service.Service()
        standin.status = 307
        standin.headers = {"Location": "/elsewhere"}
        outcome, exchange = self.call(standin)
        self.assertEqual((307, 1), (outcome.status, len(standin.calls)))
        self.assertEqual("/elsewhere", exchange.reply_headers["Location"])
