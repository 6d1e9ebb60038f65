"""Orders to the engine stand-in, which set its models, adapters, versions and role."""

import asyncio

from aiohttp import web

from dogwoodchute.standins import connections


class Orders:
    """The state that orders set, with or without a check of the fencing token.

    An order states the wanted end state. `lose_answers` is how many of the next orders
    take effect and lose their answer; `order_seconds` is how long an order takes.
    """

    def __init__(
        self, *, checks_fence: bool, engine_connections: connections.Connections
    ) -> None:
        self.checks_fence = checks_fence
        self.fence = 0
        self.state: dict = {"models": [], "adapters": [], "versions": {}, "role": ""}
        self.applied: list[dict] = []
        self.lose_answers = 0
        self.order_seconds = 0.0
        self._connections = engine_connections

    def add_routes(self, app: web.Application) -> None:
        """Serve orders on `app`."""
        app.router.add_get("/orders", self._show)
        app.router.add_post("/orders", self._order)

    async def _show(self, request: web.Request) -> web.Response:
        await self._connections.accept(request)
        return web.json_response(self._report())

    async def _order(self, request: web.Request) -> web.Response:
        await self._connections.accept(request)
        order = await request.json()
        fence = int(order.get("fence", 0))
        if self.checks_fence and fence < self.fence:
            return web.json_response(self._report(), status=409)
        if self.order_seconds:
            await asyncio.sleep(self.order_seconds)
        self.fence = max(self.fence, fence)
        self.state = {**self.state, **order["want"]}
        self.applied.append(order)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            self._connections.reset(request)
        return web.json_response(self._report())

    def _report(self) -> dict:
        return {"fence": self.fence, "state": self.state, "applied": len(self.applied)}
