"""Admits the requests of one service to its endpoints, queues them or sheds them.

Combines the concurrency limits, the fair queue, the choice of endpoints, their ejection
and the retry budget of one host. The caller passes in the time of each decision, in
monotonic seconds.
"""

import dataclasses
import math
import random
import typing
from collections import abc

from dogwoodchute.coordination import (
    choice,
    ejection,
    limits,
    prefix_index,
    queues,
    retry_budget,
    samples,
)

EVALUATION_INTERVAL = 0.5  # seconds between evaluations of latency samples
SMOOTHING = 0.1  # weight of the newest sample in a mean
WAIT_SHARE = 0.7  # of the time left; a request with a longer expected wait is shed
MIN_RETRY_AFTER = 1.0  # seconds
MAX_RETRY_AFTER = 30.0  # seconds
MIN_DURATION = 0.001  # seconds
JITTER = 0.25  # share by which Retry-After varies up or down


class Endpoint(typing.NamedTuple):
    """An endpoint of the service."""

    name: str
    region: str
    capacity: int  # requests


class AdmissionRequest(typing.NamedTuple):
    """The properties of a request that admission decides by."""

    id: str
    account: str
    weight: int
    cost: int  # estimated tokens
    deadline: float  # monotonic seconds when the first token is due
    priority: int = 0  # within the account; lower goes first
    blocks: tuple[int, ...] = ()  # hashes of the prompt's blocks
    prompt_seconds: float = 0.0  # to process the prompt without a cache
    link_seconds: float = 0.1  # cost of using an endpoint of another region


class Dispatch(typing.NamedTuple):
    """The request is to be sent to the endpoint; `release` must follow."""

    ticket: AdmissionRequest
    endpoint: str


class Shed(typing.NamedTuple):
    """The request is to be refused; it was not sent anywhere."""

    ticket: AdmissionRequest
    code: str
    retry_after: float  # seconds


@dataclasses.dataclass(kw_only=True)
class _InFlight:
    """A request at an endpoint."""

    ticket: AdmissionRequest
    endpoint: str
    at: float  # monotonic seconds of its dispatch
    watch: samples.Watch
    is_remote: bool  # in another region


class Admission:
    """The requests of one service on this host, waiting and in flight.

    Args:
        region: Region of this host, whose endpoints are preferred.
        rng: Source of all random choices.
        leaving: Tells whether an endpoint must get no new requests.
        index: The prompt prefixes that endpoints likely have cached.
        targets: Latency targets of the endpoints.
    """

    def __init__(
        self,
        *,
        region: str,
        rng: random.Random,
        leaving: abc.Callable[[str], bool],
        index: prefix_index.PrefixIndex,
        targets: limits.Targets = limits.Targets(),  # noqa: B008
    ) -> None:
        self.hosts = 1  # that share the endpoints
        self.far_limit = math.inf  # of this host's requests in other regions
        self.retries = retry_budget.RetryBudget()
        self.ejector = ejection.Ejector(
            floors=ejection.Floors(targets.first_token, targets.token_gap)
        )
        self._region = region
        self._rng = rng
        self._leaving = leaving
        self._index = index
        self._targets = targets
        self._endpoints: dict[str, Endpoint] = {}
        self._limits: dict[str, limits.Limit] = {}
        self._queue = queues.FairQueue()
        self._queued_requests: dict[str, AdmissionRequest] = {}
        self._in_flight: dict[str, _InFlight] = {}
        self._samples: dict[str, samples.Samples] = {}
        self._evaluated_at = -math.inf
        self._remote_in_flight = 0  # this host's requests in other regions
        # Seconds from dispatch, less the prompt's processing time.
        self._mean_first_token = 0.0
        self._mean_duration: float | None = None  # seconds from dispatch to the end
        self.last_queued_at = -math.inf  # when a request last had to wait or was shed
        self._refused_until = 0.0  # when all callers refused so far could be served

    @property
    def queued(self) -> int:
        """Requests that wait for a free slot."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Requests of this host at endpoints."""
        return len(self._in_flight)

    @property
    def _completion_rate(self) -> float | None:
        """Requests per second that end, None if unknown.

        By Little's law this is the number of requests in flight divided by their mean
        duration.
        """
        if self._mean_duration is None or not self._in_flight:
            return None
        return len(self._in_flight) / self._mean_duration

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """The endpoints by name."""
        return self._endpoints

    def limit(self, endpoint: str) -> limits.Limit:
        """Return the limit of an endpoint."""
        return self._limits[endpoint]

    def configure(self, endpoints: abc.Iterable[Endpoint]) -> None:
        """Set the endpoints; requests in flight at removed endpoints go on."""
        self._endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self.ejector.configure(list(self._endpoints))
        for endpoint in self._endpoints.values():
            if endpoint.name not in self._limits:
                self._limits[endpoint.name] = limits.Limit(
                    capacity=endpoint.capacity, targets=self._targets
                )
        self._drop_unused_limits()

    def update_report(self, endpoint: str, load: limits.Load) -> None:
        """Adopt a load report of an endpoint."""
        if endpoint in self._endpoints:
            self._limits[endpoint].update_report(
                load, hosts=self.hosts, draw=self._rng.random()
            )

    def record_unreachable(self, endpoint: str, now: float) -> None:
        """Count as a failure that a host could not poll an endpoint for its load."""
        self.ejector.record_failure(endpoint, now)

    def submit(self, ticket: AdmissionRequest, now: float) -> Dispatch | Shed | None:
        """Decide on a new request.

        None means that it waits until `dispatch_waiting` returns a decision on it.
        """
        self.retries.count_request()
        if not self._queue:
            endpoint = self._choose(ticket, now, self._expected_wait(ticket))
            if endpoint is not None:
                return self._dispatch(ticket, endpoint, now)
        self.last_queued_at = now
        if not any(not self._leaving(name) for name in self._endpoints):
            return self._shed(ticket, now, "no_endpoint")
        latest = ticket.deadline - self._mean_first_token
        wait = self._expected_wait(ticket)
        if wait > WAIT_SHARE * (latest - now):
            return self._shed(ticket, now, "overloaded")
        entry = queues.Entry(
            ticket.id,
            ticket.account,
            ticket.weight,
            ticket.cost,
            latest,
            ticket.priority,
            now,
        )
        if not self._queue.push(entry):
            return self._shed(ticket, now, "queue_full")
        self._queued_requests[ticket.id] = ticket
        return None

    def dispatch_waiting(self, now: float) -> list[Dispatch | Shed]:
        """Dispatch or shed waiting requests; return the decisions.

        Requests whose deadline can no longer be met are shed. The rest is dispatched in
        fair order until no endpoint has a free slot for the next one.
        """
        decisions: list[Dispatch | Shed] = []
        for entry in self._queue.expire(now):
            ticket = self._queued_requests.pop(entry.id)
            decisions.append(self._shed(ticket, now, "overloaded"))
        while True:
            entry = self._queue.peek()
            if entry is None:
                return decisions
            ticket = self._queued_requests[entry.id]
            endpoint = self._choose(ticket, now, self._expected_wait(ticket))
            if endpoint is None:
                return decisions
            self._queue.pop()
            del self._queued_requests[entry.id]
            decisions.append(self._dispatch(ticket, endpoint, now))

    def cancel(self, request_id: str) -> bool:
        """Remove a waiting request; return whether it waited."""
        self._queued_requests.pop(request_id, None)
        return self._queue.remove(request_id)

    def release(
        self,
        request_id: str,
        now: float,
        *,
        progress: samples.Progress = samples.Progress(),  # noqa: B008
        failed: bool = False,
    ) -> None:
        """Record that a request in flight ended; a second call changes nothing.

        `failed` tells that the endpoint could not be used.
        """
        request = self._in_flight.pop(request_id, None)
        if request is None:
            return
        self._limits[request.endpoint].release(now)
        self._remote_in_flight -= request.is_remote
        if failed:
            self.ejector.record_failure(request.endpoint, now)
        elif progress.first_token is not None:
            self._sample(request, progress, now)
            self._record_latency(request, progress.first_token, now)
        self._drop_unused_limits()

    def retry(
        self, ticket: AdmissionRequest, tried: set[str], now: float
    ) -> str | None:
        """Dispatch a request that certainly did not run to another endpoint.

        Return the endpoint, which is none of `tried`. None if the retry budget is spent
        or no other endpoint has a free slot.
        """
        endpoint = self._choose(ticket, now, float("inf"), tried)
        if endpoint is None or not self.retries.try_spend():
            return None
        return self._dispatch(ticket, endpoint, now).endpoint

    def tick(self, now: float, progress: abc.Callable[[str], samples.Progress]) -> None:
        """Sample the requests in flight and evaluate the endpoints by their latency.

        Does nothing until `EVALUATION_INTERVAL` after the last evaluation. `progress`
        returns the progress of a request's answer by the request's ID.
        """
        if now - self._evaluated_at < EVALUATION_INTERVAL:
            return
        self._evaluated_at = now
        for request in self._in_flight.values():
            self._sample(request, progress(request.ticket.id), now)
        for name, found in self._samples.items():
            if name in self._endpoints:
                self._evaluate(name, found.means(), now)
        self._samples.clear()

    def _choose(
        self,
        ticket: AdmissionRequest,
        now: float,
        wait: float,
        tried: abc.Set[str] = frozenset(),
    ) -> str | None:
        """Return the endpoint to send a request to now, None if none has a free slot.

        An endpoint of another region is used only if none of this region has a free
        slot and either none of this region is usable at all, or `wait`, the expected
        wait in seconds, exceeds the cost of the link.
        """
        local: list[choice.Candidate] = []
        remote: list[choice.Candidate] = []
        has_usable_local = False
        for endpoint in self._endpoints.values():
            if endpoint.name in tried or self._leaving(endpoint.name):
                continue
            weight = self.ejector.weight(endpoint.name, now)
            if weight == 0.0:
                continue
            has_usable_local = has_usable_local or endpoint.region == self._region
            limit = self._limits[endpoint.name]
            if not limit.has_room(now, self.hosts):
                continue
            load = limit.estimate(now, self.hosts) / limit.value
            # In a slow start the endpoint gets only a part of its usual load.
            if weight < 1.0 and load >= weight and limit.own > 0:
                continue
            cached_blocks = self._index.match(endpoint.name, ticket.blocks)
            candidate = choice.Candidate(endpoint.name, load, weight, cached_blocks)
            (local if endpoint.region == self._region else remote).append(candidate)
        if local or (has_usable_local and wait <= ticket.link_seconds):
            return choice.choose(local, ticket.blocks, self._rng)
        if self._remote_in_flight >= self.far_limit:
            return None
        return choice.choose(remote, ticket.blocks, self._rng)

    def _expected_wait(self, ticket: AdmissionRequest) -> float:
        """Return the seconds that a new request of the ticket's account would wait.

        An account's share of the completion rate is its weight divided by the weights
        of all waiting accounts; its earlier requests go first.
        """
        rate = self._completion_rate
        if rate is None:
            return 0.0
        weights = self._queue.weights
        ahead = self._queue.waiting(ticket.account)
        if ahead == 0:
            weights += ticket.weight
        position = (ahead + 1) * weights / ticket.weight
        return min(len(self._queue) + 1, position) / rate

    def _dispatch(
        self, ticket: AdmissionRequest, endpoint: str, now: float
    ) -> Dispatch:
        self._index.add_expected(endpoint, ticket.blocks)
        self._limits[endpoint].acquire(now)
        watch = samples.Watch(begin=now + ticket.prompt_seconds)
        is_remote = self._endpoints[endpoint].region != self._region
        self._remote_in_flight += is_remote
        self._in_flight[ticket.id] = _InFlight(
            ticket=ticket, endpoint=endpoint, at=now, watch=watch, is_remote=is_remote
        )
        return Dispatch(ticket, endpoint)

    def retry_after(self, now: float) -> float:
        """Return the seconds after which a refused caller should retry.

        Each refusal takes a place in a virtual queue, so that refused callers come back
        no faster than they can be served.
        """
        rate = self._completion_rate or 1.0
        self._refused_until = max(now, self._refused_until) + 1.0 / rate
        self._refused_until = min(self._refused_until, now + MAX_RETRY_AFTER)
        seconds = max(MIN_RETRY_AFTER, self._refused_until - now)
        return seconds * self._rng.uniform(1 - JITTER, 1 + JITTER)

    def _shed(self, ticket: AdmissionRequest, now: float, code: str) -> Shed:
        return Shed(ticket, code, self.retry_after(now))

    def _record_latency(
        self, request: _InFlight, first_token: float, now: float
    ) -> None:
        first_token = max(0.0, first_token - request.watch.begin)
        self._mean_first_token += SMOOTHING * (first_token - self._mean_first_token)
        duration = max(MIN_DURATION, now - request.at)
        if self._mean_duration is None:
            self._mean_duration = duration
        self._mean_duration += SMOOTHING * (duration - self._mean_duration)

    def _sample(
        self, request: _InFlight, progress: samples.Progress, now: float
    ) -> None:
        found = self._samples.setdefault(request.endpoint, samples.Samples())
        found.add(request.watch, progress, now, self._targets)

    def _evaluate(self, endpoint: str, means: samples.Means, now: float) -> None:
        if means == (None, None):
            return
        self._limits[endpoint].observe(now, **means._asdict())
        self.ejector.observe(endpoint, now, **means._asdict())

    def _drop_unused_limits(self) -> None:
        for name in [n for n in self._limits if n not in self._endpoints]:
            if self._limits[name].own == 0:
                del self._limits[name]
