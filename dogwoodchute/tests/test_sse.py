"""Splitting of event streams, however the bytes arrive, and joining of answers."""

import hypothesis
from hypothesis import strategies as st

from dogwoodchute import answers, sse
from dogwoodchute.coordination import cadence
from dogwoodchute.tests import support

EVENTS = [b'id: %d\ndata: {"n": %d}\n\n' % (n, n) for n in range(5)]


class SplitterTest(support.TestCase):
    @support.fuzz_settings(200)
    @hypothesis.given(
        cuts=st.lists(st.integers(1, 40), max_size=20), windows=st.booleans()
    )
    def test_any_cut_gives_the_same_events(self, cuts, windows):
        data = b"".join(EVENTS) + sse.DONE
        if windows:
            data = data.replace(b"\n", b"\r\n")
        splitter = sse.Splitter()
        whole = b""
        for size in [*cuts, len(data)]:
            whole += splitter.feed(data[:size])
            data = data[size:]
        self.assertEqual(b"".join(EVENTS), whole)
        self.assertTrue(splitter.done)
        self.assertEqual("4", splitter.last_id)

    def test_what_is_no_event_stream_is_refused(self):
        for data in (b"<html>\n\n", b'data: {"error": {"message": "oom"}}\n\n'):
            self.assertRaises(sse.FormatError, sse.Splitter().feed, data)
        splitter = sse.Splitter()
        self.assertRaises(sse.FormatError, splitter.feed, b"x" * (sse.MAX_EVENT + 1))

    def test_only_a_sane_usage_counts(self):
        cases = {b"7": 7, b"-7": None, b"true": None, b'"7"': None, b"null": None}
        for reported, tokens in cases.items():
            batch = b'data: {"usage": {"total_tokens": %s}}\n\n' % reported
            self.assertEqual(tokens, sse.usage_tokens(batch), reported)
        self.assertRaises(sse.FormatError, sse.usage_tokens, b"data: {half\n\n")

    def test_after_drops_what_was_seen(self):
        data = b"".join(EVENTS)
        self.assertEqual(b"".join(EVENTS[3:]), sse.events_after(data, "2"))
        self.assertIsNone(sse.events_after(data, "17"))


class AnswerTest(support.TestCase):
    def test_deltas_merge_by_choice_and_tool_call(self):
        first = {"index": 0, "id": "c", "function": {"name": "book", "arguments": "{"}}
        second = {"index": 0, "function": {"arguments": "}"}}
        message = {"role": "assistant", "content": ""}
        answers.merge(message, {"content": "a", "tool_calls": [first]})
        answers.merge(message, {"content": "b", "tool_calls": [second]})
        call = {"id": "c", "function": {"name": "book", "arguments": "{}"}}
        self.assertEqual(
            {"role": "assistant", "content": "ab", "tool_calls": [call]}, message
        )


class GapEstimatorTest(support.TestCase):
    def test_the_bound_follows_the_gaps_within_its_limits(self):
        gaps = cadence.GapEstimator(floor=1.0, ceiling=20.0)
        self.assertEqual(20.0, gaps.silence_timeout())
        for _ in range(100):
            gaps.record(0.026)
        self.assertEqual(1.0, gaps.silence_timeout())
        self.assertEqual(4.0, gaps.silence_timeout(tries=2))
        for gap in (0.1, 4.0) * 50:
            gaps.record(gap)
        self.assertTrue(4.0 < gaps.silence_timeout() <= 20.0)
