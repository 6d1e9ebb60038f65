"""Admits requests to endpoints, by what this host knows of the endpoints."""

import asyncio
import itertools

import prometheus_client

from dogwoodchute import (
    catalog,
    controller,
    exchange as exchanges,
    log,
    state,
)
from dogwoodchute.coordination import (
    admission,
    leaving,
    limits,
    prefix_index,
    samples,
)

TICK_INTERVAL = 0.1  # seconds
PROMPT_RATE = 10_000.0  # tokens a second at which an endpoint processes a prompt
BYTES_PER_TOKEN = 4  # of a prompt, an estimate
ANSWER_BYTES_PER_TOKEN = 300  # of an answer that is sent as events
LINK_SECONDS = 0.016  # round trip to another region
LINK_RATE = 450_000.0  # bytes a second that one request can expect of a region's link
ENGINE_SHARE = 0.5  # of the first token's target time that an endpoint may use

SHED = prometheus_client.Counter(
    "dogwoodchute_requests_shed_total", "Requests refused before dispatch.", ["code"]
)
WAITED = prometheus_client.Histogram(
    "dogwoodchute_queue_seconds",
    "Seconds that dispatched requests waited.",
    buckets=(0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0),
)
RETRIES = prometheus_client.Counter(
    "dogwoodchute_retries_total", "Requests moved to another endpoint."
)
EJECTIONS = prometheus_client.Gauge(
    "dogwoodchute_endpoint_ejections", "Ejections of endpoints since the start."
)
LEAVING = prometheus_client.Gauge(
    "dogwoodchute_endpoints_leaving", "Endpoints that get nothing new."
)
QUEUED = prometheus_client.Gauge(
    "dogwoodchute_requests_queued", "Requests that wait for an endpoint."
)


class Endpoints:
    """Admission to the endpoints of all services on this host."""

    def __init__(self, *, host: state.HostState) -> None:
        self.leaving = leaving.LeavingEndpoints()
        self.index = prefix_index.PrefixIndex()
        self._host = host
        self._admissions: dict[str, admission.Admission] = {}
        self._catalog = catalog.EMPTY
        self._last_host_list: object = None
        self._ids = itertools.count(1)
        self._waiting: dict[str, asyncio.Future] = {}
        self._running: dict[str, exchanges.Exchange] = {}

    @property
    def admissions(self) -> dict[str, admission.Admission]:
        """The admission of each service in the catalog that is in force."""
        self._refresh()
        return self._admissions

    def controller(self) -> controller.Controller:
        """Return the controller that dispatches queued requests."""
        return controller.periodic("endpoints", self._step, interval=TICK_INTERVAL)

    async def admit(
        self, exchange: exchanges.Exchange
    ) -> catalog.Endpoint | admission.Shed | None:
        """Wait until an endpoint has capacity; None if the caller disconnects first.

        If an endpoint is returned, `finish` must be called later.
        """
        service = self.admissions[exchange.service.name]
        now = self._host.now()
        ticket = self._ticket(exchange, now)
        decision = service.submit(ticket, now)
        if decision is None:
            decision = await self._wait(service, ticket, exchange)
        if decision is None:
            return None
        if isinstance(decision, admission.Shed):
            SHED.labels(decision.code).inc()
            return decision
        WAITED.observe(self._host.now() - now)
        exchange.ticket = ticket
        self._running[ticket.id] = exchange
        return self._catalog.endpoints[decision.endpoint]

    def finish(self, exchange: exchanges.Exchange, *, failed: bool = False) -> None:
        """Release a request's slot at its endpoint; a second call changes nothing."""
        ticket = exchange.ticket
        if self._running.pop(ticket.id, None) is None:
            return
        service = self._admissions.get(exchange.service.name)
        if service is None:
            return
        service.release(
            ticket.id, self._host.now(), progress=_progress(exchange), failed=failed
        )
        self._dispatch_queued(service)

    def retry(
        self, exchange: exchanges.Exchange, tried: set[str]
    ) -> catalog.Endpoint | None:
        """Return another endpoint for an ended request that may be retried, or None."""
        service = self.admissions.get(exchange.service.name)
        if service is None:
            return None
        name = service.retry(exchange.ticket, tried, self._host.now())
        if name is None:
            return None
        RETRIES.inc()
        self._running[exchange.ticket.id] = exchange
        return self._catalog.endpoints[name]

    def retry_after(self, service: str) -> float:
        """Return the seconds after which a refused caller should retry."""
        service_admission = self.admissions.get(service)
        return (
            service_admission.retry_after(self._host.now())
            if service_admission is not None
            else 1.0
        )

    def mark_leaving(self, endpoint: str) -> None:
        """Record that an endpoint reports itself as leaving."""
        if self.leaving.set_signal(endpoint, leaving.ENDPOINT, self._host.now()):
            log.info("endpoint_leaving", endpoint=endpoint, signal=leaving.ENDPOINT)

    def update_load(self, endpoint: str, load: limits.Load) -> None:
        """Apply a load report of an endpoint."""
        found = self._catalog.endpoints.get(endpoint)
        if found is None:
            return
        if load.leaving:
            self.mark_leaving(endpoint)
        else:
            self.leaving.clear_if_outdated(endpoint, load.at)
        service = self._admissions[found.service]
        service.update_report(endpoint, load)
        self._dispatch_queued(service)

    def record_poll(self, endpoint: str, *, reached: bool) -> None:
        """Record whether a poll of an endpoint's load reached it."""
        found = self._catalog.endpoints.get(endpoint)
        if found is None:
            return
        service = self._admissions[found.service]
        if reached:
            service.ejector.record_success(endpoint)
            return
        service.record_unreachable(endpoint, self._host.now())

    def tick(self) -> None:
        """Apply changes of the catalog and the host list, and dispatch requests."""
        now = self._host.now()
        self._refresh()
        self.leaving.expire(now)
        place = self._host.config.host
        known = self._host.peers.known()
        hosts = 1 + sum(p.alive and p.region == place.region for p in known)
        for service in self._admissions.values():
            service.hosts = hosts
            service.tick(now, self._progress)
            self._dispatch_queued(service)
        services = self._admissions.values()
        EJECTIONS.set(sum(service.ejector.ejections for service in services))
        QUEUED.set(sum(service.queued for service in services))
        LEAVING.set(sum(map(self.leaving.is_leaving, self._catalog.endpoints)))

    async def _step(self) -> None:
        self.tick()

    async def _wait(
        self,
        service: admission.Admission,
        ticket: admission.AdmissionRequest,
        exchange: exchanges.Exchange,
    ) -> admission.Dispatch | admission.Shed | None:
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket.id] = future
        gone = asyncio.ensure_future(exchange.caller_disconnected.wait())
        try:
            await asyncio.wait((future, gone), return_when=asyncio.FIRST_COMPLETED)
            if future.done():
                return future.result()
            return None
        except asyncio.CancelledError:
            service.release(ticket.id, self._host.now())
            raise
        finally:
            gone.cancel()
            service.cancel(ticket.id)
            self._waiting.pop(ticket.id, None)

    def _dispatch_queued(self, service: admission.Admission) -> None:
        if service.queued == 0:
            return
        for decision in service.dispatch_waiting(self._host.now()):
            self._waiting[decision.ticket.id].set_result(decision)

    def _refresh(self) -> None:
        newest = self._host.current
        listed = self._host.host_list
        if newest is self._catalog and listed is self._last_host_list:
            return
        if newest is not self._catalog:
            self._catalog = newest
            self._configure()
        self._last_host_list = listed
        if listed is None:
            return
        by_address = {entry.address: entry for entry in listed.hosts.values()}
        flags = {}
        for endpoint in newest.endpoints.values():
            entry = listed.hosts.get(endpoint.name) or by_address.get(endpoint.address)
            if entry is not None:
                flags[endpoint.name] = entry.leaving
        newly_leaving = self.leaving.apply_host_list(
            listed.revision, flags, list(newest.endpoints), self._host.now()
        )
        for name in newly_leaving:
            log.info("endpoint_leaving", endpoint=name, signal=leaving.HOST_LIST)

    def _configure(self) -> None:
        by_service: dict[str, list[admission.Endpoint]] = {}
        for service in self._catalog.services:
            by_service[service] = []
        for endpoint in self._catalog.endpoints.values():
            entry = admission.Endpoint(
                endpoint.name, endpoint.region, endpoint.capacity
            )
            by_service.setdefault(endpoint.service, []).append(entry)
        for service in self._admissions:
            by_service.setdefault(service, [])
        for service, endpoints in by_service.items():
            if service not in self._admissions:
                self._admissions[service] = self._admission()
            self._admissions[service].configure(endpoints)
        self.leaving.keep(set(self._catalog.endpoints))
        self.index.keep(set(self._catalog.endpoints))

    def _admission(self) -> admission.Admission:
        config = self._host.config
        service_admission = admission.Admission(
            region=config.host.region,
            rng=self._host.rng,
            leaving=self.leaving.is_leaving,
            index=self.index,
            targets=limits.Targets(
                first_token=config.endpoints.first_token_target * ENGINE_SHARE,
                token_gap=config.endpoints.token_gap_target,
            ),
        )
        bytes_per_second = ANSWER_BYTES_PER_TOKEN / config.endpoints.token_gap_target
        service_admission.far_limit = (
            config.endpoints.far_bytes_per_second / bytes_per_second
        )
        return service_admission

    def _ticket(
        self, exchange: exchanges.Exchange, now: float
    ) -> admission.AdmissionRequest:
        chat = exchange.service.kind == catalog.CHAT
        size = len(exchange.request.body)
        prompt = size // BYTES_PER_TOKEN if chat else 0
        answer = exchange.output_limit * ANSWER_BYTES_PER_TOKEN
        priority = exchange.body.get("priority", 0)
        return admission.AdmissionRequest(
            id=str(next(self._ids)),
            account=exchange.account.name,
            weight=max(1, exchange.account.weight),
            cost=max(1, prompt + exchange.output_limit),
            deadline=exchange.first_token_deadline,
            priority=priority if isinstance(priority, int) else 0,
            blocks=prompt_blocks(exchange.body) if chat else (),
            prompt_seconds=prompt / PROMPT_RATE,
            link_seconds=LINK_SECONDS + (size + answer) / LINK_RATE,
        )

    def _progress(self, ticket_id: str) -> samples.Progress:
        exchange = self._running.get(ticket_id)
        # A request that was admitted a moment ago may not be running yet.
        return _progress(exchange) if exchange is not None else samples.Progress()


def prompt_blocks(body: dict) -> tuple[int, ...]:
    """Return the hashes of the prefix blocks of a chat request's messages."""
    parts = []
    room = prefix_index.BLOCK * prefix_index.MAX_BLOCKS
    for message in body["messages"]:
        if room <= 0 or not isinstance(message, dict):
            break
        text = f"{message.get('role', '')}\n{message.get('content', '')}\n"
        parts.append(text[:room])
        room -= len(text)
    return prefix_index.block_hashes("".join(parts).encode())


def _progress(exchange: exchanges.Exchange) -> samples.Progress:
    """Return the progress of an answer; plain calls are not judged by it."""
    return samples.Progress(
        exchange.first_token, exchange.last_token, exchange.answer_tokens
    )
