"""Endpoints that send bytes without end where an answer is due."""

import asyncio
import contextlib
import time

from dogwoodchute.tests import gateway_site, support

PIECE = 1 << 16  # bytes written at once by a fast endpoint
SLOW_PIECE = 16  # bytes written at once by a slow one
SLOW_PAUSE = 0.05  # seconds between them
MAX_SENT = 32 << 20  # bytes: what a host reads of one answer, and the system's buffers
WAIT = 2.5 + 0.4  # seconds that the caller allows, and some for a busy machine
MAX_REFUSAL = 1000  # bytes of an answer of the host's own
AT_ONCE = 2  # requests, of which the retry budget lets one be repeated
PAID_IN = 10  # requests, whose share of the retry budget covers two repeats
MAX_PAUSE = 0.3  # seconds for which nothing else may run
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Dogwoodchute-Attempt-Id: a1\r\n"
    b"X-Dogwoodchute-Response-Signature: s\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What is sent once, and what is sent again and again after that.
ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "nothing like HTTP": (b"", b"x"),
    "empty lines": (b"", b"\r\n"),
    "header lines": (HEAD, b"X-A: b\r\n"),
    "header name": (HEAD, b"x"),
    "header value": (HEAD + b"X-A: ", b"x"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"5;", b"x"),
    "chunks": (CHUNKED, b"5\r\nhello\r\n"),
    "trailer lines": (CHUNKED + b"2\r\nok\r\n0\r\n", b"X-A: b\r\n"),
    "trailer": (CHUNKED + b"2\r\nok\r\n0\r\nX-A: ", b"x"),
    "body without length": (HEAD + b"\r\n", b"x"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim answers with headers": (b"", b"HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n"),
}
AFTER_THE_END = (HEAD + b"Content-Length: 2\r\n\r\nok", b"x")


class Endless:
    """An endpoint whose every answer has no end."""

    def __init__(self, *, first, then, slow):
        self.sent = 0  # bytes
        self.open = 0  # connections
        self.requests = 0
        self._first = first
        self._then = then
        self._slow = slow
        self._listening = None

    async def start(self):
        """Listen; return the port."""
        self._listening = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._listening.sockets[0].getsockname()[1]

    def stop(self):
        self._listening.close()

    async def _serve(self, reader, writer):
        self.open += 1
        size = SLOW_PIECE if self._slow else PIECE
        piece = self._then * max(1, size // len(self._then))
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            writer.write(self._first)
            while not writer.is_closing():
                writer.write(piece)
                self.sent += len(piece)
                await writer.drain()
                await asyncio.sleep(SLOW_PAUSE if self._slow else 0)
        self.open -= 1
        writer.close()


class Pauses:
    """The longest time for which the loop ran nothing else."""

    def __init__(self):
        self.longest = 0.0  # seconds
        self._task = asyncio.create_task(self._run())

    async def _run(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            self.longest = max(self.longest, time.monotonic() - before)

    def stop(self):
        self._task.cancel()


@contextlib.asynccontextmanager
async def endless(first, then, *, service, slow, beside=False):
    """Run a site with an endless endpoint of a service, alone or beside a sound one."""
    site = gateway_site.Site()
    site.put("op", "config", gateway_site.config())
    other = "engines" if service == "plain" else "plain"
    await site.add_endpoint("sound", other)
    if beside:
        await site.add_endpoint("beside", service)
    endpoint = Endless(first=first, then=then, slow=slow)
    site.register("endless", service, await endpoint.start())
    await site.start()
    pauses = Pauses()
    try:
        yield site, endpoint, pauses
    finally:
        pauses.stop()
        endpoint.stop()
        await site.stop()


def turns(slow):
    """Return what lets one fast endpoint send at a time, and all slow ones."""
    return asyncio.Semaphore(len(ENDLESS) if slow else 1)


class UnendingTest(support.TestCase):
    def check(self, path, *, service, slow):
        """Ask the one endpoint of a service, with each kind of answer."""

        async def one(name, turn):
            first, then = ENDLESS[name]
            running = endless(first, then, service=service, slow=slow)
            async with running as (site, endpoint, pauses), turn:
                pauses.longest = 0.0
                began = time.monotonic()
                try:
                    status, _, body = await site.ask(path)
                except gateway_site.BROKEN:
                    status, body = None, b""
                self.assertLess(time.monotonic() - began, WAIT, name)
                self.assertIn(status, (502, 504, None), name)
                self.assertLess(len(body), MAX_REFUSAL, name)
                await support.until(lambda: not endpoint.open, seconds=1.0)
                self.assertLess(endpoint.sent, MAX_SENT, name)
                self.assertLess(pauses.longest, MAX_PAUSE, name)
                return status

        async def story():
            turn = turns(slow)
            await asyncio.gather(*(one(name, turn) for name in ENDLESS))

        self.run_async(story())

    def test_a_call_is_answered_whatever_a_fast_endpoint_sends(self):
        self.check("/order/x", service="plain", slow=False)

    def test_a_call_is_answered_whatever_a_slow_endpoint_sends(self):
        self.check("/order/x", service="plain", slow=True)

    def test_a_stream_ends_whatever_a_fast_endpoint_sends(self):
        self.check("/o/x", service="engines", slow=False)

    def test_a_stream_ends_whatever_a_slow_endpoint_sends(self):
        self.check("/o/x", service="engines", slow=True)

    def test_what_may_be_repeated_is_answered_elsewhere(self):
        """An endpoint that sent a byte now and then kept calls until their end."""

        async def one(name, path, service, slow, turn):
            first, then = ENDLESS[name]
            running = endless(first, then, service=service, slow=slow, beside=True)
            async with running as (site, endpoint, _), turn:
                # Each of them may need a repeat, whichever endpoint it meets first.
                for _ in range(PAID_IN):
                    site.host_process.gateway.count_request(service)
                # Of some at once, the less loaded endpoint gets its share.
                wait = {"X_Dogwoodchute_Deadline_Ms": "3000"}
                asked = [
                    site.ask(path, attempt=f"a{number}", **wait)
                    for number in range(AT_ONCE)
                ]
                for status, _, _ in await asyncio.gather(*asked):
                    self.assertEqual(200, status, f"{name} {path} slow={slow}")
                self.assertGreater(endpoint.requests, 0, name)
                await support.until(lambda: not endpoint.open, seconds=1.0)

        async def story():
            for path, service in (("/look/x", "plain"), ("/s/stream", "engines")):
                for slow in (False, True):
                    turn = turns(slow)
                    asked = [one(name, path, service, slow, turn) for name in ENDLESS]
                    await asyncio.gather(*asked)

        self.run_async(story(), timeout=90.0)

    def test_bytes_after_the_answer_reach_nobody(self):
        async def story():
            first, then = AFTER_THE_END
            running = endless(first, then, service="plain", slow=False)
            async with running as (site, endpoint, pauses):
                for _ in range(3):
                    status, _, body = await site.ask("/look/x")
                    self.assertEqual((200, b"ok"), (status, body))
                await support.until(lambda: not endpoint.open, seconds=1.0)
                self.assertLess(endpoint.sent, MAX_SENT)
                self.assertLess(pauses.longest, MAX_PAUSE)

        self.run_async(story())
