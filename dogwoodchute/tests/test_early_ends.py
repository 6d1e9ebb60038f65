"""Answers that end early though their connection is closed as at a proper end (FIN)."""

import asyncio

from dogwoodchute import clock, outcomes
from dogwoodchute.filters import dispatch
from dogwoodchute.standins import service
from dogwoodchute.tests import endpoints, raw_answers, support

JSON = b"Content-Type: application/json"
TEXT = b"Content-Type: text/plain"
PROMPT = 0.5  # seconds in which a sound short answer is passed on, on a busy machine


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
        chunked = b"Transfer-Encoding: chunked"
        for part in (
            raw_answers.answer(b"{}", b"Content-Length: 3", JSON),
            raw_answers.answer(b"2\r\n{}\r\n", chunked, JSON),
            raw_answers.answer(b"2\r\n{}\r\n0\r\n", chunked, JSON),
        ):
            outcome, body, _ = self.call(part)
            self.assert_broken_off(outcome, body)

    def test_an_answer_that_tells_its_end_is_whole(self):
        for whole in (
            raw_answers.answer(b"done", b"Content-Length: 4"),
            raw_answers.answer(
                b"4\r\ndone\r\n0\r\n\r\n", b"Transfer-Encoding: chunked"
            ),
            raw_answers.answer(
                b"4\r\ndone\r\n0\r\n\r\n", b"Transfer-Encoding: gzip, chunked"
            ),
        ):
            outcome, body, seconds = self.call(whole)
            self.assertIsInstance(outcome, outcomes.Answered)
            self.assertEqual(b"done", body)
            self.assertLess(seconds, PROMPT)
        nothing = raw_answers.answer(b"", status=b"204 No Content")
        self.assertEqual(204, self.call(nothing)[0].status)

    def test_an_answer_to_head_without_a_length_is_whole(self):
        for headers in ((), (TEXT,), (b"Transfer-Encoding: chunked",)):
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
