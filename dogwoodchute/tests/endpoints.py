"""Helpers of tests of the request path: forwarders, hosts, callers and requests."""

import contextlib
import json

from dogwoodchute import (
    catalog,
    daemon,
    exchange as exchanges,
    forward,
    runtime,
    settings,
)
from dogwoodchute.coordination import rows
from dogwoodchute.platform import table
from dogwoodchute.standins import site
from dogwoodchute.tools import demo

STALL_SECONDS = 30.0  # far beyond the limits under test
CLIENT_KEY = "client-key"
CHAT = catalog.Service("assistant-llm", catalog.CHAT)
ORDERS = catalog.Service("order-api", catalog.PLAIN, price=10)
ACCOUNT = catalog.ClientAccount("growers", (), (CHAT.name, ORDERS.name))


def config(*, host="demo-1", **limits):
    """Return settings of a host with `limits` set."""
    text = demo.SETTINGS.format(caller_port=0, operator_port=0)
    text = text.replace("demo-1", host)
    lines = "".join(f"{name} = {value}\n" for name, value in limits.items())
    return settings.parse(f"{text}\n[limits]\n{lines}", source="test")


class Caller:
    """Collects what a request's caller is sent; calls `on_chunk` after each chunk."""

    def __init__(self):
        self.headers = None
        self.data = b""
        self.on_chunk = lambda: None

    async def start(self, status, headers):
        self.headers = dict(headers)

    async def chunk(self, data):
        self.data += data
        self.on_chunk()


@contextlib.asynccontextmanager
async def running(standin, **limits):
    """Run a stand-in and a forwarder; yields the forwarder and the endpoint."""
    standin_site = site.Site(app=standin.app())
    await standin_site.start()
    forwarder = forward.Forwarder(host=runtime.embedded_state(config(**limits)))
    await forwarder.start()
    endpoint = catalog.Endpoint("e-1", CHAT.name, standin_site.address, "dar", "dar-a")
    yield forwarder, endpoint
    await forwarder.stop()
    await standin_site.stop()


async def start_host(memory, addresses, *, name="demo-1", layer=None, unreachable=()):
    """Start a daemon on a shared table.

    `addresses` has the endpoint's address of each service. Hosts named in `unreachable`
    can't reach the table.
    """
    host = runtime.embedded_state(config(host=name), memory=memory, peer_layer=layer)
    host.store = memory.client(reachable=lambda: name not in unreachable)
    account = ACCOUNT._replace(keys=(catalog.hash_key(CLIENT_KEY),))
    services = {service.name: service for service in (CHAT, ORDERS)}
    by_name = {
        f"e-{kind}": catalog.Endpoint(f"e-{kind}", kind, address, "dar", "dar-a")
        for kind, address in addresses.items()
    }
    host.adopt(catalog.Catalog(1, {account.name: account}, services, by_name))
    host.ready = True  # as the catalog is set here, it is not loaded from the store
    budget = table.Write(rows.budget(account.name), {"paid": 10_000, "drawn": 0})
    memory.apply("top-up", [table.Check(budget.key, 0)], [budget])
    host_daemon = daemon.Daemon(host=host)
    await host_daemon.start()
    return host_daemon


def post_chat(session, host, *, tokens, headers):
    """Return the call that sends a streamed chat to a daemon; await or enter it."""
    body = {
        "model": CHAT.name,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "plan"}],
    }
    url = f"http://127.0.0.1:{host.callers.port}/v1/chat/completions"
    headers = {**headers, "Authorization": f"Bearer {CLIENT_KEY}"}
    return session.post(url, data=json.dumps(body).encode(), headers=headers)


def chat(endpoint, caller, *, tokens=8, stream=True, key="key-1", **fields):
    """Return the exchange of a chat request."""
    body = {"model": CHAT.name, "messages": [{"role": "user", "content": "a b c"}]}
    exchange = _exchange(endpoint, caller, key, json.dumps(body).encode(), "POST")
    exchange.service = CHAT
    exchange.body = {**body, **fields}
    exchange.stream = stream
    exchange.output_limit = tokens
    exchange.reserved = 500
    return exchange


def order(endpoint, caller, *, idempotent=False, method="POST", path="/orders"):
    """Return the exchange of a plain call."""
    exchange = _exchange(endpoint, caller, "key-1", b"{}", method, path)
    exchange.service = ORDERS
    exchange.idempotent = idempotent
    exchange.reserved = ORDERS.price
    return exchange


def _exchange(endpoint, caller, key, body, method, path=""):
    exchange = exchanges.Exchange(
        request=exchanges.Request(
            method=method,
            path=path,
            query="",
            headers={"content-type": "application/json", "authorization": "Bearer k"},
            body=body,
            bearer="k",
            service=None,
            idempotency_key=key,
            idempotent=None,
        ),
        reply=exchanges.Reply(start=caller.start, chunk=caller.chunk),
        received=0.0,
        request_key=key,
    )
    exchange.deadline = 1e12
    exchange.account = ACCOUNT
    exchange.endpoint = endpoint
    return exchange
