"""Admits the requests of one service to its endpoints, queues them or sheds them.

Joins the endpoint limits, the fair queue, the choice, the ejection and the retry budget
of one host. All decisions are made at the time that the caller passes in, in monotonic
seconds.
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

JUDGE_INTERVAL = 0.5  # seconds
SMOOTHING = 0.1  # weight of the newest sample in a mean
WAIT_SHARE = 0.7  # of the time left, above which an expected wait is refused
MIN_RETRY_AFTER = 1.0  # seconds
MAX_RETRY_AFTER = 30.0  # seconds
MIN_DURATION = 0.001  # seconds
JITTER = 0.25  # share by which Retry-After varies either way


class Site(typing.NamedTuple):
    """An endpoint of the service."""

    name: str
    region: str
    capacity: int  # requests


class Ticket(typing.NamedTuple):
    """What admission needs to know of a request."""

    id: str
    account: str
    weight: int
    cost: int  # estimated tokens
    deadline: float  # when the first token is due
    priority: int = 0  # lower goes first among the account's own
    blocks: tuple[int, ...] = ()  # hashes of the prompt's blocks
    prompt_seconds: float = 0.0  # to process the prompt uncached
    link_seconds: float = 0.1  # cost of using another region's endpoint


class Dispatch(typing.NamedTuple):
    """Send the request to the endpoint; `release` must follow."""

    ticket: Ticket
    endpoint: str


class Shed(typing.NamedTuple):
    """Refuse the request; it was not sent anywhere."""

    ticket: Ticket
    code: str
    retry_after: float  # seconds


@dataclasses.dataclass(kw_only=True)
class _Permit:
    ticket: Ticket
    endpoint: str
    at: float
    watch: samples.Watch
    far: bool  # in another region


class Admission:
    """The requests of one service on this host, waiting and in flight.

    `leaving` tells whether an endpoint must get nothing new.
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
        self.hosts = 1  # hosts that share the endpoints
        self.far_limit = math.inf  # own requests in flight in other regions
        self.retries = retry_budget.RetryBudget()
        self.ejector = ejection.Ejector(
            floors=ejection.Floors(targets.first_token, targets.token_gap)
        )
        self._region = region
        self._rng = rng
        self._leaving = leaving
        self._index = index
        self._targets = targets
        self._sites: dict[str, Site] = {}
        self._limits: dict[str, limits.Limit] = {}
        self._queue = queues.FairQueue()
        self._waiting: dict[str, Ticket] = {}
        self._permits: dict[str, _Permit] = {}
        self._samples: dict[str, samples.Samples] = {}
        self._judged_at = -math.inf
        self._far = 0  # own requests in flight in other regions
        self._first_token = 0.0  # mean seconds from dispatch, without the prompt
        self._duration: float | None = None  # mean seconds from dispatch to the end
        self.pressed_at = -math.inf  # when a request last had to wait
        self._refused_until = 0.0  # when the callers refused so far could be served

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Requests of this host at endpoints."""
        return len(self._permits)

    @property
    def _rate(self) -> float | None:
        """Requests a second that end, None if unknown.

        By Little's law these are the requests in flight over their mean duration.
        """
        if self._duration is None or not self._permits:
            return None
        return len(self._permits) / self._duration

    @property
    def sites(self) -> dict[str, Site]:
        """The endpoints by name."""
        return self._sites

    def limit(self, endpoint: str) -> limits.Limit:
        """Return the limit of an endpoint."""
        return self._limits[endpoint]

    def configure(self, sites: abc.Iterable[Site]) -> None:
        """Set the endpoints; requests in flight at those that go are kept."""
        self._sites = {site.name: site for site in sites}
        self.ejector.configure(list(self._sites))
        for site in self._sites.values():
            if site.name not in self._limits:
                self._limits[site.name] = limits.Limit(
                    capacity=site.capacity, targets=self._targets
                )
        self._drop_unused_limits()

    def take_report(self, endpoint: str, load: limits.Load) -> None:
        """Take a load report of an endpoint."""
        if endpoint in self._sites:
            self._limits[endpoint].take_report(
                load, hosts=self.hosts, draw=self._rng.random()
            )

    def note_unreachable(self, endpoint: str, now: float) -> None:
        """Take the word of a host that could not ask an endpoint for its load."""
        self.ejector.fail(endpoint, now)

    def offer(self, ticket: Ticket, now: float) -> Dispatch | Shed | None:
        """Decide on a new request; None means that it waits for `pump`."""
        self.retries.count_request()
        if not self._queue:
            endpoint = self._choose(ticket, now, self._expected_wait(ticket))
            if endpoint is not None:
                return self._dispatch(ticket, endpoint, now)
        self.pressed_at = now
        if not any(not self._leaving(name) for name in self._sites):
            return self._shed(ticket, now, "no_endpoint")
        latest = ticket.deadline - self._first_token
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
        )
        if not self._queue.push(entry):
            return self._shed(ticket, now, "queue_full")
        self._waiting[ticket.id] = ticket
        return None

    def pump(self, now: float) -> list[Dispatch | Shed]:
        """Return what becomes of waiting requests now."""
        decisions: list[Dispatch | Shed] = []
        for entry in self._queue.expire(now):
            ticket = self._waiting.pop(entry.id)
            decisions.append(self._shed(ticket, now, "overloaded"))
        while True:
            entry = self._queue.peek()
            if entry is None:
                return decisions
            ticket = self._waiting[entry.id]
            endpoint = self._choose(ticket, now, self._expected_wait(ticket))
            if endpoint is None:
                return decisions
            self._queue.pop()
            del self._waiting[entry.id]
            decisions.append(self._dispatch(ticket, endpoint, now))

    def cancel(self, request_id: str) -> bool:
        """Take a waiting request out; return whether it waited."""
        self._waiting.pop(request_id, None)
        return self._queue.remove(request_id)

    def release(
        self,
        request_id: str,
        now: float,
        *,
        progress: samples.Progress = samples.Progress(),  # noqa: B008
        failed: bool = False,
    ) -> None:
        """End a request's stay at its endpoint; a second call changes nothing.

        `failed` says that the endpoint could not be used.
        """
        permit = self._permits.pop(request_id, None)
        if permit is None:
            return
        self._limits[permit.endpoint].release(now)
        self._far -= permit.far
        if failed:
            self.ejector.fail(permit.endpoint, now)
        elif progress.first_token is not None:
            self._sample(permit, progress, now)
            self._learn(permit, progress.first_token, now)
        self._drop_unused_limits()

    def retry(self, ticket: Ticket, tried: set[str], now: float) -> str | None:
        """Return another endpoint for a request that certainly did not run.

        None if the retry budget is spent or no other endpoint has room.
        """
        endpoint = self._choose(ticket, now, float("inf"), tried)
        if endpoint is None or not self.retries.take():
            return None
        return self._dispatch(ticket, endpoint, now).endpoint

    def tick(self, now: float, progress: abc.Callable[[str], samples.Progress]) -> None:
        """Judge the endpoints by the requests in flight, every `JUDGE_INTERVAL`.

        `progress` tells how far a request's answer has come.
        """
        if now - self._judged_at < JUDGE_INTERVAL:
            return
        self._judged_at = now
        for permit in self._permits.values():
            self._sample(permit, progress(permit.ticket.id), now)
        for name, found in self._samples.items():
            if name in self._sites:
                self._judge(name, found.means(), now)
        self._samples.clear()

    def _choose(
        self, ticket: Ticket, now: float, wait: float, tried: abc.Set[str] = frozenset()
    ) -> str | None:
        near: list[choice.Candidate] = []
        far: list[choice.Candidate] = []
        near_usable = False
        for site in self._sites.values():
            if site.name in tried or self._leaving(site.name):
                continue
            weight = self.ejector.weight(site.name, now)
            if weight == 0.0:
                continue
            near_usable = near_usable or site.region == self._region
            limit = self._limits[site.name]
            if not limit.has_room(now, self.hosts):
                continue
            load = limit.estimate(now, self.hosts) / limit.value
            if weight < 1.0 and load >= weight and limit.own > 0:
                continue
            held = self._index.match(site.name, ticket.blocks)
            candidate = choice.Candidate(site.name, load, weight, held)
            (near if site.region == self._region else far).append(candidate)
        if near or (near_usable and wait <= ticket.link_seconds):
            return choice.choose(near, ticket.blocks, self._rng)
        if self._far >= self.far_limit:
            return None
        return choice.choose(far, ticket.blocks, self._rng)

    def _expected_wait(self, ticket: Ticket) -> float:
        """Return the seconds until a new request of the ticket's account is sent."""
        rate = self._rate
        if rate is None:
            return 0.0
        weights = self._queue.weights
        ahead = self._queue.waiting(ticket.account)
        if ahead == 0:
            weights += ticket.weight
        turn = (ahead + 1) * weights / ticket.weight
        return min(len(self._queue) + 1, turn) / rate

    def _dispatch(self, ticket: Ticket, endpoint: str, now: float) -> Dispatch:
        self._index.note(endpoint, ticket.blocks)
        self._limits[endpoint].acquire(now)
        watch = samples.Watch(begin=now + ticket.prompt_seconds)
        far = self._sites[endpoint].region != self._region
        self._far += far
        self._permits[ticket.id] = _Permit(
            ticket=ticket, endpoint=endpoint, at=now, watch=watch, far=far
        )
        return Dispatch(ticket, endpoint)

    def retry_after(self, now: float) -> float:
        """Return the seconds after which a refused caller should come back.

        Each refusal takes a turn in a virtual queue, so that the callers refused come
        back no faster than they can be served.
        """
        rate = self._rate or 1.0
        self._refused_until = max(now, self._refused_until) + 1.0 / rate
        self._refused_until = min(self._refused_until, now + MAX_RETRY_AFTER)
        turn = max(MIN_RETRY_AFTER, self._refused_until - now)
        return turn * self._rng.uniform(1 - JITTER, 1 + JITTER)

    def _shed(self, ticket: Ticket, now: float, code: str) -> Shed:
        return Shed(ticket, code, self.retry_after(now))

    def _learn(self, permit: _Permit, first_token: float, now: float) -> None:
        first_token = max(0.0, first_token - permit.watch.begin)
        self._first_token += SMOOTHING * (first_token - self._first_token)
        duration = max(MIN_DURATION, now - permit.at)
        if self._duration is None:
            self._duration = duration
        self._duration += SMOOTHING * (duration - self._duration)

    def _sample(self, permit: _Permit, progress: samples.Progress, now: float) -> None:
        found = self._samples.setdefault(permit.endpoint, samples.Samples())
        found.add(permit.watch, progress, now, self._targets)

    def _judge(self, endpoint: str, means: samples.Means, now: float) -> None:
        if means == (None, None):
            return
        self._limits[endpoint].observe(now, **means._asdict())
        self.ejector.observe(endpoint, now, **means._asdict())

    def _drop_unused_limits(self) -> None:
        for name in [n for n in self._limits if n not in self._sites]:
            if self._limits[name].own == 0:
                del self._limits[name]
