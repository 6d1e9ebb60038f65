"""Callers that leave: what they asked for is neither sent on nor worked on."""

import asyncio
import contextlib
import socket

from dogwoodchute import endpoint_check
from dogwoodchute.coordination import unanswered
from dogwoodchute.tests import gateway_site, raw_endpoint, support

WORK_BOUND = 0.5  # seconds after a caller has left, from the users' rules
# More than an endpoint's kernel takes, less than a host reads at once.
BODY = b"x" * 60_000
HEAD_END = b"\r\n\r\n"


def request(attempt, *, path="/s/stream", body=b"", tokens=True):
    """Return the bytes of a caller's request."""
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: site.example",
        f"X-Dogwoodchute-Attempt-Id: {attempt}",
        "X-Dogwoodchute-Deadline-Ms: 2900",
        f"X-Dogwoodchute-Credential: {gateway_site.KEY}",
        f"Content-Length: {len(body)}",
    ]
    if tokens:
        lines.append("X-Dogwoodchute-Token-Count: 50,20")
        lines.append("X-Dogwoodchute-Prompt-Prefix: 5c1e07a2:50")
    return "\r\n".join(lines).encode() + HEAD_END + body


class SilentEndpoint:
    """Accepts connections and answers nothing; reads once `reads` is set."""

    def __init__(self, *, reads_at_once=True):
        self.reads = asyncio.Event()
        if reads_at_once:
            self.reads.set()
        self.opened = 0  # connections
        self.closed = 0  # connections whose end was seen
        self.received = []  # bytes of each connection that has ended
        self.whole = 0  # requests that arrived to their end
        self._tasks = []
        self._listener = socket.socket()

    async def start(self):
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(100)
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self._tasks.append(asyncio.create_task(self._accept()))

    def stop(self):
        for task in self._tasks:
            task.cancel()
        self._listener.close()

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self._listener)
            accepted.setblocking(False)
            self.opened += 1
            self._tasks.append(asyncio.create_task(self._read(accepted)))

    async def _read(self, accepted):
        loop = asyncio.get_running_loop()
        await self.reads.wait()
        data = b""
        with contextlib.closing(accepted), contextlib.suppress(ConnectionError):
            while chunk := await loop.sock_recv(accepted, 65536):
                data += chunk
        self.closed += 1
        self.received.append(len(data))
        head, _, body = data.partition(HEAD_END)
        self.whole += bool(head) and len(body) == len(BODY)


@contextlib.asynccontextmanager
async def running(service, **options):
    """Run a site whose only endpoint of a service is a silent one."""
    site = gateway_site.Site()
    config = gateway_site.config(prepaid=1_000_000)
    for route in config["routes"]:
        route["targetLatencyMs"] = 200
    site.put("op", "config", config)
    await site.add_endpoint("other", "plain" if service == "engines" else "engines")
    endpoint = SilentEndpoint(**options)
    await endpoint.start()
    site.register("silent", service, endpoint.port)
    await site.start()
    try:
        yield site, endpoint
    finally:
        await site.stop()
        endpoint.stop()


async def leave_after(site, data, *, seconds):
    """Send a request and close the connection after so many seconds."""
    host, _, port = site.address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    await writer.drain()
    await asyncio.sleep(seconds)
    writer.close()


def leave_at_once(site, data):
    """Send a request and close the connection before the host can read it."""
    host, _, port = site.address.rpartition(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(data)


def answer_keeping(head, number):
    """Answer a request and keep its connection open."""
    return raw_endpoint.answer(head, headers=b"Keep-Alive: timeout=30"), False


class TakingOver:
    """Endpoints of which the first to be asked breaks off within its answer's head.

    By then the second one was asked too; it sends the head of an answer, no body.
    """

    HEAD_AFTER = 0.6  # seconds; an offer is made after 0.3
    BREAKS_OFF_AFTER = 0.5

    def __init__(self):
        self.begun = 0
        self.ended = 0
        self._listening = []

    async def listen(self):
        """Start one more endpoint; return its port."""
        listening = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._listening.append(listening)
        return listening.sockets[0].getsockname()[1]

    def stop(self):
        for listening in self._listening:
            listening.close()

    async def _serve(self, reader, writer):
        head = await reader.readuntil(HEAD_END)
        self.begun += 1
        answer = raw_endpoint.answer(head, body=b"0123456789")[:-10]
        if self.begun == 1:
            writer.write(answer[:9])
            await asyncio.sleep(self.BREAKS_OFF_AFTER)
        else:
            await asyncio.sleep(self.HEAD_AFTER)
            writer.write(answer)
            await reader.read()
        self.ended += 1
        writer.close()


class DroppedRunsTest(support.TestCase):
    def dropped_run(self, service="engines", *, body=b"", **options):
        """Return the fields of the line of a run that is dropped."""
        lines = self.collect_lines("run_dropped")

        async def scenario():
            async with running(service, **options) as (site, _):
                data = request("a1", body=body)
                await leave_after(site, data, seconds=0.3)
                await support.until(lambda: lines, seconds=WORK_BOUND)

        self.run_async(scenario())
        (line,) = lines
        return line

    def test_a_request_that_the_endpoint_has_waits_there(self):
        line = self.dropped_run()
        self.assertEqual(("at_endpoint", None), (line["place"], line["unsent"]))
        self.assertEqual(("a1", "silent"), (line["request"], line["endpoint"]))

    def test_one_that_the_endpoint_does_not_take_waits_on_the_way(self):
        line = self.dropped_run(body=BODY, reads_at_once=False)
        self.assertEqual("on_the_way", line["place"])
        self.assertGreater(line["unsent"], 0)


class CallersLeaveTest(support.TestCase):
    def test_work_ends_for_a_caller_that_left_after_a_large_body(self):
        async def scenario():
            async with running("engines") as (site, endpoint):
                for size in (1000, 65536, 100_000, 300_000):
                    seen = endpoint.closed
                    body = b"x" * size
                    await leave_after(site, request(f"a{size}", body=body), seconds=0.3)
                    await asyncio.sleep(WORK_BOUND)
                    self.assertEqual(seen + 1, endpoint.closed, size)

        self.run_async(scenario())

    def test_what_was_not_sent_when_its_caller_left_is_never_sent(self):
        async def scenario():
            async with running("engines", reads_at_once=False) as (site, endpoint):
                data = request("a1", body=BODY)
                await leave_after(site, data, seconds=0.3)
                await asyncio.sleep(WORK_BOUND)
                endpoint.reads.set()
                await support.until(lambda: endpoint.closed == endpoint.opened)
                self.assertEqual(0, endpoint.whole, endpoint.received)

        self.run_async(scenario())

    def test_nothing_is_sent_for_a_caller_whose_close_is_not_read_yet(self):
        async def scenario():
            site = gateway_site.Site()
            site.put("op", "config", gateway_site.config())
            endpoint = raw_endpoint.RawEndpoint(script=answer_keeping)
            await endpoint.start()
            site.register("raw", "plain", endpoint.port)
            await site.add_endpoint("other", "engines")
            await site.start()
            try:
                await site.ask("/look/x", attempt="a0", method="GET")
                for number in range(5):
                    data = request(f"b{number}", path="/look/x", tokens=False)
                    leave_at_once(site, data)
                await asyncio.sleep(WORK_BOUND)
                self.assertEqual(["a0"], endpoint.attempts)
            finally:
                await site.stop()
                endpoint.stop()

        self.run_async(scenario())

    def test_a_run_that_took_over_ends_with_its_caller_while_a_crash_is_confirmed(self):
        async def confirm(address):
            await asyncio.sleep(30.0)

        self.patch(endpoint_check, "has_ended", confirm)

        async def scenario():
            site = gateway_site.Site()
            site.put("op", "config", gateway_site.config())
            await site.add_endpoint("other", "engines")
            pair = TakingOver()
            for name in ("e1", "e2"):
                site.register(name, "plain", await pair.listen())
            await site.start()
            for _ in range(30):
                site.host_process.gateway.count_request("plain")
            try:
                await leave_after(site, request("a1", path="/look/x"), seconds=1.4)
                await asyncio.sleep(WORK_BOUND)
                self.assertEqual((2, 2), (pair.begun, pair.ended))
            finally:
                await site.stop()
                pair.stop()

        self.run_async(scenario())


class SilentEndpointTest(support.TestCase):
    def test_an_endpoint_that_reads_nothing_gets_few_requests(self):
        """Its kernel takes them, and it works on them after their callers have left."""

        async def scenario():
            async with running("plain", reads_at_once=False) as (site, endpoint):
                data = request("a", path="/look/x", tokens=False)
                callers = []
                for _ in range(45):
                    left = leave_after(site, data, seconds=0.5)
                    callers.append(asyncio.create_task(left))
                    await asyncio.sleep(3.0 / 45)
                await asyncio.gather(*callers)
                endpoint.reads.set()
                await support.until(lambda: endpoint.closed == endpoint.opened)
                sent = sum(size > 0 for size in endpoint.received)
                in_quiet = 45 * unanswered.MIN_QUIET / 3.0 + 1
                trials = 3.0 / unanswered.TRIAL_INTERVAL
                self.assertLessEqual(sent, in_quiet + trials)

        self.run_async(scenario())

    def test_callers_of_a_silent_service_are_told_when_it_is_tried_again(self):
        async def scenario():
            async with running("plain", reads_at_once=False) as (site, endpoint):
                data = request("a", path="/look/x", tokens=False)
                for _ in range(unanswered.MAX_UNANSWERED):
                    await leave_after(site, data, seconds=0.2)
                status, headers, _ = await site.ask("/look/x", attempt="b")
                self.assertEqual(503, status)
                self.assertGreater(float(headers["Retry-After"]), 0.5)

        self.run_async(scenario())

    def test_one_that_answers_again_is_used_again(self):
        kept = unanswered.Unanswered()
        for number in range(unanswered.MAX_UNANSWERED):
            self.assertEqual(0.0, kept.seconds_until_trial(0.0, number / 10))
            kept.record_send(number / 10)
        self.assertGreater(kept.seconds_until_trial(0.0, 0.6), 0.0)
        self.assertEqual(0.0, kept.seconds_until_trial(2.0, 0.6))
        self.assertEqual(0.0, kept.seconds_until_trial(0.0, 1.4))
        kept.record_send(1.4)
        self.assertEqual(1.0, kept.seconds_until_trial(0.0, 1.4))
        kept.record_sign_of_life()
        self.assertEqual(0.0, kept.seconds_until_trial(0.0, 1.5))
