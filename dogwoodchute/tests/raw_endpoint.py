"""An endpoint that writes raw bytes, to imitate faulty ones."""

import asyncio
import contextlib
import json
import re
import time

ATTEMPT = re.compile(rb"X-Dogwoodchute-Attempt-Id: (\S+)", re.IGNORECASE)
HEAD_END = b"\r\n\r\n"
REPORT = b"GET /api/report "


class RawEndpoint:
    """Answers each request with the bytes that `script` returns.

    `script` takes the request's head and its number on the connection. It returns the
    bytes to write, and whether to close the connection after them. Requests for a
    report don't reach it.
    """

    def __init__(self, *, script, software=""):
        self.script = script
        self.software = software  # the version of it, for the endpoint's row
        self.born = time.time_ns() // 1_000_000  # Unix milliseconds, as the row says
        self.attempts = []  # attempt ids, in order
        self.port = 0
        self._listening = None

    async def start(self):
        self._listening = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._listening.sockets[0].getsockname()[1]

    def stop(self):
        self._listening.close()

    async def _serve(self, reader, writer):
        number = 0
        with (
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
            contextlib.closing(writer),
        ):
            while True:
                head = await reader.readuntil(HEAD_END)
                if head.startswith(REPORT):
                    writer.write(self._report())
                    await writer.drain()
                    continue
                number += 1
                self.attempts.append(ATTEMPT.search(head).group(1).decode())
                data, closes = self.script(head, number)
                writer.write(data)
                await writer.drain()
                if closes:
                    break

    def _report(self):
        body = json.dumps({"born": self.born, "state": "ready"}).encode()
        kind = b"Content-Type: application/json"
        return b"HTTP/1.1 200 OK\r\n%b\r\nContent-Length: %d\r\n\r\n%b" % (
            kind,
            len(body),
            body,
        )


def answer(head, *, status=b"200 OK", body=b"", headers=b"", framed=True):
    """Return an endpoint's answer to the request with `head`."""
    lines = [
        b"HTTP/1.1 " + status,
        b"X-Dogwoodchute-Attempt-Id: " + ATTEMPT.search(head).group(1),
        b"X-Dogwoodchute-Response-Signature: sig",
    ]
    if headers:
        lines.append(headers)
    if framed:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + HEAD_END + body
