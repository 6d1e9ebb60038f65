"""The operators' route on orders to engines."""

import asyncio

import sanic

from dogwoodchute import peers, state
from dogwoodchute.controllers import orders

CALL_TIMEOUT = 2.0  # seconds


def add_routes(
    app: sanic.Sanic, *, host: state.HostState, order_controller: orders.Orders
) -> None:
    """Register the route on `app`, and answer the same to peers."""

    async def answer(sender: str, body: dict) -> dict:
        return {"orders": describe(host.config.host.id, order_controller)}

    async def listing(request: sanic.Request) -> sanic.HTTPResponse:
        live = [peer.host for peer in host.peers.known() if peer.alive]
        answers = await asyncio.gather(
            *(host.peers.call(name, "orders", {}, CALL_TIMEOUT) for name in live)
        )
        found = describe(host.config.host.id, order_controller)
        silent = []
        for name, told in zip(live, answers, strict=True):
            if not isinstance(told, peers.Answer):
                silent.append(name)
                continue
            found += told.body["orders"]
        found.sort(key=lambda each: each["endpoint"])
        return sanic.json({"orders": found, "silent": silent})

    host.peers.handle("orders", answer)
    app.add_route(listing, "/ops/v1/orders", name="orders")


def describe(name: str, order_controller: orders.Orders) -> list[dict[str, object]]:
    """Return how the endpoints stand that host `name` looks after."""
    described = []
    for status in order_controller.statuses.values():
        described.append({**status._asdict(), "host": name})
    return described
