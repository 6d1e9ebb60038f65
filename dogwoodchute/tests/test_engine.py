"""The model engine stand-in keeps the protocol that the router relies on."""

import asyncio
import contextlib

import aiohttp

from dogwoodchute import sse
from dogwoodchute.standins import engine, prefix, site
from dogwoodchute.tests import support

CHAT = "/v1/chat/completions"
RESUMED_AFTER = engine.RESUMED_AFTER
PROMPT = [{"role": "user", "content": "repair plan " * 40}]


@contextlib.asynccontextmanager
async def running(model):
    """Run an engine; yield an HTTP session with it."""
    server = site.Site(app=model.app())
    await server.start()
    async with aiohttp.ClientSession(base_url=f"http://{server.address}") as session:
        yield session
    await server.stop()


def body(limit=6, **fields):
    return {"model": "m", "messages": PROMPT, "max_tokens": limit, **fields}


async def read_events(response, count=None):
    """Return all events of a stream, or at least its first `count`."""
    data = b""
    while count is None or data.count(b"\n\n") < count:
        chunk = await response.content.readany()
        if not chunk:
            break
        data += chunk
    return data.split(b"\n\n")[:-1]


class StreamTest(support.TestCase):
    def test_a_broken_stream_resumes_without_gap_or_repeat(self):
        async def scenario():
            async with running(engine.Engine(token_seconds=0.01)) as session:
                key = {"X-Request-Id": "r"}
                async with session.post(CHAT, json=body(), headers=key) as first:
                    first_events = await read_events(first, 2)
                resume = {**key, "Last-Event-ID": str(len(first_events) - 1)}
                async with session.post(CHAT, json=body(), headers=resume) as second:
                    self.assertEqual(
                        resume["Last-Event-ID"], second.headers[RESUMED_AFTER]
                    )
                    return first_events + await read_events(second)

        events = self.run_async(scenario())
        ids = [event.split(b"\n")[0] for event in events]
        self.assertEqual([b"id: %d" % n for n in range(6)], ids[:-1])
        self.assertEqual(sse.DONE.strip(), events[-1])

    def test_cancel_and_linger_end_a_stream(self):
        async def scenario():
            model = engine.Engine(token_seconds=0.01, linger=0.05)
            async with running(model) as session:
                for key in ("cancelled", "left"):
                    headers = {"X-Request-Id": key}
                    request = session.post(CHAT, json=body(999), headers=headers)
                    async with request as response:
                        await read_events(response, 1)
                        if key == "cancelled":
                            reply = await session.post(
                                "/v1/cancel", json={"request_id": key}
                            )
                            usage = (await reply.json())["usage"]
                            self.assertEqual(80, usage["prompt_tokens"])
                await support.until(lambda: len(model.cancelled) == 2)
                headers = {"X-Request-Id": "left", "Last-Event-ID": "0"}
                late = await session.post(CHAT, json=body(), headers=headers)
                self.assertEqual(410, late.status)
            return model.cancelled

        self.assertEqual(["cancelled", "left"], self.run_async(scenario()))

    def test_priority_orders_those_that_wait(self):
        async def scenario():
            model = engine.Engine(slots=1, token_seconds=0.005)
            ended = []
            async with running(model) as session:

                async def send(key, priority):
                    response = await session.post(
                        CHAT,
                        json=body(4, priority=priority),
                        headers={"X-Request-Id": key},
                    )
                    await response.read()
                    ended.append(key)

                first = asyncio.create_task(send("first", 0))
                await support.until(lambda: model.batch.running)
                waiting = [asyncio.create_task(send("low", 9))]
                await support.until(lambda: len(model.runs) == 2)
                waiting.append(asyncio.create_task(send("urgent", 1)))
                await asyncio.gather(first, *waiting)
            return ended

        self.assertEqual(["first", "urgent", "low"], self.run_async(scenario()))

    def test_open_connections_go_silent_while_new_ones_work(self):
        async def scenario():
            model = engine.Engine(token_seconds=0.01)
            async with running(model) as session:
                async with session.post(CHAT, json=body(99)) as response:
                    await read_events(response, 1)
                    model.connections.silence()
                    with self.assertRaises(TimeoutError):
                        await asyncio.wait_for(response.read(), 0.2)
                async with session.post(CHAT, json=body(2)) as response:
                    self.assertIn(sse.DONE, await response.read())

        self.run_async(scenario())


class ReportTest(support.TestCase):
    def test_cache_events_come_late_and_with_gaps(self):
        now = [0.0]
        cache = prefix.PrefixCache(capacity=4, now=lambda: now[0])
        cache.lag = 2.0
        cache.drop_every = 3
        hashes = prefix.block_hashes(prefix.prompt_text(PROMPT))
        self.assertEqual(0, cache.use(hashes[:4]))
        self.assertEqual(4, cache.use(hashes[:5]))
        self.assertEqual([], cache.events(0))
        now[0] = 2.0
        published = [(e.sequence, e.kind) for e in cache.events(1)]
        expected = [(2, "stored"), (4, "stored"), (5, "stored")]
        self.assertEqual(expected, published)

    def test_load_lags_and_orders_check_the_fence(self):
        async def scenario(checks):
            now = [0.0]
            model = engine.Engine(checks_fence=checks, now=lambda: now[0])
            model.load_lag = 5.0
            async with running(model) as session:
                await (await session.post(CHAT, json=body(2))).read()
                now[0] = 4.0
                report = await (await session.get("/load")).json()
                self.assertEqual(0.0, report["at"])
                statuses = []
                for fence, role in ((7, "decode"), (6, "prefill")):
                    order = {"fence": fence, "want": {"role": role}}
                    reply = await session.post("/orders", json=order)
                    statuses.append(reply.status)
            return statuses, model.orders.state["role"]

        self.assertEqual(([200, 409], "decode"), self.run_async(scenario(True)))
        self.assertEqual(([200, 200], "prefill"), self.run_async(scenario(False)))
