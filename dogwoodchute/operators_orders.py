"""The operators' route on orders to engines."""

import asyncio

import sanic

from dogwoodchute import peers, state
from dogwoodchute.controllers import orders

CALL_TIMEOUT = 2.0  # seconds


def add_routes(
    app: sanic.Sanic, *, host: state.HostState, order_controller: orders.Orders
) -> None:
    """Register the route on `app`, and the call by which peers read the orders."""

    async def answer_peer(sender: str, body: dict) -> dict:
        return {"orders": describe(host.config.host.id, order_controller)}

    async def list_orders(request: sanic.Request) -> sanic.HTTPResponse:
        live = [peer.host for peer in host.peers.known() if peer.alive]
        answers = await asyncio.gather(
            *(host.peers.call(name, "orders", {}, CALL_TIMEOUT) for name in live)
        )
        listed = describe(host.config.host.id, order_controller)
        silent = []
        for name, outcome in zip(live, answers, strict=True):
            if not isinstance(outcome, peers.Answer):
                silent.append(name)
                continue
            listed += outcome.body["orders"]
        listed.sort(key=lambda status: status["endpoint"])
        return sanic.json({"orders": listed, "silent": silent})

    host.peers.handle("orders", answer_peer)
    app.add_route(list_orders, "/ops/v1/orders", name="orders")


def describe(name: str, order_controller: orders.Orders) -> list[dict[str, object]]:
    """Return the status of the endpoints whose orders host `name` sends."""
    described = []
    for status in order_controller.statuses.values():
        described.append({**status._asdict(), "host": name})
    return described
