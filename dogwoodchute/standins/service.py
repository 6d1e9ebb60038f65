"""A minimal HTTP service that accepts orders and records the calls that ran."""

import asyncio

from aiohttp import web

from dogwoodchute.standins import connections


class Service:
    """Records each call that ran and answers the number of calls so far.

    Faults:
        connections.down, connections.silence(): See `connections`.
        silent: Runs calls and never answers.
        delay: Seconds before each answer.
        lose_answers: How many of the next calls run and have their connection reset
            without an answer.
        garbage_answers: How many of the next answers are not HTTP.
        truncated_answers: How many of the next answers end in the middle.
        status: The status of answers to calls that ran.
    """

    def __init__(self) -> None:
        self.connections = connections.Connections()
        self.calls: list[tuple[str, str, bytes]] = []  # method, path, body
        self.silent = False
        self.delay = 0.0
        self.lose_answers = 0
        self.garbage_answers = 0
        self.truncated_answers = 0
        self.status = 201
        self.headers: dict[str, str] = {}  # of answers

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._call)
        return app

    async def _call(self, request: web.Request) -> web.Response:
        await self.connections.accept(request)
        body = await request.read()
        self.calls.append((request.method, request.path, body))
        if self.silent:
            await asyncio.sleep(connections.FOREVER)
        if self.delay:
            await asyncio.sleep(self.delay)
        await self.connections.wait_if_silenced(request)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            self.connections.reset(request)
        if self.garbage_answers > 0:
            self.garbage_answers -= 1
            request.transport.write(b"no status line at all\r\n\r\n")
            self.connections.reset(request)
        if self.truncated_answers > 0:
            self.truncated_answers -= 1
            request.transport.write(
                b"HTTP/1.1 201 Created\r\nContent-Length: 100\r\n\r\n{"
            )
            await asyncio.sleep(0.05)
            self.connections.reset(request)
        request_id = request.headers.get("Idempotency-Key", "")
        return web.json_response(
            {"order": len(self.calls)},
            status=self.status,
            headers={"Idempotency-Key": request_id, **self.headers},
        )
