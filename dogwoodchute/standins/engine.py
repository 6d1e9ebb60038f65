"""A toy model engine that speaks the common chat-completions protocol."""

import asyncio
import json

from aiohttp import web

from dogwoodchute import sse

WORDS = ("the", "stove", "net", "is", "ready", "for", "the", "season")


class Engine:
    """Answers each prompt with as many words as the output limit asks for.

    `token_seconds` is the pause before each token. The faults count requests to come:
    `garbage` answers bytes that are no event stream, `cut_after` ends the stream after
    that many tokens, `silent` accepts and never answers, `overreport` adds that many
    tokens to the usage told.
    """

    def __init__(self, *, token_seconds: float = 0.0) -> None:
        self.token_seconds = token_seconds
        self.runs: list[str] = []  # request ids in order of arrival
        self.garbage = 0
        self.cut_after: int | None = None
        self.silent = False
        self.overreport = 0
        self.cancelled: list[str] = []

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_post("/v1/chat/completions", self._chat)
        return app

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        request_id = request.headers.get("X-Request-Id", "")
        self.runs.append(request_id)
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        if self.silent:
            await asyncio.sleep(3600)
        if self.garbage > 0:
            self.garbage -= 1
            await response.write(b"\x00\xffnot an event stream")
            return response
        try:
            await self._stream(body, request_id, response)
        except (ConnectionResetError, asyncio.CancelledError):
            self.cancelled.append(request_id)
            raise
        return response

    async def _stream(
        self, body: dict, request_id: str, response: web.StreamResponse
    ) -> None:
        limit = int(body.get("max_tokens", 16))
        prompt = sum(len(str(m.get("content", "")).split()) for m in body["messages"])
        for position in range(limit):
            if self.cut_after is not None and position >= self.cut_after:
                response.force_close()
                return
            if self.token_seconds:
                await asyncio.sleep(self.token_seconds)
            last = position == limit - 1
            event = chunk(request_id, body["model"], position, last)
            event["usage"] = usage(prompt, position + 1 + self.overreport)
            await response.write(b"data: " + json.dumps(event).encode() + b"\n\n")
        await response.write(sse.DONE)


def chunk(request_id: str, model: str, position: int, last: bool) -> dict:
    """Return the chat event of the token at `position`."""
    delta = {"content": WORDS[position % len(WORDS)] + " "}
    choice = {"index": 0, "delta": delta, "finish_reason": "length" if last else None}
    return {
        "id": request_id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [choice],
    }


def usage(prompt: int, completion: int) -> dict:
    """Return the usage map of a chat event."""
    return {
        "prompt_tokens": prompt,
        "completion_tokens": completion,
        "total_tokens": prompt + completion,
    }
