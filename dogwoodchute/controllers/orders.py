"""Gives engines the models, adapters, versions and roles that releases ask for.

Each endpoint is looked after by one live host, which asks the engine for its state and
takes the endpoint's lease only while that differs from what is wanted.
"""

import asyncio
import math
import typing

import prometheus_client

from dogwoodchute import catalog, controller, log, state
from dogwoodchute.controllers import order_client
from dogwoodchute.coordination import orders
from dogwoodchute.platform import table, weights

INTERVAL = 5.0  # seconds
AT_ONCE = 16  # endpoints looked after at the same time

SENT = prometheus_client.Counter(
    "dogwoodchute_orders", "Orders to engines, by how they ended.", ["outcome"]
)


class Seen(typing.NamedTuple):
    """A lease row as this host first saw its version."""

    version: int
    since: float  # monotonic seconds


class Standing(typing.NamedTuple):
    """How an endpoint's engine stands, as this host last found it."""

    endpoint: str
    missing: list[str]  # parts of the wanted state
    why: str  # what the next order waits for


def lease_row(endpoint: str) -> str:
    """Key of an endpoint's lease."""
    return f"order/{endpoint}"


class Orders:
    """The leases that this host holds, and the orders under them."""

    def __init__(
        self,
        *,
        host: state.HostState,
        engines: order_client.Engines,
    ) -> None:
        self._host = host
        self._engines = engines
        self._seen: dict[str, Seen] = {}
        self._held: dict[str, orders.Held] = {}
        self._last_unanswered: dict[str, float] = {}  # when sent, monotonic seconds
        self._permits: dict[str, dict] = {}  # wanted state by endpoint
        self._not_before: dict[str, float] = {}
        self.standings: dict[str, Standing] = {}

    async def step(self) -> None:
        """Look after this host's endpoints once."""
        if not self._host.ready or self._host.draining:
            return
        live = [p.host for p in self._host.peers.known() if p.alive and not p.leaving]
        own = self._host.config.host.id
        mine = []
        for endpoint in self._host.current.endpoints.values():
            if not _want(endpoint):
                continue
            if orders.orderer(endpoint.name, [own, *live]) == own:
                mine.append(endpoint)
        names = {endpoint.name for endpoint in mine}
        for name in [name for name in self._held if name not in names]:
            await self._release(name)
        for name in [name for name in self.standings if name not in names]:
            del self.standings[name]
        for start in range(0, len(mine), AT_ONCE):
            batch = mine[start : start + AT_ONCE]
            await asyncio.gather(*(self._tend(endpoint) for endpoint in batch))

    async def stop(self) -> None:
        """Release all leases and close connections."""
        for name in list(self._held):
            await self._release(name)
        await self._engines.close()

    def controller(self) -> controller.Controller:
        """Return the controller that looks after endpoints."""
        return controller.periodic(
            "orders", self.step, interval=INTERVAL, final=self.stop
        )

    async def _tend(self, endpoint: catalog.Endpoint) -> None:
        want = _want(endpoint)
        answer = await self._engines.report(endpoint.address)
        if not isinstance(answer, order_client.Reported):
            self._stand(endpoint, list(want), "engine does not report")
            return
        parts = orders.missing(want, answer.state)
        if not parts:
            self._permits.pop(endpoint.name, None)
            await self._release(endpoint.name)
            self._stand(endpoint, [], "")
            return
        why = await self._prepare(endpoint, want, parts)
        held = self._held.get(endpoint.name)
        # The last look at the clock: a pause until here may have ended the lease.
        if not why and not orders.may_order(held, self._host.now()):
            why = "lease"
        if why:
            self._stand(endpoint, parts, why)
            return
        await self._order(endpoint, want, held)

    async def _prepare(
        self, endpoint: catalog.Endpoint, want: dict, parts: list[str]
    ) -> str:
        """Return what an order still waits for, empty if it may be sent."""
        held = await self._hold(endpoint)
        if held is None:
            return "lease"
        if self._host.now() < held.orders_from:
            return "orders of the last holder may be under way"
        if not orders.needs_weights(parts):
            return ""
        if self._permits.get(endpoint.name) == want:
            return ""
        if self._host.now() < self._not_before.get(endpoint.name, 0.0):
            return "weight store's rate limit"
        permit = await self._host.weights.permit(endpoint.name)
        if isinstance(permit, weights.Permitted):
            self._permits[endpoint.name] = want
            return ""
        if isinstance(permit, weights.Wait):
            self._not_before[endpoint.name] = self._host.now() + permit.seconds
            return "weight store's rate limit"
        return f"weight store: {permit.reason}"

    async def _order(
        self, endpoint: catalog.Endpoint, want: dict, held: orders.Held
    ) -> None:
        before = self._last_unanswered.get(endpoint.name, -math.inf)
        self._last_unanswered[endpoint.name] = self._host.now()
        body = {"fence": held.fence, "want": want}
        answer = await self._engines.order(endpoint.address, body)
        outcome = type(answer).__name__.lower()
        SENT.labels(outcome).inc()
        log.info(
            "order",
            endpoint=endpoint.name,
            fence=held.fence,
            outcome=outcome,
            reason=getattr(answer, "reason", None),
        )
        if isinstance(answer, order_client.NoAnswer):
            self._stand(endpoint, list(want), answer.reason)
            return
        self._last_unanswered[endpoint.name] = before
        if isinstance(answer, order_client.Stale):
            self._held.pop(endpoint.name, None)
            self._stand(endpoint, list(want), "a newer holder has ordered")
            return
        self._stand(endpoint, orders.missing(want, answer.state), "")

    async def _hold(self, endpoint: catalog.Endpoint) -> orders.Held | None:
        """Take or renew an endpoint's lease; None if another host has it."""
        key = lease_row(endpoint.name)
        found = await self._host.store.read([key])
        if isinstance(found, table.Unavailable):
            return None
        read = self._host.now()
        row = found.rows.get(key)
        version = row.version if row is not None else 0
        lease = orders.from_row(row.value if row is not None else None)
        held = self._held.get(endpoint.name)
        own = self._host.incarnation
        if held is not None and (lease.holder, lease.fence) == (own, held.fence):
            return await self._renew(endpoint.name, lease, version, held)
        self._held.pop(endpoint.name, None)
        seen = self._seen.get(endpoint.name)
        if seen is None or seen.version != version:
            seen = self._seen[endpoint.name] = Seen(version, read)
        if not orders.may_take(lease, read - seen.since):
            return None
        new = orders.taken(lease, own)
        sent = self._host.now()
        outcome = await self._write(endpoint.name, new, version)
        if not isinstance(outcome, table.Committed):
            return None
        checks_fence = endpoint.checks_fence
        version = outcome.versions[key]
        held = orders.hold(new, version, sent=sent, checks_fence=checks_fence)
        # What may be under way is judged from when the commit is known to be first.
        late = self._host.now() - sent
        held = held._replace(orders_from=held.orders_from + late)
        self._held[endpoint.name] = held
        log.info("order_lease_taken", endpoint=endpoint.name, fence=held.fence)
        return held

    async def _renew(
        self, name: str, lease: orders.Lease, version: int, held: orders.Held
    ) -> orders.Held | None:
        sent = self._host.now()
        settled = lease.settled or sent >= held.orders_from
        outcome = await self._write(name, lease._replace(settled=settled), version)
        if not isinstance(outcome, table.Committed):
            return None
        version = outcome.versions[lease_row(name)]
        held = self._held[name] = orders.renewed(held, version, sent=sent)
        return held

    async def _release(self, name: str) -> None:
        """Give a lease back, saying whether an order may still be under way."""
        held = self._held.pop(name, None)
        if held is None:
            return
        now = self._host.now()
        last = self._last_unanswered.get(name, -math.inf)
        settled = now >= held.orders_from and now - last > orders.FLIGHT
        free = orders.Lease("", held.fence, settled)
        await self._write(name, free, held.version)

    async def _write(
        self, name: str, lease: orders.Lease, version: int
    ) -> table.CommitOutcome:
        key = lease_row(name)
        return await self._host.store.commit(
            table.commit_id(self._host.rng),
            [table.Check(key, version)],
            [table.Write(key, lease._asdict())],
        )

    def _stand(self, endpoint: catalog.Endpoint, parts: list[str], why: str) -> None:
        self.standings[endpoint.name] = Standing(endpoint.name, parts, why)


def _want(endpoint: catalog.Endpoint) -> dict:
    return orders.wanted(
        endpoint.model, endpoint.adapters, endpoint.version, endpoint.role
    )
