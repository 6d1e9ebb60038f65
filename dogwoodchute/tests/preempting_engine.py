"""An engine that falls silent in the middle of a stream, and then goes on."""

import asyncio
import contextlib
import re
import time

ATTEMPT = re.compile(rb"X-Dogwoodchute-Attempt-Id: (\S+)", re.IGNORECASE)
LAST_EVENT = re.compile(rb"Last-Event-Id: (\d+)", re.IGNORECASE)
HEAD_END = b"\r\n\r\n"
EVENT_PAUSE = 0.01  # seconds


class PreemptingEngine:
    """Sends events 1 to `events`, and is silent for `silence` seconds after `after`.

    One that is `full` refuses. One that `works_on` does not notice that its connection
    was closed. `runs` has the begin and the end of each run, the end None before.
    """

    def __init__(self, *, events=20, after=5, silence=0.0, full=False, works_on=False):
        self.full = full
        self.runs = []
        self.refusals = 0
        self.port = 0
        self._events = events
        self._after = after
        self._silence = silence
        self._works_on = works_on
        self._listening = None
        self._writers = set()

    async def start(self):
        self._listening = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._listening.sockets[0].getsockname()[1]

    def stop(self):
        self._listening.close()

    def go_dark(self):
        """Accept no connection, and send nothing on those that are open."""
        self.stop()
        for writer in self._writers:
            writer.transport.pause_reading()
        self._silence = 3600.0

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with (
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
            contextlib.closing(writer),
        ):
            while True:
                head = await reader.readuntil(HEAD_END)
                if self.full:
                    self.refusals += 1
                    writer.write(_refusal(head))
                    continue
                await self._run(head, reader, writer)

    async def _run(self, head, reader, writer):
        found = LAST_EVENT.search(head)
        first = int(found.group(1)) + 1 if found else 1
        run = [time.monotonic(), None]
        self.runs.append(run)
        try:
            writer.write(_stream_head(head))
            for number in range(first, self._events + 1):
                if number == self._after + 1 and first == 1:
                    await self._pause(reader)
                data = b"id: %d\ndata: text %d\n\n" % (number, number)
                if not writer.transport.is_closing():
                    writer.write(b"%x\r\n%b\r\n" % (len(data), data))
                await asyncio.sleep(EVENT_PAUSE)
            if not writer.transport.is_closing():
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        finally:
            run[1] = time.monotonic()

    async def _pause(self, reader):
        until = time.monotonic() + self._silence
        while time.monotonic() < until:
            await asyncio.sleep(0.01)
            if reader.at_eof() and not self._works_on:
                raise ConnectionResetError("the caller has left")


def overlap(engines):
    """Return the seconds for which two engines worked on the same request."""
    runs = sorted(run for engine in engines for run in engine.runs)
    return max(
        (first[1] - second[0] for first, second in zip(runs, runs[1:], strict=False)),
        default=0.0,
    )


def _stream_head(head):
    return b"\r\n".join(
        [
            b"HTTP/1.1 200 OK",
            b"X-Dogwoodchute-Attempt-Id: " + ATTEMPT.search(head).group(1),
            b"X-Dogwoodchute-Response-Signature: sig",
            b"Content-Type: text/event-stream",
            b"Transfer-Encoding: chunked\r\n\r\n",
        ]
    )


def _refusal(head):
    return b"\r\n".join(
        [
            b"HTTP/1.1 503 Busy",
            b"X-Dogwoodchute-Attempt-Id: " + ATTEMPT.search(head).group(1),
            b"X-Dogwoodchute-Not-Executed: 1",
            b"Content-Length: 0\r\n\r\n",
        ]
    )
