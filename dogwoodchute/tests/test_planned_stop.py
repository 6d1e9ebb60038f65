"""A gateway process that gets SIGTERM while callers use it."""

import asyncio
import os
import random
import signal
import socket
import time

import aiohttp

from dogwoodchute.standins import attempt_endpoint, row_store
from dogwoodchute.tests import gateway_process, support

HEAD = (
    "POST /look/x HTTP/1.1\r\nHost: site.example\r\n"
    "X-Dogwoodchute-Attempt-Id: {attempt}\r\nX-Dogwoodchute-Deadline-Ms: {wait}\r\n"
    "X-Dogwoodchute-Credential: key-of-ann\r\nContent-Length: {length}\r\n\r\n"
)
SIZE = 15 * 1024 * 1024  # bytes, more than the socket buffers of a connection hold
SILENT = row_store.Fault(silent=True)
# Of the requests in a planned stop. More are played by hand.
SEEDS = range(int(os.environ.get("DOGWOODCHUTE_STOP_SEEDS", "2")))


async def dial(gateway, *, limit=1 << 16):
    host, _, port = gateway.address.partition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, limit)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return await asyncio.open_connection(sock=sock, limit=limit)


class PlannedStopTest(support.TestCase):
    def test_half_a_request_does_not_hold_the_process(self):
        """Guards against outliving the grace time for the rest of a caller's body."""

        async def scenario():
            async with gateway_process.running() as gateway:
                _, writer = await dial(gateway)
                head = HEAD.format(attempt="half", wait=2500, length=10)
                writer.write(head.encode() + b"12345")
                await asyncio.sleep(0.2)
                signalled_at = gateway.terminate()
                self.assertEqual(0, await gateway.wait_for_exit())
                self.assertLess(time.monotonic() - signalled_at, gateway_process.GRACE)
                self.assertIn("event=connection_cut", gateway.log)
                writer.close()

        self.run_async(scenario())

    def test_a_silent_store_does_not_hold_the_process(self):
        async def scenario():
            async with gateway_process.running() as gateway:
                gateway.faults = lambda kind: SILENT
                signalled_at = gateway.terminate()
                self.assertEqual(0, await gateway.wait_for_exit())
                self.assertLess(time.monotonic() - signalled_at, gateway_process.GRACE)

        self.run_async(scenario())

    def test_a_slow_reader_gets_its_whole_answer(self):
        """Guards against an exit before the whole answer is written."""

        async def scenario():
            async with gateway_process.running() as gateway:
                gateway.endpoints["p1"].extra_bytes = SIZE
                reader, writer = await dial(gateway, limit=1024)
                head = HEAD.format(attempt="big", wait=2500, length=0)
                writer.write(head.encode())
                await asyncio.sleep(0.5)
                signalled_at = gateway.terminate()
                received = 0
                while data := await reader.read(1 << 16):
                    received += len(data)
                    # The last bytes are read after the time in which new requests are
                    # accepted.
                    ahead = received / SIZE * 3.6 - (time.monotonic() - signalled_at)
                    await asyncio.sleep(max(0.0, ahead))
                self.assertGreater(received, SIZE)
                writer.close()
                self.assertEqual(0, await gateway.wait_for_exit())

        self.run_async(scenario())

    def test_what_was_passed_on_is_answered_while_the_store_is_silent(self):
        """Guards against cut requests while a stopping host waits for the store."""

        async def scenario():
            async with gateway_process.running() as gateway:
                gateway.endpoints["p1"].delay = 0.5
                gateway.faults = lambda kind: SILENT
                signalled_at = gateway.terminate()
                await asyncio.sleep(signalled_at + 3.3 - time.monotonic())
                answered = set()
                await self.ask(gateway, gateway.session, "late", answered)
                ran = set(gateway.endpoints["p1"].runs) - {"probe"}
                self.assertEqual(set(), ran - answered, gateway.log)
                self.assertEqual(0, await gateway.wait_for_exit())

        self.run_async(scenario())

    def test_what_is_under_way_when_the_time_is_up_is_answered(self):
        async def scenario():
            async with gateway_process.running() as gateway:
                gateway.endpoints["p1"].next_modes = [attempt_endpoint.SILENT] * 2
                signalled_at = gateway.terminate()
                await asyncio.sleep(signalled_at + 2.5 - time.monotonic())
                status, headers, body = await gateway.ask("/look/x", attempt="last")
                self.assertEqual(502, status)
                self.assertEqual("close", headers["Connection"].lower())
                self.assertIn(b"may have run", body)
                self.assertEqual(0, await gateway.wait_for_exit())
                self.assertLess(time.monotonic() - signalled_at, gateway_process.GRACE)

        self.run_async(scenario())

    def test_what_may_run_once_only_and_may_outlast_the_stop_is_not_passed_on(self):
        """It was passed on, and cut at the end of the grace time."""

        async def scenario():
            async with gateway_process.running() as gateway:
                gateway.endpoints["p1"].delay = 30.0
                gateway.endpoints["e1"].pause = 30.0
                signalled_at = gateway.terminate()
                for at, path in ((1.2, "/order/x"), (2.0, "/o/stream")):
                    await asyncio.sleep(signalled_at + at - time.monotonic())
                    status, headers, _ = await gateway.ask(
                        path, attempt=path, X_Dogwoodchute_Deadline_Ms="9000"
                    )
                    self.assertEqual(503, status, path)
                    self.assertLess(float(headers["Retry-After"]), 0.1)
                for endpoint in gateway.endpoints.values():
                    self.assertEqual([], [r for r in endpoint.runs if r != "probe"])
                self.assertEqual(0, await gateway.wait_for_exit())

        self.run_async(scenario())

    def test_late_requests_are_answered_or_refused_and_none_is_cut(self):
        """Requests of each kind and of any deadline, in the whole grace time."""

        async def scenario():
            for seed in SEEDS:
                await self.check_late_requests(random.Random(seed))

        self.run_async(scenario(), timeout=60.0 * len(SEEDS))

    async def check_late_requests(self, rng):
        async with gateway_process.running() as gateway:
            gateway.endpoints["p1"].delay = 0.3
            gateway.endpoints["e1"].pause = 0.05
            signalled_at = gateway.terminate()
            results = await asyncio.gather(
                *(self.ask_late(gateway, rng, number) for number in range(60))
            )
            self.assertEqual(0, await gateway.wait_for_exit())
            self.assertLess(time.monotonic() - signalled_at, gateway_process.GRACE)
            ran = set()
            for endpoint in gateway.endpoints.values():
                ran.update(endpoint.runs)
            for attempt, status, is_whole in results:
                if status is None:
                    self.assertNotIn(attempt, ran, gateway.log)
                    continue
                self.assertTrue(is_whole, (attempt, gateway.log))
                if status == 503:
                    self.assertNotIn(attempt, ran, "a refused request ran")

    async def ask_late(self, gateway, rng, number):
        """Send one request in the grace time; return how it ended.

        Returns its id, the status, None without one, and whether the answer was whole.
        """
        attempt = f"late-{number}"
        path = rng.choice(["/order/x", "/look/x", "/s/stream", "/o/stream"])
        deadline = rng.randint(400, 2500)
        await asyncio.sleep(rng.uniform(0.0, gateway_process.GRACE))
        status = None
        headers = {
            "Host": "site.example",
            "X-Dogwoodchute-Attempt-Id": attempt,
            "X-Dogwoodchute-Deadline-Ms": str(deadline),
            "X-Dogwoodchute-Credential": "key-of-ann",
        }
        url = f"http://{gateway.address}{path}"
        try:
            async with gateway.session.post(url, headers=headers) as response:
                status = response.status
                await response.read()
                return attempt, status, True
        except aiohttp.ClientError:
            return attempt, status, False

    def test_an_idle_connection_serves_until_it_is_closed(self):
        async def scenario():
            async with gateway_process.running() as gateway:
                reader, writer = await dial(gateway)
                signalled_at = gateway.terminate()
                await asyncio.sleep(signalled_at + 1.5 - time.monotonic())
                writer.write(HEAD.format(attempt="k", wait=900, length=0).encode())
                answer = await reader.read()
                self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
                self.assertIn(b"connection: close", answer.lower())
                writer.close()

        self.run_async(scenario())

    def test_what_was_passed_on_is_answered_through_a_stop(self):
        async def scenario():
            async with gateway_process.running() as gateway:
                gateway.endpoints["p1"].delay = 0.05
                answered = await self.ask_until_stopped(gateway, callers=8)
                ran = set(gateway.endpoints["p1"].runs)
                self.assertEqual(set(), ran - answered, gateway.log)

        self.run_async(scenario())

    async def ask_until_stopped(self, gateway, *, callers):
        """Send requests until the process has stopped.

        Returns the ids of the attempts that were answered.
        """
        answered = {"probe"}

        async def caller(name):
            number = 0
            while gateway.process.poll() is None:
                number += 1
                await self.ask(gateway, session, f"{name}-{number}", answered)
                await asyncio.sleep(0.02)

        async with aiohttp.ClientSession() as session:
            tasks = [asyncio.create_task(caller(f"c{n}")) for n in range(callers)]
            await asyncio.sleep(0.3)
            signalled_at = gateway.terminate()
            self.assertEqual(0, await gateway.wait_for_exit())
            self.assertLess(time.monotonic() - signalled_at, gateway_process.GRACE)
            await asyncio.gather(*tasks)
        return answered

    async def ask(self, gateway, session, attempt, answered):
        headers = {
            "Host": "site.example",
            "X-Dogwoodchute-Attempt-Id": attempt,
            "X-Dogwoodchute-Deadline-Ms": "650",
            "X-Dogwoodchute-Credential": "key-of-ann",
        }
        url = f"http://{gateway.address}/order/x"
        try:
            async with session.post(url, headers=headers) as response:
                if response.status == 200:
                    await response.read()
                    answered.add(attempt)
        except aiohttp.ClientError:
            # The host is stopping or has stopped; only what it forwarded counts.
            return


class SignalTest(support.TestCase):
    def test_reloads_while_starting_do_not_end_the_process(self):
        """The default action of SIGHUP ends a process without a handler."""

        async def scenario():
            gateway = gateway_process.GatewayProcess()
            starting = asyncio.create_task(gateway.start())
            try:
                await support.until(lambda: gateway.process is not None)
                end = time.monotonic() + 1.0
                # The process can't set a handler before the interpreter runs its code.
                await asyncio.sleep(0.15)
                while time.monotonic() < end:
                    gateway.process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.01)
                self.assertIsNone(gateway.process.poll())
            finally:
                starting.cancel()
                await gateway.stop()

        self.run_async(scenario())
