"""Endpoints that are silent for a while although they work on a request.

Engines preempt requests, also in the middle of a stream, and read them in again.
"""

import asyncio
import contextlib
import re
import time

from dogwoodchute.tests import gateway_site, preempting_engine, support

TARGET = 0.8  # seconds; callers bear four times as much without an event
TOKENS = {
    "X_Dogwoodchute_Model": "m",
    "X_Dogwoodchute_Token_Count": "100,400",
    "X_Dogwoodchute_Prompt_Prefix": "aa:60,bb:40",
    "X_Dogwoodchute_Deadline_Ms": "9000",
}
PREEMPTED = 1.6  # seconds; less than callers bear
STILL_AT_WORK = 0.4  # seconds after which no two engines may work on one request
WHOLE = list(range(1, 21))


@contextlib.asynccontextmanager
async def site_of(*engines, service="engines"):
    """Run a host with these engines; requests go to the first one at first."""
    site = gateway_site.Site()
    # Without a budget no request waits for a draw, which a busy machine makes slow.
    config = gateway_site.config(prepaid=None)
    for route in config["routes"]:
        route.update(targetLatencyMs=int(TARGET * 1000), timeoutMs=10_000)
    site.put("op", "config", config)
    for number, engine in enumerate(engines):
        await engine.start()
        site.register(f"e{number}", service, engine.port)
    await site.start()
    for _ in range(30):
        site.host_process.gateway.count_request(service)
    try:
        yield site
    finally:
        await site.stop()
        for engine in engines:
            engine.stop()


def ids(body):
    return [int(number) for number in re.findall(rb"^id: (\d+)", body, re.MULTILINE)]


class StreamTest(support.TestCase):
    """Review cases 2 and 4: a run was given up for its silence alone."""

    def stream(
        self, *, silence, full, count=1, path="/s/x", works_on=False, stop=False
    ):
        """Ask for streams of an engine that falls silent; return what became of them.

        Returns the event ids of each stream (None for one that was cut) and the
        engines: the silent one, then the other one.
        """

        async def scenario():
            engines = [
                preempting_engine.PreemptingEngine(silence=silence, works_on=works_on)
                for _ in range(2)
            ]
            async with site_of(*engines) as site:

                async def ask(number):
                    try:
                        status, _, body = await site.ask(
                            path, attempt=f"a{number}", **TOKENS
                        )
                    except gateway_site.BROKEN:
                        return None
                    self.assertEqual(200, status)
                    return ids(body)

                asked = [asyncio.create_task(ask(number)) for number in range(count)]
                await support.until(lambda: any(engine.runs for engine in engines))
                silent = next(engine for engine in engines if engine.runs)
                other = next(engine for engine in engines if engine is not silent)
                other.full = full
                if stop:
                    await asyncio.sleep(0.1)
                    await site.stop_host()
                found = await asyncio.gather(*asked)
                await asyncio.sleep(0.1)
                return found, silent, other

        return self.run_async(scenario())

    def test_a_stream_is_whole_though_it_was_preempted_and_others_are_full(self):
        found, silent, _ = self.stream(silence=PREEMPTED, full=True)
        self.assertEqual([WHOLE], found)
        self.assertEqual(1, len(silent.runs))

    def test_a_stream_is_whole_though_preempted_for_long_and_others_are_full(self):
        # Another engine is asked in time, but refuses.
        found, silent, other = self.stream(silence=2.6, full=True)
        self.assertEqual([WHOLE], found)
        self.assertEqual(1, len(silent.runs))
        self.assertLess(0, other.refusals)

    def test_a_stream_is_whole_though_it_was_preempted_in_a_planned_stop(self):
        found, silent, _ = self.stream(silence=PREEMPTED, full=True, stop=True)
        self.assertEqual([WHOLE], found)

    def test_many_streams_are_whole_though_preempted_and_others_are_full(self):
        found, _, _ = self.stream(silence=PREEMPTED, full=True, count=12)
        self.assertEqual([WHOLE] * 12, found)

    def test_no_two_engines_work_on_a_stream_that_was_preempted(self):
        # This engine doesn't notice that its connection was closed.
        found, *engines = self.stream(silence=PREEMPTED, full=False, works_on=True)
        self.assertEqual([WHOLE], found)
        self.assertLess(preempting_engine.overlap(engines), STILL_AT_WORK)

    def test_a_stream_goes_on_elsewhere_before_the_caller_leaves(self):
        found, silent, other = self.stream(silence=8.0, full=False)
        self.assertEqual([WHOLE], found)
        self.assertEqual(1, len(other.runs))
        gap = other.runs[0][0] - silent.runs[0][0]
        self.assertLess(gap, 4 * TARGET)
        self.assertLess(preempting_engine.overlap([silent, other]), STILL_AT_WORK)

    def test_a_stream_that_may_not_be_resumed_waits_for_its_engine(self):
        found, silent, other = self.stream(silence=3.0, full=False, path="/o/x")
        self.assertEqual([WHOLE], found)
        self.assertEqual(0, len(other.runs))

    def test_a_stream_of_an_engine_that_accepts_no_connection_goes_on_at_once(self):
        async def scenario():
            engines = [
                preempting_engine.PreemptingEngine(silence=60.0) for _ in range(2)
            ]
            async with site_of(*engines) as site:
                asked = asyncio.create_task(site.ask("/s/x", **TOKENS))
                await support.until(lambda: any(engine.runs for engine in engines))
                dark = next(engine for engine in engines if engine.runs)
                began = time.monotonic()
                await asyncio.sleep(0.2)
                dark.go_dark()
                status, _, body = await asked
                self.assertEqual((200, WHOLE), (status, ids(body)))
                # An engine that accepts connections would be given 2 s.
                self.assertLess(time.monotonic() - began, 2.0)

        self.run_async(scenario())


class PlainTest(support.TestCase):
    """The same of a call that may be repeated."""

    def test_a_slow_answer_arrives_though_others_are_full(self):
        async def scenario():
            engines = [preempting_engine.PreemptingEngine() for _ in range(2)]
            async with site_of(*engines, service="plain") as site:
                slow = SlowAnswers(engines)
                status, _, body = await site.ask("/look/x", **TOKENS)
                self.assertEqual((200, b"ok"), (status, body))
                self.assertEqual(1, slow.answered)

        self.run_async(scenario())


class SlowAnswers:
    """Lets the endpoint that is asked first answer late, and the others refuse."""

    def __init__(self, endpoints, *, seconds=0.8):
        self.answered = 0
        self._endpoints = endpoints
        self._seconds = seconds
        for endpoint in endpoints:
            endpoint._run = self._run

    async def _run(self, head, reader, writer):
        for endpoint in self._endpoints:
            endpoint.full = True
        await asyncio.sleep(self._seconds)
        if not writer.transport.is_closing():
            self.answered += 1
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Dogwoodchute-Attempt-Id: a1\r\n"
                b"X-Dogwoodchute-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok"
            )
