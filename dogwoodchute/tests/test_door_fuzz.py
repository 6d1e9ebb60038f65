"""Random heads, lengths, chunks and pipelines at the address for callers.

Some are damaged. Whatever comes, no answer goes to another request, a refusal means
that its request has not run, nothing runs twice, nothing escapes a handler, and an
ordinary request is answered afterwards.
"""

import asyncio
import contextlib
import logging
import os
import random
import re
import typing

from dogwoodchute import log
from dogwoodchute.tests import gateway_site, support

SEED = int(os.environ.get("DOGWOODCHUTE_FUZZ_SEED", "0"))
CONNECTIONS = int(os.environ.get("DOGWOODCHUTE_FUZZ_EXAMPLES", "80"))
IDLE = 0.25  # seconds without a byte after which no more answers are waited for
MAX_TIME = 20.0  # seconds for one connection
NOT_RUN = {408, 421, 429, 503}
PATHS = ["/order/x", "/look/y", "/open/z", "/none/x", "/s/stream", "/", "/order/%2e/x"]
ANSWER = re.compile(rb"HTTP/1\.1 (\d{3}) [^\r\n]*\r\n(.*?)\r\n\r\n", re.DOTALL)
ATTEMPT = re.compile(rb"(?im)^x-dogwoodchute-attempt-id: *([^\r\n]+)")
JUNK = [
    b"\x00",
    b"\r",
    b"\n\n",
    b":",
    b" ",
    b"\xff\xfe",
    b"x" * 20_000,
    b"a: b\r\n" * 400,
]


class Sent(typing.NamedTuple):
    """A request of a pipeline, in bytes as it is sent."""

    id: str
    data: bytes
    is_sound: bool


class Answer(typing.NamedTuple):
    status: int
    attempt_id: str | None


def request(rng, number):
    """Return one request of a pipeline."""
    id = f"id{number}-{rng.randrange(10**9)}"
    body = rng.randbytes(rng.choice([0, 1, 200, 3_000]))
    head = [
        b"%s %s HTTP/1.1" % (rng.choice([b"POST", b"GET"]), rng.choice(PATHS).encode()),
        b"Host: site.example",
        b"X-Dogwoodchute-Attempt-Id: " + id.encode(),
        b"X-Dogwoodchute-Deadline-Ms: 2500",
        b"X-Dogwoodchute-Credential: " + gateway_site.KEY.encode(),
    ]
    if rng.random() < 0.5:
        head.append(b"Content-Length: %d" % len(body))
    else:
        head.append(b"Transfer-Encoding: chunked")
        pieces = [body[i : i + 700] for i in range(0, len(body), 700)]
        chunks = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces]
        body = b"".join(chunks) + b"0\r\n\r\n"
    data = b"\r\n".join(head) + b"\r\n\r\n" + body
    if rng.random() < 0.75:
        return Sent(id, data, is_sound=True)
    return Sent(id, damaged(rng, data), is_sound=False)


def damaged(rng, data):
    """Return bytes of a request with something wrong in them."""
    at = rng.randrange(len(data))
    return rng.choice(
        [
            lambda: data[:at],
            lambda: data[:at] + rng.choice(JUNK) + data[at:],
            lambda: data[:at] + rng.randbytes(1) + data[at + 1 :],
            lambda: data.replace(b"Content-Length: ", b"Content-Length: 9"),
            lambda: data.replace(b"Content-Length: ", b"Content-Length: -"),
            lambda: data.replace(
                b"\r\n\r\n", b"\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\n", 1
            ),
            lambda: data.replace(b"\r\n", b"\n"),
            lambda: data.replace(b"HTTP/1.1", rng.choice([b"HTTP/9.9", b"HTTP", b""])),
            lambda: data.replace(b"\r\n0\r\n", b"\r\nffffffffffffffffff\r\n"),
        ]
    )()


class DoorFuzzTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.escaped = []
        logged = log.exception

        def exception(event, **fields):
            self.escaped.append(event)
            logged(event, **fields)

        self.patch(log, "exception", exception)
        handler = logging.Handler(logging.ERROR)
        handler.emit = lambda record: self.escaped.append(record.getMessage())
        for name in ("asyncio", "sanic.error", "sanic.root", "sanic.server"):
            logger = logging.getLogger(name)
            logger.addHandler(handler)
            self.addCleanup(logger.removeHandler, handler)

    async def exchange(self, address, pipeline, rng):
        """Send a pipeline in pieces; return the answers, up to the first odd byte."""
        ip, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        data = b"".join(sent.data for sent in pipeline)
        received = b""

        async def send():
            left = data
            with contextlib.suppress(OSError):
                while left:
                    size = rng.choice([1, 60, 1_000, len(left)])
                    writer.write(left[:size])
                    await writer.drain()
                    left = left[size:]
                    await asyncio.sleep(rng.choice([0, 0, 0.001]))

        sending = asyncio.create_task(send())
        try:
            async with asyncio.timeout(MAX_TIME):
                while True:
                    is_last = sending.done()
                    try:
                        async with asyncio.timeout(IDLE):
                            piece = await reader.read(1 << 16)
                    except TimeoutError:
                        if is_last:
                            break
                        continue
                    if not piece:
                        break
                    received += piece
        except OSError:
            pass
        finally:
            sending.cancel()
            writer.close()
        return [answer_of(found) for found in ANSWER.finditer(received)]

    def check(self, pipeline, answers, runs, seed):
        """Check the answers against what ran."""
        numbers = {sent.id: number for number, sent in enumerate(pipeline)}
        order = []
        for name in (answer.attempt_id for answer in answers if answer.attempt_id):
            if name in numbers:
                order.append(numbers[name])
                continue
            # The damage was to the id itself.
            damaged_data = [sent.data for sent in pipeline if not sent.is_sound]
            self.assertIn(name.encode(), b"".join(damaged_data), seed)
        self.assertEqual(sorted(set(order)), order, seed)
        sound = 0
        while sound < len(pipeline) and pipeline[sound].is_sound:
            sound += 1
        for sent, answer in zip(pipeline[:sound], answers, strict=False):
            if answer.attempt_id:
                self.assertEqual(sent.id, answer.attempt_id, seed)
            if answer.status in NOT_RUN:
                self.assertNotIn(sent.id, runs, seed)

    def test_whatever_callers_send(self):
        async def scenario():
            async with gateway_site.running() as site:
                for seed in range(SEED, SEED + CONNECTIONS):
                    rng = random.Random(seed)
                    pipeline = [request(rng, n) for n in range(rng.randint(1, 5))]
                    answers = await self.exchange(site.address, pipeline, rng)
                    runs = [i for each in site.endpoints.values() for i in each.runs]
                    self.check(pipeline, answers, runs, seed)
                    self.assertEqual(len(set(runs)), len(runs), seed)
                    self.assertEqual([], self.escaped, seed)
                status, _, _ = await site.ask("/order/x", attempt="last")
                self.assertEqual(200, status)

        self.run_async(scenario(), timeout=300.0)


def answer_of(found):
    """Return the answer whose head was found."""
    named = ATTEMPT.search(found[2])
    return Answer(int(found[1]), named[1].decode() if named else None)
