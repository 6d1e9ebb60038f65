"""A stand-in for an endpoint on the platform, with faults on demand."""

import asyncio
import time
import typing

import sanic

OK = "ok"
SHED = "shed"  # refuses, with a header that it did not run the request
ERROR = "error"
BREAK = "break"  # aborts a stream in the middle of an event
# These end a stream after `break_after` whole events, without its closing chunk.
CLOSE = "close"  # closes the connection, which sends a FIN
ABORT = "abort"  # aborts the connection
HANG = "hang"  # goes silent and keeps the connection
SILENT = "silent"  # runs the request and never answers
OTHER_ID = "other_id"  # answers with the attempt id of another request
UNSIGNED = "unsigned"  # answers without the signature header

ATTEMPT_ID = "X-Dogwoodchute-Attempt-Id"
TARGET = "X-Dogwoodchute-Target-Instance"
SIGNATURE = "X-Dogwoodchute-Response-Signature"
REPORT_PATH = "api/report"
MEMORY_TOKENS = 100_000  # named in reports
HANG_TIME = 3600.0  # seconds; no test waits for its end


class ReceivedRequest(typing.NamedTuple):
    """One request as the endpoint received it."""

    attempt_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    ran: bool


class Endpoint:
    """One endpoint. `next_modes` says how to treat the next requests, then `OK`.

    `software` is the version of its software. Each event names it, unless it is "".
    """

    def __init__(
        self, *, id: str, events: int = 5, pause: float = 0.0, software: str = ""
    ) -> None:
        self.id = id
        self.software = software
        # Unix milliseconds of its start, as its row and its reports say.
        self.born = time.time_ns() // 1_000_000
        self.events = events  # number of events of each stream
        self.pause = pause  # seconds between events
        self.extra_bytes = 0  # added to each plain answer
        self.delay = 0.0  # seconds before each plain answer
        self.break_after = 2  # events of a stream that `CLOSE` and the like break off
        self.next_modes: list[str] = []
        self.received: list[ReceivedRequest] = []
        self.cancelled = 0
        self.misdirected = 0  # requests for another endpoint, which did not run
        self.reports = 0  # how often it was asked for a report
        self._running = 0  # requests

    @property
    def runs(self) -> list[str]:
        """The ids of the requests that ran, in order."""
        return [each.attempt_id for each in self.received if each.ran]

    def add_routes(self, app: sanic.Sanic) -> None:
        """Serve all paths of `app`."""
        app.add_route(
            self._handle,
            "/<path:path>",
            methods=["GET", "POST"],
            name=f"endpoint-{self.id}",
        )

    def report(self) -> dict:
        """Return what the endpoint says of itself when it is asked for a report."""
        return {
            "born": self.born,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "state": "ready",
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "running": self._running,
            "kvUsed": 0,
            "kvTotal": MEMORY_TOKENS,
            "handles": 0,
            "pinned": 0,
            "held": 0,
            "next": 0,
            "runs": [],
        }

    async def _handle(
        self, request: sanic.Request, path: str
    ) -> sanic.HTTPResponse | None:
        if path == REPORT_PATH and request.method == "GET":
            self.reports += 1
            return sanic.json(self.report())
        self._running += 1
        try:
            await self._run(request, path)
        finally:
            self._running -= 1
        return None

    async def _run(self, request: sanic.Request, path: str) -> None:
        headers = {name.lower(): value for name, value in request.headers.items()}
        if headers.get(TARGET.lower(), self.id) != self.id:
            self.misdirected += 1
            await self._answer(request, 421, {}, b"another endpoint")
            return
        mode = self.next_modes.pop(0) if self.next_modes else OK
        attempt_id = headers.get(ATTEMPT_ID.lower(), "")
        self.received.append(
            ReceivedRequest(
                attempt_id, request.path, headers, request.body, mode != SHED
            )
        )
        reply = {ATTEMPT_ID: attempt_id, SIGNATURE: f"sig-{self.id}"}
        if mode == SILENT:
            await asyncio.sleep(HANG_TIME)
        if mode == OTHER_ID:
            reply[ATTEMPT_ID] = "of-another-request"
        if mode == UNSIGNED:
            del reply[SIGNATURE]
        if mode == SHED:
            refusal = {**reply, "X-Dogwoodchute-Not-Executed": "1"}
            await self._answer(request, 503, refusal, b"busy")
        elif mode == ERROR:
            await self._answer(request, 500, reply, b"failed")
        elif "stream" in path:
            await self._stream(request, reply, mode)
        else:
            await asyncio.sleep(self.delay)
            content = b"answer of " + self.id.encode() + bytes(self.extra_bytes)
            await self._answer(request, 200, reply, content)

    async def _answer(
        self, request: sanic.Request, status: int, headers: dict, body: bytes
    ) -> None:
        response = await request.respond(status=status, headers=headers)
        await response.send(body, True)

    async def _stream(self, request: sanic.Request, headers: dict, mode: str) -> None:
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        response = await request.respond(
            headers=headers, content_type="text/event-stream"
        )
        last_whole = first + self.break_after - 1
        try:
            for number in range(first, self.events + 1):
                if mode == BREAK and number == first + 2:
                    await response.send(b"id: 9")
                    request.transport.abort()
                    return
                await response.send(self._event(number))
                await asyncio.sleep(self.pause)
                if number != last_whole:
                    continue
                if mode == HANG:
                    await asyncio.sleep(HANG_TIME)
                if mode == CLOSE:
                    request.transport.close()
                    return
                if mode == ABORT:
                    request.transport.abort()
                    return
            await response.send(b"", True)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    def _event(self, number: int) -> bytes:
        text = f"t{number} {self.software}".rstrip()
        return f"id: {number}\ndata: {text}\n\n".encode()
