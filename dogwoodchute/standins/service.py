"""A toy plain service that takes orders and counts what really ran."""

import asyncio

from aiohttp import web


class Service:
    """Records each call; `silent` runs the call and never answers."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str, bytes]] = []  # method, path, body
        self.silent = False
        self.delay = 0.0

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._call)
        return app

    async def _call(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.calls.append((request.method, request.path, body))
        if self.silent:
            await asyncio.sleep(3600)
        if self.delay:
            await asyncio.sleep(self.delay)
        return web.json_response({"order": len(self.calls)}, status=201)
