"""A toy plain service that takes orders and counts what really ran."""

import asyncio

from aiohttp import web

from dogwoodchute.standins import connections


class Service:
    """Records each call that ran and answers the number of calls so far.

    Faults: `links.down` and `links.silence()` as `connections` tells;
    `silent` runs calls and never answers; `delay` is seconds before an answer;
    `lose_answers` counts calls that run and whose connection is then reset; `garbage`
    counts answers that are no HTTP and `half` those cut in the middle; `status`
    replaces the status of answers to calls that ran.
    """

    def __init__(self) -> None:
        self.links = connections.Connections()
        self.calls: list[tuple[str, str, bytes]] = []  # method, path, body
        self.silent = False
        self.delay = 0.0
        self.lose_answers = 0
        self.garbage = 0
        self.half = 0
        self.status = 201
        self.headers: dict[str, str] = {}  # of answers

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._call)
        return app

    async def _call(self, request: web.Request) -> web.Response:
        await self.links.enter(request)
        body = await request.read()
        self.calls.append((request.method, request.path, body))
        if self.silent:
            await asyncio.sleep(connections.FOREVER)
        if self.delay:
            await asyncio.sleep(self.delay)
        await self.links.hold(request)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            self.links.reset(request)
        if self.garbage > 0:
            self.garbage -= 1
            request.transport.write(b"no status line at all\r\n\r\n")
            self.links.reset(request)
        if self.half > 0:
            self.half -= 1
            request.transport.write(
                b"HTTP/1.1 201 Created\r\nContent-Length: 100\r\n\r\n{"
            )
            await asyncio.sleep(0.05)
            self.links.reset(request)
        return web.json_response(
            {"order": len(self.calls)}, status=self.status, headers=self.headers
        )
