"""Crowds of callers that don't behave, as raw connections to a host's process."""

import asyncio
import contextlib
import os

CONNECT_TIMEOUT = 5.0  # seconds
PAUSE = 0.001  # seconds between the pieces of one caller
KEY = "X-Dogwoodchute-Credential: key-of-ann\r\n"


def head(path, *fields, attempt="crowd", method="POST"):
    """Return the head of a request that is sound by itself."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: site.example",
        f"X-Dogwoodchute-Attempt-Id: {attempt}",
        "X-Dogwoodchute-Deadline-Ms: 60000",
        KEY.strip(),
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def body_in_one_piece(path, size):
    """Return the pieces of a request whose body lacks its last byte."""
    return [head(path, f"Content-Length: {size}") + b"x" * (size - 1)]


def body_in_small_pieces(path, size, piece=700):
    """Return the same, written in small pieces."""
    whole = b"x" * (size - 1)
    pieces = [whole[at : at + piece] for at in range(0, len(whole), piece)]
    return [head(path, f"Content-Length: {size}"), *pieces]


def body_in_chunks(path, size, chunk=8000):
    """Return the same in chunks, without the last one."""
    each = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)
    return [head(path, "Transfer-Encoding: chunked"), *[each] * (size // chunk)]


def endless_body(path, size):
    """Return the pieces of a request whose body is far over any limit."""
    return [
        head(path, "Transfer-Encoding: chunked"),
        *[b"10000\r\n%s\r\n" % (b"x" * 0x10000)] * (size // 0x10000),
    ]


def many_fields(path, size, **options):
    """Return the pieces of a request whose head is full of short fields."""
    short = [f"a{number}:b" for number in range(size // 9)]
    return [head(path, *short, "Content-Length: 0", **options)]


def requests_ahead(path, count):
    """Return the pieces of many requests, one behind the other."""
    return [
        b"".join(
            head(path, "Content-Length: 0", attempt=f"ahead{number}")
            for number in range(first, first + 100)
        )
        for first in range(0, count, 100)
    ]


class Crowd:
    """Many callers who each send the same pieces, and then neither read nor close."""

    def __init__(self, address, pieces, *, count):
        self._address = address.rpartition(":")
        self._pieces = pieces
        self._count = count
        self._writers = []
        self._tasks = []

    async def __aenter__(self):
        calls = [asyncio.create_task(self._run()) for _ in range(self._count)]
        self._tasks = calls
        await asyncio.wait(calls, timeout=30.0)
        return self

    async def __aexit__(self, *error):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()

    async def _run(self):
        ip, _, port = self._address
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT):
                reader, writer = await asyncio.open_connection(ip, int(port), limit=1)
            self._writers.append(writer)
            for piece in self._pieces:
                writer.write(piece)
                # A host that stops reading holds a caller up only so long.
                async with asyncio.timeout(10.0):
                    await writer.drain()
                await asyncio.sleep(PAUSE)


def descriptors(process):
    """Return how many descriptors a process has open."""
    return len(os.listdir(f"/proc/{process}/fd"))
