"""A minimal model engine that speaks the common chat-completions protocol."""

import asyncio
import collections
import contextlib
import time
from collections import abc

from aiohttp import web

from dogwoodchute import sse
from dogwoodchute.standins import batch, connections, orders, prefix

LAST_EVENT_ID = "Last-Event-ID"
RESUMED_AFTER = "X-Resumed-After"
MAX_REPORTS = 1000  # load reports kept for `load_lag`


class Engine:
    """Answers each prompt with as many words as the output limit asks for.

    `token_seconds` is the pause before each token. `slots` sequences run at once and
    the others wait, the lowest `priority` first. A sequence whose connection is lost
    runs on for `linger` seconds and can be resumed by its `X-Request-Id` and
    `Last-Event-ID`, unless `resumable` is False. `POST /v1/cancel` ends it at once.
    `GET /load` returns the load of `load_lag` seconds ago, `GET /cache-events?after=N`
    what the prefix cache stored and removed. `/orders` is described in `orders`.
    `software` is the version of its software, which its events tell.

    Faults:
        connections.down, connections.silence(): See `connections`.
        silent: Accepts chats and never answers.
        batch.slowdown: A factor on the duration of each step.
        lose_answers: How many of the next requests run to their end and have their
            connection reset without an answer.
        garbage_answers: How many of the next answers are no event stream.
        bad_json_answers: How many of the next answers have events that are not JSON.
        reset_after_tokens: Resets the connection of each stream after that many tokens.
        reset_next_after_tokens: The same, for the next stream only.
        stall_after_tokens: Sends nothing more on each stream after that many tokens.
        resumes_any: Resumes streams of other engines too, by running them anew.
        overreport: Added to the completion tokens that are reported.
        refuse_status: The status with which chats are refused.
    """

    def __init__(
        self,
        *,
        token_seconds: float = 0.0,
        slots: int = 64,
        linger: float = 5.0,
        resumable: bool = True,
        checks_fence: bool = True,
        cache_blocks: int = 4096,
        software: str = "",
        now: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.connections = connections.Connections()
        self.batch = batch.Batch(slots=slots, token_seconds=token_seconds)
        self.cache = prefix.PrefixCache(capacity=cache_blocks, now=now)
        self.orders = orders.Orders(
            checks_fence=checks_fence, engine_connections=self.connections
        )
        self.linger = linger
        self.resumable = resumable
        self.software = software
        self.leaving = False
        self.load_lag = 0.0
        self.runs: list[str] = []  # request ids in order of arrival
        self.resumed: list[str] = []  # request ids
        self.cancelled: list[str] = []
        self.silent = False
        self.lose_answers = 0
        self.garbage_answers = 0
        self.bad_json_answers = 0
        self.reset_after_tokens: int | None = None
        self.reset_next_after_tokens: int | None = None
        self.stall_after_tokens: int | None = None
        self.resumes_any = False
        self.overreport = 0
        self.refuse_status: int | None = None
        self._now = now
        self._reports: collections.deque[dict] = collections.deque(maxlen=MAX_REPORTS)

    def restart(self, *, software: str = "") -> None:
        """Forget all sequences, as a new process at the same address would."""
        for sequence in self.batch.recent.values():
            self.batch.cancel(sequence)
        self.batch.recent.clear()
        self.software = software

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_post("/v1/cancel", self._cancel)
        app.router.add_get("/load", self._load)
        app.router.add_get("/cache-events", self._cache_events)
        self.orders.add_routes(app)
        return app

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        await self.connections.accept(request)
        if self.refuse_status is not None:
            return web.json_response({"error": "refused"}, status=self.refuse_status)
        if self.silent:
            await asyncio.sleep(connections.FOREVER)
        body = await request.json()
        request_id = request.headers.get("X-Request-Id", "")
        last_id = request.headers.get(LAST_EVENT_ID)
        if last_id is None:
            self.runs.append(request_id)
            return await self._answer(request, self._start(body, request_id), 0, {})
        sequence = self.batch.recent.get(request_id) if self.resumable else None
        if sequence is None and self.resumes_any:
            sequence = self._start(body, request_id)
        if sequence is None or sequence.cancelled:
            return web.json_response({"error": "nothing to resume"}, status=410)
        self.resumed.append(request_id)
        headers = {RESUMED_AFTER: last_id}
        return await self._answer(request, sequence, int(last_id) + 1, headers)

    def _start(self, body: dict, request_id: str) -> batch.Sequence:
        text = prefix.prompt_text(body["messages"])
        words = sum(len(str(m.get("content", "")).split()) for m in body["messages"])
        hashes = prefix.block_hashes(text)
        cached_blocks = self.cache.use(hashes)
        sequence = batch.Sequence(
            request_id=request_id,
            model=body["model"],
            prompt_tokens=words,
            cached_tokens=words * cached_blocks // max(1, len(hashes)),
            max_tokens=int(body.get("max_tokens", 16)),
            priority=int(body.get("priority", 0)),
            overreport=self.overreport,
            software=self.software,
        )
        self.batch.add(sequence)
        self._record_report()
        return sequence

    async def _answer(
        self,
        request: web.Request,
        sequence: batch.Sequence,
        position: int,
        headers: dict[str, str],
    ) -> web.StreamResponse:
        if self.lose_answers > 0:
            self.lose_answers -= 1
            while not (sequence.ended or sequence.cancelled):
                await sequence.events_from(len(sequence.events))
            self.connections.reset(request)
        headers = {"Content-Type": "text/event-stream", **headers}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        sequence.attached += 1
        try:
            await self._stream(request, sequence, position, response)
        finally:
            sequence.attached -= 1
            self._end_stream(sequence)
        return response

    async def _stream(
        self,
        request: web.Request,
        sequence: batch.Sequence,
        position: int,
        response: web.StreamResponse,
    ) -> None:
        if self.garbage_answers > 0:
            self.garbage_answers -= 1
            await response.write(b"\x00\xffnot an event stream")
            return
        if self.bad_json_answers > 0:
            self.bad_json_answers -= 1
            await response.write(b"data: {half an\n\n" + sse.DONE)
            return
        reset_after = (
            self.reset_after_tokens
            if self.reset_next_after_tokens is None
            else self.reset_next_after_tokens
        )
        self.reset_next_after_tokens = None
        while not sequence.cancelled:
            data = await sequence.events_from(position)
            if reset_after is not None and len(sequence.events) > reset_after:
                await response.write(b"".join(sequence.events[position:reset_after]))
                self.connections.reset(request)
            if (
                self.stall_after_tokens is not None
                and position >= self.stall_after_tokens
            ):
                await asyncio.sleep(connections.FOREVER)
            await self.connections.wait_if_silenced(request)
            await response.write(data)
            if sequence.ended:
                return
            position = len(sequence.events)

    def _end_stream(self, sequence: batch.Sequence) -> None:
        self._record_report()
        if sequence.ended or sequence.attached:
            return

        def expire() -> None:
            if not sequence.attached and self.batch.cancel(sequence):
                self.cancelled.append(sequence.request_id)

        linger = self.linger if self.resumable else 0.0
        with contextlib.suppress(RuntimeError):  # the loop is closing
            asyncio.get_running_loop().call_later(linger, expire)

    async def _cancel(self, request: web.Request) -> web.Response:
        await self.connections.accept(request)
        body = await request.json()
        sequence = self.batch.recent.get(body["request_id"])
        if sequence is None:
            return web.json_response({"error": "unknown request"}, status=404)
        if self.batch.cancel(sequence):
            self.cancelled.append(sequence.request_id)
        return web.json_response({"usage": sequence.usage})

    def _record_report(self) -> None:
        report = {
            "at": self._now(),
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            "slots": self.batch.slots,
            "cached_blocks": len(self.cache),
            "leaving": self.leaving,
        }
        self._reports.append(report)

    async def _load(self, request: web.Request) -> web.Response:
        await self.connections.accept(request)
        self._record_report()
        latest_at = self._now() - self.load_lag
        reported = self._reports[0]
        for report in self._reports:
            if report["at"] <= latest_at:
                reported = report
        return web.json_response(reported)

    async def _cache_events(self, request: web.Request) -> web.Response:
        await self.connections.accept(request)
        after = int(request.query.get("after", "0"))
        events = [event._asdict() for event in self.cache.events(after)]
        return web.json_response({"events": events})
