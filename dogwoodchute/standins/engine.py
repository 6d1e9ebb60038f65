"""A toy model engine that speaks the common chat-completions protocol."""

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
MAX_REPORTS = 1000


class Engine:
    """Answers each prompt with as many words as the output limit asks for.

    `token_seconds` is the pause before each token; `slots` sequences run at once and
    the others wait, the lowest `priority` first. A stream whose connection is lost runs
    on for `linger` seconds and can be resumed by its `X-Request-Id` and
    `Last-Event-ID`, unless `resumable` is False. `POST /v1/cancel` ends it at once.
    `GET /load` tells the load of `load_lag` seconds ago, `GET /cache-events?after=N`
    what the prefix cache stored and removed, and `/orders` is described in `orders`.

    Faults: `links.down` and `links.silence()` as `connections` tells; `silent` accepts
    chats and never answers; `batching.slow` is a factor on time; `lose_answers` counts
    requests that run to their end and whose connection is then reset unanswered;
    `garbage` counts answers that are no event stream and `bad_json` answers whose
    events are no JSON; `cut_after` ends each stream after that many tokens, and
    `cut_once` the next one; `stall_after` lets each stream go silent after that many
    tokens; `overreport` is added to the tokens told; `refuse_status` is answered to
    chats.
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
        now: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.links = connections.Connections()
        self.batching = batch.Batch(slots=slots, token_seconds=token_seconds)
        self.cache = prefix.PrefixCache(capacity=cache_blocks, now=now)
        self.orders = orders.Orders(checks_fence=checks_fence, links=self.links)
        self.linger = linger
        self.resumable = resumable
        self.leaving = False
        self.load_lag = 0.0
        self.runs: list[str] = []  # request ids in order of arrival
        self.resumed: list[str] = []
        self.cancelled: list[str] = []
        self.silent = False
        self.lose_answers = 0
        self.garbage = 0
        self.bad_json = 0
        self.cut_after: int | None = None
        self.cut_once: int | None = None
        self.stall_after: int | None = None
        self.overreport = 0
        self.refuse_status: int | None = None
        self._now = now
        self._reports: collections.deque[dict] = collections.deque(maxlen=MAX_REPORTS)

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
        await self.links.enter(request)
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
        sequence = self.batching.kept.get(request_id) if self.resumable else None
        if sequence is None or sequence.cancelled:
            return web.json_response({"error": "nothing to resume"}, status=410)
        self.resumed.append(request_id)
        headers = {RESUMED_AFTER: last_id}
        return await self._answer(request, sequence, int(last_id) + 1, headers)

    def _start(self, body: dict, request_id: str) -> batch.Sequence:
        text = prefix.prompt_text(body["messages"])
        words = sum(len(str(m.get("content", "")).split()) for m in body["messages"])
        hashes = prefix.block_hashes(text)
        held = self.cache.use(hashes)
        sequence = batch.Sequence(
            request_id=request_id,
            model=body["model"],
            prompt=words,
            cached=words * held // max(1, len(hashes)),
            limit=int(body.get("max_tokens", 16)),
            priority=int(body.get("priority", 0)),
            overreport=self.overreport,
        )
        self.batching.add(sequence)
        self._report()
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
                await sequence.after(len(sequence.events))
            self.links.reset(request)
        headers = {"Content-Type": "text/event-stream", **headers}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        sequence.attached += 1
        try:
            await self._stream(request, sequence, position, response)
        finally:
            sequence.attached -= 1
            self._detached(sequence)
        return response

    async def _stream(
        self,
        request: web.Request,
        sequence: batch.Sequence,
        position: int,
        response: web.StreamResponse,
    ) -> None:
        if self.garbage > 0:
            self.garbage -= 1
            await response.write(b"\x00\xffnot an event stream")
            return
        if self.bad_json > 0:
            self.bad_json -= 1
            await response.write(b"data: {half an\n\n" + sse.DONE)
            return
        cut = self.cut_after if self.cut_once is None else self.cut_once
        self.cut_once = None
        while not sequence.cancelled:
            data = await sequence.after(position)
            if cut is not None and len(sequence.events) > cut:
                await response.write(b"".join(sequence.events[position:cut]))
                self.links.reset(request)
            if self.stall_after is not None and position >= self.stall_after:
                await asyncio.sleep(connections.FOREVER)
            await self.links.hold(request)
            await response.write(data)
            if sequence.ended:
                return
            position = len(sequence.events)

    def _detached(self, sequence: batch.Sequence) -> None:
        self._report()
        if sequence.ended or sequence.attached:
            return

        def expire() -> None:
            if not sequence.attached and self.batching.cancel(sequence):
                self.cancelled.append(sequence.request_id)

        linger = self.linger if self.resumable else 0.0
        with contextlib.suppress(RuntimeError):  # the loop is closing
            asyncio.get_running_loop().call_later(linger, expire)

    async def _cancel(self, request: web.Request) -> web.Response:
        await self.links.enter(request)
        body = await request.json()
        sequence = self.batching.kept.get(body["request_id"])
        if sequence is None:
            return web.json_response({"error": "unknown request"}, status=404)
        if self.batching.cancel(sequence):
            self.cancelled.append(sequence.request_id)
        return web.json_response({"usage": sequence.usage})

    def _report(self) -> None:
        report = {
            "at": self._now(),
            "running": len(self.batching.running),
            "waiting": len(self.batching.waiting),
            "slots": self.batching.slots,
            "cached_blocks": len(self.cache),
            "leaving": self.leaving,
        }
        self._reports.append(report)

    async def _load(self, request: web.Request) -> web.Response:
        await self.links.enter(request)
        self._report()
        visible = self._now() - self.load_lag
        shown = self._reports[0]
        for report in self._reports:
            if report["at"] <= visible:
                shown = report
        return web.json_response(shown)

    async def _cache_events(self, request: web.Request) -> web.Response:
        await self.links.enter(request)
        after = int(request.query.get("after", "0"))
        events = [event._asdict() for event in self.cache.events(after)]
        return web.json_response({"events": events})
