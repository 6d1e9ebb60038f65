"""Graceful shutdown: open streams, signals, the order of steps and the time limits."""

import asyncio
import contextlib
import pathlib
import signal
import subprocess
import sys
import tempfile

import aiohttp

from dogwoodchute import drain
from dogwoodchute.tests import support, support_fleet
from dogwoodchute.tools import demo

CHAT = {
    "model": "assistant-llm",
    "stream": True,
    "max_tokens": 30,
    "messages": [{"role": "user", "content": "Draft a quote"}],
}
HEADERS = {"Authorization": f"Bearer {demo.CLIENT_KEY}"}


@contextlib.asynccontextmanager
async def serving(*, linger=0.2, token_seconds=0.03, timeout=60.0):
    """Run the demo's host; yields the demo and a session to the host.

    `linger` and `timeout` are the drain's settings in seconds.
    """
    running = demo.Demo()
    running.engine.token_seconds = token_seconds
    host = running.daemon.host
    config = host.config
    host.config = config.model_copy(
        update={
            "drain": config.drain.model_copy(update={"linger": linger}),
            "limits": config.limits.model_copy(update={"drain_timeout": timeout}),
        }
    )
    await running.start()
    base = f"http://127.0.0.1:{running.daemon.callers.port}"
    async with aiohttp.ClientSession(base_url=base, headers=HEADERS) as session:
        yield running, session
    await running.stop()


async def chat(session, **changes):
    async with session.post("/v1/chat/completions", json={**CHAT, **changes}) as answer:
        return answer.status, await answer.read()


def is_whole(answer, tokens=30):
    """Return whether an answer of `chat` is a stream of all its events."""
    status, content = answer
    events = [e for e in content.split(b"\n\n") if e]
    return status == 200 and len(events) == tokens + 1 and b"[DONE]" in events[-1]


class DrainTest(support.TestCase):
    def test_open_streams_end_whole_and_billed(self):
        async def scenario():
            async with serving() as (running, session):
                daemon = running.daemon
                chats = [asyncio.create_task(chat(session)) for _ in range(5)]
                await support_fleet.until(lambda: len(running.engine.runs) == 5)
                daemon.drain.begin("test")
                self.assertTrue(daemon.host.leaving)
                late = await chat(session, max_tokens=2)
                self.assertTrue(is_whole(late, tokens=2), late)
                await asyncio.wait_for(daemon.drain.done.wait(), 30)
                answers = await asyncio.gather(*chats)
                self.assertTrue(all(is_whole(answer) for answer in answers))
                self.assertEqual([], running.engine.cancelled)
                bills = [k for k in running.table.rows if k.startswith("bill/")]
                self.assertEqual(6, len(bills))
                self.assertEqual(0, daemon.callers.open_connections)
                with self.assertRaises(aiohttp.ClientError):
                    await chat(session)

        self.run_async(scenario())

    def test_a_slow_reader_still_gets_the_end(self):
        async def scenario():
            async with serving(token_seconds=0.0) as (running, session):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", running.daemon.callers.port, limit=1024
                )
                body = b'{"model": "assistant-llm", "stream": true, "max_tokens": 500, '
                body += b'"messages": [{"role": "user", "content": "x"}]}'
                head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                head += f"Authorization: {HEADERS['Authorization']}\r\n"
                head += f"Content-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await support_fleet.until(lambda: running.engine.runs)
                running.daemon.drain.begin("test")
                content = b""
                while data := await reader.read(4096):
                    content += data
                    await asyncio.sleep(0.002)
                writer.close()
                self.assertIn(b"[DONE]", content)
                await asyncio.wait_for(running.daemon.drain.done.wait(), 30)

        self.run_async(scenario())

    def test_a_second_signal_ends_the_wait(self):
        async def scenario():
            async with serving(linger=60.0, token_seconds=1.0) as (running, session):
                open_chat = asyncio.create_task(chat(session))
                await support_fleet.until(lambda: running.engine.runs)
                running.daemon.drain.begin("SIGTERM")
                await asyncio.sleep(0.1)
                self.assertEqual("draining", running.daemon.drain.phase)
                running.daemon.drain.finish_now("SIGTERM")
                await asyncio.wait_for(running.daemon.drain.done.wait(), 5)
                open_chat.cancel()

        self.run_async(scenario())


class SignalTest(support.TestCase):
    def test_sigterm_drains_a_real_process(self):
        text = demo.SETTINGS.format(caller_port=0, operator_port=0)
        text = text.replace("level = warning", "level = info")
        text += "[drain]\nlinger = 0.2\n"
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "host.ini"
            path.write_text(text, encoding="utf-8")
            command = [sys.executable, "-m", "dogwoodchute.tools.dogwoodchuted"]
            process = subprocess.Popen(
                [*command, str(path)], stdout=subprocess.PIPE, text=True
            )
            self.addCleanup(process.kill)
            for line in process.stdout:
                if "event=host_started" in line:
                    break
            process.send_signal(signal.SIGTERM)
            rest = process.stdout.read()
            self.assertEqual(0, process.wait(timeout=30), rest)
            process.stdout.close()
        self.assertIn("event=drain_begun reason=SIGTERM", rest)
        self.assertIn("event=drain_done", rest)
        self.assertIn("event=host_stopped", rest)


class OrderTest(support.TestCase):
    """The order of steps, on a clock that the test advances."""

    def drain(
        self, *, busy_until, linger=35.0, timeout=120.0, finish_at=None, stuck=False
    ):
        """Drain a host whose requests end at `busy_until` seconds.

        Returns the names of the steps in order and the time at the end. With `stuck`
        the store doesn't answer when bills are written.
        """
        config = support_fleet.config_of(
            "dar-1", drain={"linger": linger}, limits={"drain_timeout": timeout}
        )
        steps_run = []
        host = type("Host", (), {"config": config, "in_flight": 0, "draining": False})()
        host.time = 0.0
        host.now = lambda: host.time

        async def sleep(seconds):
            host.time += seconds
            if finish_at is not None and host.time >= finish_at:
                draining.finish_now("test")
            await asyncio.sleep(0)

        def step(name):
            async def run():
                if name not in steps_run:
                    steps_run.append(name)
                if stuck and name == "bills":
                    await asyncio.Event().wait()

            return run

        steps = drain.Steps(
            leave=step("leave"),
            close=step("close"),
            count_pending=lambda: host.time < busy_until,
            settle={"bills": step("bills"), "grants": step("grants")},
            hand_over={"copies": step("copies")},
        )
        draining = drain.Drain(host=host, steps=steps, sleep=sleep)

        async def run():
            draining.begin("test")
            draining.begin("again")
            await draining.done.wait()

        self.run_async(run())
        return steps_run, host.time

    def test_callers_are_served_for_the_linger_time(self):
        order = ["leave", "close", "bills", "grants", "copies"]
        steps_run, ended = self.drain(busy_until=0.0)
        self.assertEqual(order, steps_run)
        self.assertTrue(35 <= ended < 36, ended)
        steps_run, ended = self.drain(busy_until=80.0)
        self.assertEqual(order, steps_run)
        self.assertTrue(80 <= ended < 81, ended)

    def test_the_bound_and_a_second_signal_end_it(self):
        steps_run, ended = self.drain(busy_until=1e9)
        # A tenth of the timeout is reserved for bills and grants.
        self.assertTrue(108 <= ended < 109, ended)
        self.assertEqual(["leave", "close", "bills", "grants", "copies"], steps_run)
        steps_run, ended = self.drain(busy_until=1e9, finish_at=3.0)
        self.assertTrue(3 <= ended < 4, ended)
        self.assertEqual(["leave", "copies"], steps_run)

    def test_a_stuck_store_does_not_hold_the_host(self):
        steps_run, _ = self.drain(busy_until=0.0, linger=0.1, timeout=0.5, stuck=True)
        self.assertEqual(["leave", "close", "bills", "copies"], steps_run)
