"""Requests that a host without tokens relays to a peer that has some."""

import contextlib

import aiohttp

from dogwoodchute import peers, sse
from dogwoodchute.standins import (
    engine,
    peers as standin_peers,
    service,
    site,
    table as standin_table,
)
from dogwoodchute.tests import endpoints, support

WITHOUT_TOKENS, WITH_TOKENS = "host-1", "host-2"
TOKENS = 8


class RelayTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.memory = standin_table.MemoryTable()
        self.net = standin_peers.PeerNet()
        self.engine = engine.Engine()
        self.orders = service.Service()
        self.unreachable = set()

    @contextlib.asynccontextmanager
    async def hosts(self):
        """Run two hosts; give the second tokens, then make the store unreachable."""
        sites = [site.Site(app=standin.app()) for standin in (self.engine, self.orders)]
        for listener in sites:
            await listener.start()
        names = (endpoints.CHAT.name, endpoints.ORDERS.name)
        addresses = {n: s.address for n, s in zip(names, sites, strict=True)}
        started = {}
        for name in (WITHOUT_TOKENS, WITH_TOKENS):
            peer = peers.Peer(name, name, "dar", "dar-a", "", "", True, False, {})
            layer = self.net.join(peer)
            started[name] = await endpoints.start_host(
                self.memory,
                addresses,
                name=name,
                layer=layer,
                unreachable=self.unreachable,
            )
            address = f"127.0.0.1:{started[name].callers.port}"
            peer = self.net._members[name]
            self.net._members[name] = peer._replace(caller_address=address)
        async with aiohttp.ClientSession() as session:
            await self.chat(session, started[WITH_TOKENS], "warm-up")
            await started[WITH_TOKENS].grants.reserve("growers", 2_000)
            started[WITH_TOKENS].grants.settle("growers", 2_000, 0)
            started[WITH_TOKENS].recall.publish_hint()
            self.unreachable.update((WITHOUT_TOKENS, WITH_TOKENS))
            yield session, started
        self.unreachable.clear()
        for runner in (*started.values(), *sites):
            await runner.stop()

    async def chat(self, session, host, request_key):
        headers = {"Idempotency-Key": request_key, "X-Attempt": "1"}
        async with endpoints.post_chat(
            session, host, tokens=TOKENS, headers=headers
        ) as response:
            return response, await response.read()

    def bills(self):
        return sorted(key for key in self.memory.rows if key.startswith("bill/"))

    def test_a_stream_passes_through_and_is_billed_once_by_the_peer(self):
        async def scenario():
            async with self.hosts() as (session, started):
                response, content = await self.chat(
                    session, started[WITHOUT_TOKENS], "relayed"
                )
                self.assertEqual(200, response.status)
                self.assertIn("X-Resume-Token", response.headers)
                events = sse.events(content)
                self.assertEqual(TOKENS + 1, len(events))
                self.assertEqual(b"data: [DONE]", events[-1])
                self.unreachable.clear()
                await support.until(lambda: len(self.bills()) > 1)
            self.assertEqual(
                ["bill/growers/relayed", "bill/growers/warm-up"], self.bills()
            )
            self.assertEqual(2, len(self.engine.runs))

        self.run_async(scenario())

    def test_a_peer_without_enough_is_not_asked_and_nothing_runs(self):
        async def scenario():
            async with self.hosts() as (session, started):
                self.net._members[WITH_TOKENS].hints["tokens"]["growers"] = 1
                response, content = await self.chat(
                    session, started[WITHOUT_TOKENS], "refused"
                )
                self.assertEqual(503, response.status)
                self.assertEqual("not_run", response.headers["X-Outcome"])
                self.assertIn(b"budget_out_of_reach", content)
            self.assertEqual(1, len(self.engine.runs))

        self.run_async(scenario())

    def test_a_relayed_request_goes_one_hop_at_most(self):
        async def scenario():
            async with self.hosts() as (session, started):
                hints = {"tokens": {"growers": 10_000}}
                for name in (WITHOUT_TOKENS, WITH_TOKENS):
                    peer = self.net._members[name]
                    self.net._members[name] = peer._replace(hints=hints)
                ledger = started[WITH_TOKENS].grants.ledger("growers")
                ledger.reserved += ledger.available
                response, content = await self.chat(
                    session, started[WITHOUT_TOKENS], "loop"
                )
                ledger.reserved = 0
                self.assertEqual(503, response.status)
                self.assertIn(b"budget_out_of_reach", content)
            self.assertEqual(1, len(self.engine.runs))

        self.run_async(scenario())

    def test_an_endpoints_own_error_is_an_answer(self):
        """A service's answer that looks like this fleet's refusal passes unchanged."""

        async def scenario():
            self.orders.status = 409
            self.orders.headers = {"X-Outcome": "not_run"}
            async with self.hosts() as (session, started):
                url = f"http://127.0.0.1:{started[WITHOUT_TOKENS].callers.port}"
                headers = {
                    "Authorization": f"Bearer {endpoints.CLIENT_KEY}",
                    "X-Non-Idempotent": "0",
                    "Idempotency-Key": "order",
                    "X-Attempt": "1",
                }
                path = "/services/order-api/orders%2Fa?x=1"
                async with session.post(url + path, data=b"{}", headers=headers) as r:
                    content = await r.read()
                self.assertEqual((409, b'{"order"'), (r.status, content[:8]))
                self.assertNotIn("X-Outcome", r.headers)
            orders = [path for _, path, body in self.orders.calls if body]
            self.assertEqual(["/orders/a"], orders)

        self.run_async(scenario())
