"""The whole fleet as separate processes: kills, suspensions and graceful stops."""

import asyncio
import signal

import aiohttp

from dogwoodchute import sse
from dogwoodchute.tests import processes, support

CHAT_PATH = "/v1/chat/completions"
DONE = b"data: [DONE]\n\n"
EXIT_TIMEOUT = 30.0  # seconds


def chat(tokens, *, stream=True):
    """Return the body of a chat of `tokens` tokens."""
    messages = [{"role": "user", "content": "Draft the quote"}]
    return {
        "model": "assistant-llm",
        "stream": stream,
        "max_tokens": tokens,
        "messages": messages,
    }


class ProcessesTest(support.TestCase):
    def with_fleet(self, check, **options):
        async def scenario():
            fleet = processes.Fleet(**options)
            try:
                await fleet.start()
                async with fleet.caller_session() as session:
                    await check(fleet, session)
            except BaseException:
                for number in range(len(fleet.processes)):
                    print(fleet.logs(number)[-4000:])
                raise
            finally:
                fleet.stop()

        self.run_async(scenario(), timeout=120.0)

    async def answered(self, session, host, key, tokens=4):
        """Send a chat with a request key; return the status and body."""
        headers = {"Idempotency-Key": key}
        url = f"http://{host}{CHAT_PATH}"
        async with session.post(url, json=chat(tokens), headers=headers) as response:
            return response.status, await response.read()

    async def check_money(self, fleet, keys):
        """Check that only the requests `keys` are billed, within the tokens drawn."""
        bills = await fleet.rows("bill/growers/")
        self.assertEqual(keys, {key.rpartition("/")[2] for key in bills})
        budget = (await fleet.rows("budget/growers"))["budget/growers"]
        billed = sum(row["tokens"] for row in bills.values())
        self.assertTrue(0 < billed <= budget["drawn"] <= budget["paid"])

    def test_every_host_serves_and_bills_once(self):
        async def check(fleet, session):
            for number, host in enumerate(fleet.callers):
                status, body = await self.answered(session, host, f"r{number}")
                self.assertEqual(200, status)
                self.assertTrue(body.endswith(DONE))
            await self.check_money(fleet, {"r0", "r1", "r2"})

        self.with_fleet(check)

    def test_killed_host_leaves_the_others_serving(self):
        async def check(fleet, session):
            url = f"http://{fleet.callers[1]}{CHAT_PATH}"
            headers = {"Idempotency-Key": "cut"}
            body = chat(500)
            with self.assertRaises(aiohttp.ClientError):
                async with session.post(url, json=body, headers=headers) as response:
                    await response.content.readany()
                    fleet.signal(1, signal.SIGKILL)
                    await response.read()
            for host in (fleet.callers[0], fleet.callers[2]):
                status, body = await self.answered(session, host, "cut", tokens=500)
                self.assertEqual(200, status)
                self.assertTrue(body.endswith(DONE))
            await self.check_money(fleet, {"cut"})

        self.with_fleet(check)

    def test_stream_of_a_killed_host_goes_on_at_another(self):
        async def check(fleet, session):
            url = f"http://{fleet.callers[1]}{CHAT_PATH}"
            headers = {"Idempotency-Key": "moved"}
            received = b""
            with self.assertRaises(aiohttp.ClientError):
                async with session.post(
                    url, json=chat(300), headers=headers
                ) as response:
                    headers["X-Resume-Token"] = response.headers["X-Resume-Token"]
                    while received.count(b"\n\n") < 5:
                        received += await response.content.readany()
                    fleet.signal(1, signal.SIGKILL)
                    while data := await response.content.readany():
                        received += data
            received = received[: received.rfind(b"\n\n") + 2]
            headers["Last-Event-ID"] = sse.event_id(sse.events(received)[-1])
            url = f"http://{fleet.callers[0]}{CHAT_PATH}"
            async with session.post(url, json=chat(300), headers=headers) as response:
                received += await response.read()
            self.assertTrue(received.endswith(DONE))
            ids = [sse.event_id(event) for event in sse.events(received)[:-1]]
            self.assertEqual([str(number) for number in range(300)], ids)
            await self.check_money(fleet, {"moved"})

        self.with_fleet(check)

    def test_graceful_stop_cuts_off_no_stream(self):
        async def check(fleet, session):
            url = f"http://{fleet.callers[0]}{CHAT_PATH}"
            headers = {"Idempotency-Key": "long"}
            async with session.post(url, json=chat(300), headers=headers) as response:
                first_part = await response.content.readany()
                fleet.signal(0, signal.SIGTERM)
                body = first_part + await response.read()
            self.assertTrue(body.endswith(DONE))
            self.assertEqual(300, body.count(b"\n\n") - 1)
            code = await asyncio.to_thread(fleet.processes[0].wait, EXIT_TIMEOUT)
            self.assertEqual(0, code)
            await self.check_money(fleet, {"long"})
            grants = await fleet.rows("grant/growers/host-0")
            for grant in grants.values():
                self.assertEqual(grant["billed"], grant["granted"])

        self.with_fleet(check)

    def test_frozen_host_holds_up_nobody_and_wakes_safely(self):
        async def check(fleet, session):
            await self.answered(session, fleet.callers[2], "before")
            fleet.signal(2, signal.SIGSTOP)
            for number in range(5):
                status, _ = await self.answered(
                    session, fleet.callers[number % 2], f"during-{number}"
                )
                self.assertEqual(200, status)
            fleet.signal(2, signal.SIGCONT)
            status, _ = await self.answered(session, fleet.callers[2], "after")
            self.assertEqual(200, status)
            keys = {"before", "after"} | {f"during-{n}" for n in range(5)}
            await self.check_money(fleet, keys)

        self.with_fleet(check)

    def test_order_repeated_at_another_host_runs_once(self):
        async def check(fleet, session):
            answers = []
            for host in fleet.callers:
                url = f"http://{host}/services/order-api/orders"
                headers = {"Idempotency-Key": "order-1"}
                async with session.post(url, json={}, headers=headers) as response:
                    answers.append((response.status, await response.text()))
            self.assertEqual([answers[0]] * 3, answers)
            self.assertEqual(201, answers[0][0])
            await self.check_money(fleet, {"order-1"})

        self.with_fleet(check)
