"""Orders engines to load the models, adapters, versions and roles of the releases.

Each endpoint is assigned to one live host, which polls the engine's state and acquires
the endpoint's lease only while that state differs from the wanted one.
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
MAX_CONCURRENT = 16  # endpoints handled at the same time

SENT = prometheus_client.Counter(
    "dogwoodchute_orders", "Orders to engines, by how they ended.", ["outcome"]
)


class LeaseSighting(typing.NamedTuple):
    """The version of a lease row, and when this host first read it."""

    version: int
    since: float  # monotonic seconds


class EndpointStatus(typing.NamedTuple):
    """Which parts of its wanted state an endpoint's engine lacks, when last polled."""

    endpoint: str
    missing: list[str]  # parts of the wanted state
    why: str  # why no order was sent, or why the last one has no result


def lease_key(endpoint: str) -> str:
    """Return the key of an endpoint's lease row."""
    return f"order/{endpoint}"


class Orders:
    """Holds leases of endpoints and sends orders to their engines."""

    def __init__(
        self,
        *,
        host: state.HostState,
        engines: order_client.Engines,
    ) -> None:
        self._host = host
        self._engines = engines
        self._sightings: dict[str, LeaseSighting] = {}
        self._held: dict[str, orders.HeldLease] = {}
        self._last_unanswered: dict[str, float] = {}  # when sent, monotonic seconds
        self._permits: dict[str, dict] = {}  # wanted state by endpoint
        self._permit_not_before: dict[str, float] = {}
        self.statuses: dict[str, EndpointStatus] = {}

    async def step(self) -> None:
        """Compare the endpoints assigned to this host with the releases once."""
        if not self._host.ready or self._host.draining:
            return
        live = [p.host for p in self._host.peers.known() if p.alive and not p.leaving]
        own = self._host.config.host.id
        own_endpoints = []
        for endpoint in self._host.current.endpoints.values():
            if not _want(endpoint):
                continue
            if orders.orderer(endpoint.name, [own, *live]) == own:
                own_endpoints.append(endpoint)
        names = {endpoint.name for endpoint in own_endpoints}
        for name in [name for name in self._held if name not in names]:
            await self._release(name)
        for name in [name for name in self.statuses if name not in names]:
            del self.statuses[name]
        for start in range(0, len(own_endpoints), MAX_CONCURRENT):
            batch = own_endpoints[start : start + MAX_CONCURRENT]
            await asyncio.gather(*(self._reconcile(endpoint) for endpoint in batch))

    async def stop(self) -> None:
        """Release all leases and close the connections to engines."""
        for name in list(self._held):
            await self._release(name)
        await self._engines.close()

    def controller(self) -> controller.Controller:
        """Return the controller that sends orders to endpoints."""
        return controller.periodic(
            "orders", self.step, interval=INTERVAL, final=self.stop
        )

    async def _reconcile(self, endpoint: catalog.Endpoint) -> None:
        want = _want(endpoint)
        answer = await self._engines.report(endpoint.address)
        if not isinstance(answer, order_client.Reported):
            self._set_status(endpoint, list(want), "engine does not report")
            return
        parts = orders.missing(want, answer.state)
        if not parts:
            self._permits.pop(endpoint.name, None)
            await self._release(endpoint.name)
            self._set_status(endpoint, [], "")
            return
        why = await self._prepare(endpoint, want, parts)
        held = self._held.get(endpoint.name)
        # The clock is read last: a pause before this line may have ended the lease.
        if not why and not orders.may_order(held, self._host.now()):
            why = "lease"
        if why:
            self._set_status(endpoint, parts, why)
            return
        await self._send_order(endpoint, want, held)

    async def _prepare(
        self, endpoint: catalog.Endpoint, want: dict, parts: list[str]
    ) -> str:
        """Return why an order can't be sent yet, empty if it may be sent."""
        held = await self._acquire_or_renew(endpoint)
        if held is None:
            return "lease"
        if self._host.now() < held.orders_from:
            return "orders of the last holder may be under way"
        if not orders.needs_weights(parts):
            return ""
        if self._permits.get(endpoint.name) == want:
            return ""
        if self._host.now() < self._permit_not_before.get(endpoint.name, 0.0):
            return "weight store's rate limit"
        permit = await self._host.weights.permit(endpoint.name)
        if isinstance(permit, weights.Permitted):
            self._permits[endpoint.name] = want
            return ""
        if isinstance(permit, weights.Wait):
            self._permit_not_before[endpoint.name] = self._host.now() + permit.seconds
            return "weight store's rate limit"
        return f"weight store: {permit.reason}"

    async def _send_order(
        self, endpoint: catalog.Endpoint, want: dict, held: orders.HeldLease
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
            self._set_status(endpoint, list(want), answer.reason)
            return
        self._last_unanswered[endpoint.name] = before
        if isinstance(answer, order_client.Stale):
            self._held.pop(endpoint.name, None)
            self._set_status(endpoint, list(want), "a newer holder has ordered")
            return
        self._set_status(endpoint, orders.missing(want, answer.state), "")

    async def _acquire_or_renew(
        self, endpoint: catalog.Endpoint
    ) -> orders.HeldLease | None:
        """Acquire or renew an endpoint's lease; None if this host does not get it."""
        key = lease_key(endpoint.name)
        found = await self._host.store.read([key])
        if isinstance(found, table.Unavailable):
            return None
        read_at = self._host.now()
        row = found.rows.get(key)
        version = row.version if row is not None else 0
        lease = orders.from_row(row.value if row is not None else None)
        held = self._held.get(endpoint.name)
        own = self._host.incarnation
        if held is not None and (lease.holder, lease.fence) == (own, held.fence):
            return await self._renew(endpoint.name, lease, version, held)
        self._held.pop(endpoint.name, None)
        seen = self._sightings.get(endpoint.name)
        if seen is None or seen.version != version:
            seen = self._sightings[endpoint.name] = LeaseSighting(version, read_at)
        if not orders.may_acquire(lease, read_at - seen.since):
            return None
        new = orders.acquired(lease, own)
        sent = self._host.now()
        outcome = await self._write(endpoint.name, new, version)
        if not isinstance(outcome, table.Committed):
            return None
        checks_fence = endpoint.checks_fence
        version = outcome.versions[key]
        held = orders.held_lease(new, version, sent=sent, checks_fence=checks_fence)
        # The wait for orders in flight starts when the commit is known to have
        # succeeded, not when it was sent.
        commit_seconds = self._host.now() - sent
        held = held._replace(orders_from=held.orders_from + commit_seconds)
        self._held[endpoint.name] = held
        log.info("order_lease_taken", endpoint=endpoint.name, fence=held.fence)
        return held

    async def _renew(
        self, name: str, lease: orders.Lease, version: int, held: orders.HeldLease
    ) -> orders.HeldLease | None:
        sent = self._host.now()
        settled = lease.settled or sent >= held.orders_from
        outcome = await self._write(name, lease._replace(settled=settled), version)
        if not isinstance(outcome, table.Committed):
            return None
        version = outcome.versions[lease_key(name)]
        held = self._held[name] = orders.renewed(held, version, sent=sent)
        return held

    async def _release(self, name: str) -> None:
        """Release a lease, and record whether an order may still be in flight."""
        held = self._held.pop(name, None)
        if held is None:
            return
        now = self._host.now()
        last = self._last_unanswered.get(name, -math.inf)
        settled = now >= held.orders_from and now - last > orders.MAX_DELIVERY
        released = orders.Lease("", held.fence, settled)
        await self._write(name, released, held.version)

    async def _write(
        self, name: str, lease: orders.Lease, version: int
    ) -> table.CommitOutcome:
        key = lease_key(name)
        return await self._host.store.commit(
            table.new_commit_id(self._host.rng),
            [table.Check(key, version)],
            [table.Write(key, lease._asdict())],
        )

    def _set_status(
        self, endpoint: catalog.Endpoint, parts: list[str], why: str
    ) -> None:
        self.statuses[endpoint.name] = EndpointStatus(endpoint.name, parts, why)


def _want(endpoint: catalog.Endpoint) -> dict:
    return orders.wanted(
        endpoint.model, endpoint.adapters, endpoint.version, endpoint.role
    )
