"""A queueing model of engines, routers and callers.

Time is virtual, and the seed determines all random draws. Each router has its own
admission. It gets delayed load reports, and delayed cache events of which some are
lost.
"""

import collections
import math
import random
import typing
from collections import abc

from bench import load_baseline, load_engine
from dogwoodchute.coordination import admission, limits, prefix_index, samples

REPORT_INTERVAL = 1.0  # seconds
EVENT_LAG = 2.0  # seconds after which routers get cache events
EVENT_LOSS = 0.1  # share of cache events that are lost
TICK_INTERVAL = 0.1  # seconds
NEAR, FAR = "dar", "arusha"
LINK_SECONDS = 0.016  # round trip between the regions
LINK_RATE = 15e6 / 8  # bytes a second each way
EVENT_BYTES = 300  # of one token of an answer


class Setup(typing.NamedTuple):
    """The parameters of one run of the model."""

    load: float  # share of the capacity
    seconds: float = 60.0
    policy: str = "full"
    engines: int = 9
    routers: int = 8
    account_routers: int = 3  # that the callers of one account use
    tries: int = 1  # most tries of each caller
    honours_retry_after: bool = True  # callers wait as long as Retry-After says
    first_token_timeout: float = 5.0  # seconds, after which callers give up
    seed: int = 1
    near_share: float = 1.0  # share of the callers that are in the region NEAR
    far_engines: int = 0  # how many of the engines are in the region FAR
    far_limit: float = math.inf  # requests of one router in the other region
    link_seconds: float = 0.1  # what routers count as cost of the other region


class Router:
    """One host: its admission, and the requests that wait or run there."""

    def __init__(self, *, model: "Model", number: int) -> None:
        self.model = model
        self.region = NEAR if number < model.near_routers else FAR
        self.leaving: dict[str, bool] = {}
        self.index = prefix_index.PrefixIndex()
        self.admission = build_admission(model, number, self.leaving, self.index)
        self._requests: dict[str, load_engine.Request] = {}
        self._turn = number

    def submit(self, request: load_engine.Request) -> None:
        """Admit, queue or refuse one try of a caller."""
        now = self.model.clock.now
        ticket = admission.AdmissionRequest(
            id=request.key,
            account=str(request.account),
            weight=1,
            cost=load_engine.SHARED_TOKENS
            + load_engine.OWN_TOKENS
            + load_engine.MEAN_OUTPUT,
            deadline=now + load_engine.FIRST_TOKEN,
            blocks=load_engine.prefix_blocks(request.prefix),
            prompt_seconds=load_engine.OWN_TOKENS / load_engine.PREFILL_RATE,
            link_seconds=self.model.setup.link_seconds,
        )
        self._requests[ticket.id] = request
        decision = self.admission.submit(ticket, now)
        if decision is not None:
            self._apply(decision)

    def has_try(self, key: str) -> bool:
        """Return whether the try `key` waits or runs here."""
        return key in self._requests

    def abandon(self, request: load_engine.Request) -> None:
        """End a try because the caller disconnected."""
        key = request.key
        if self._requests.pop(key, None) is None:
            return
        if self.admission.cancel(key):
            return
        self.model.cross_region_answers -= request.is_cross_region
        request.engine.cancel(request)
        self.admission.release(key, self.model.clock.now)
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Send the waiting requests that endpoints now have room for."""
        for decision in self.admission.dispatch_waiting(self.model.clock.now):
            self._apply(decision)

    def tick(self) -> None:
        """Let the admission judge late requests, then dispatch waiting ones."""
        self.admission.tick(
            self.model.clock.now,
            lambda key: self._requests[key].engine.progress(self._requests[key]),
        )
        self.dispatch_waiting()

    def update_reports(self) -> None:
        """Apply a delayed load report of each engine and the cache events of one."""
        now = self.model.clock.now
        for engine in self.model.engines.values():
            loads = [
                load
                for at, load in engine.snapshots
                if at <= now - load_engine.REPORT_LAG
            ]
            if engine.down:
                self.admission.record_unreachable(engine.name, now)
            if not loads or engine.down:
                continue
            load = limits.Load(*loads[-1], now)
            if load.leaving:
                self.leaving[engine.name] = True
            self.admission.update_report(engine.name, load)
        self._apply_events(now)
        self.dispatch_waiting()

    def _apply_events(self, now: float) -> None:
        self._turn += 1
        names = list(self.model.engines)
        engine = self.model.engines[names[self._turn % len(names)]]
        for at, seq, add, remove in engine.events[
            self.index.last_event_number(engine.name) :
        ]:
            if at > now - EVENT_LAG:
                break
            if self.model.rng.random() < EVENT_LOSS:
                continue
            removed = load_engine.prefix_blocks(remove) if remove >= 0 else ()
            self.index.apply(engine.name, seq, load_engine.prefix_blocks(add), removed)

    def _apply(self, decision: admission.Dispatch | admission.Shed) -> None:
        request = self._requests[decision.ticket.id]
        if isinstance(decision, admission.Shed):
            del self._requests[decision.ticket.id]
            self.model.record_refusal(request, decision.retry_after)
            return
        self._send(request, decision.ticket, decision.endpoint, {decision.endpoint})

    def _send(
        self,
        request: load_engine.Request,
        ticket: admission.AdmissionRequest,
        name: str,
        tried: set[str],
    ) -> None:
        now = self.model.clock.now
        engine = self.model.engines[name]
        if engine.down:
            self.admission.release(ticket.id, now, failed=True)
            other = self.admission.retry(ticket, tried, now)
            self.model.retries += other is not None
            if other is None:
                del self._requests[ticket.id]
                self.model.record_refusal(request, self.admission.retry_after(now))
                return
            self._send(request, ticket, other, tried | {other})
            return
        request.engine = engine
        request.sent_at = now
        request.is_cross_region = self.model.region(name) != self.region
        self.model.cross_region_answers += request.is_cross_region
        engine.submit(request, lambda ended: self._finish(ended, ticket.id))

    def _finish(self, request: load_engine.Request, key: str) -> None:
        del self._requests[key]
        self.model.cross_region_answers -= request.is_cross_region
        self.admission.release(
            key,
            self.model.clock.now,
            progress=samples.Progress(
                request.first_token_at, request.ended_at, request.output + 1
            ),
        )
        self.model.record_answer(request)
        self.dispatch_waiting()


def build_admission(
    model: "Model",
    number: int,
    leaving: dict[str, bool],
    index: prefix_index.PrefixIndex,
) -> admission.Admission | load_baseline.Baseline:
    """Return the admission of one router under the model's policy."""
    policy = model.setup.policy
    names = list(model.engines)
    if policy in ("round_robin", "least_load"):
        return load_baseline.Baseline(policy=policy, engines=names, start=number * 5)
    region = NEAR if number < model.near_routers else FAR
    result = admission.Admission(
        region=region,
        rng=random.Random(model.setup.seed * 1000 + number),
        leaving=lambda name: name in leaving,
        index=index,
    )
    result.configure(
        [
            admission.Endpoint(
                name,
                region if policy == "one_region" else model.region(name),
                load_engine.SLOTS,
            )
            for name in names
            if policy != "no_spill" or model.region(name) == region
        ]
    )
    if policy == "no_limit":
        for name in names:
            result.limit(name).has_room = lambda now, hosts: True
    result.hosts = model.setup.routers
    result.far_limit = model.setup.far_limit
    if policy == "no_retry_budget":
        result.retries.try_spend = lambda: True
    return result


class Model:
    """Engines, routers and callers of one run."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.clock = load_engine.Clock()
        self.rng = random.Random(setup.seed)
        names = [f"engine-{number}" for number in range(setup.engines)]
        self.engines = {n: load_engine.Engine(name=n, clock=self.clock) for n in names}
        self.cross_region_answers = 0  # answers that now use the link between regions
        self.cross_region_bytes = 0
        self.near_routers = setup.routers - (
            setup.routers * setup.far_engines // setup.engines
        )
        self.routers = [Router(model=self, number=n) for n in range(setup.routers)]
        self.requests: list[load_engine.Request] = []
        self.tries = 0
        self.retries = 0
        self.tries_by_second: collections.Counter = collections.Counter()
        self.refusals = 0
        self._rate = setup.load * load_engine.capacity(setup.engines)

    def run(self) -> "Model":
        """Run for the set seconds, and 15 more for the last answers."""
        self.clock.at(self.rng.expovariate(self._rate), self._arrive)
        self.clock.at(0.0, self._snapshot)
        for number, router in enumerate(self.routers):
            self.clock.at(
                number * 0.11, self._repeat, REPORT_INTERVAL, router.update_reports
            )
            self.clock.at(number * 0.011, self._repeat, TICK_INTERVAL, router.tick)
        self.clock.run(self.setup.seconds + 15.0)
        return self

    def region(self, engine: str) -> str:
        """Return the region of an engine."""
        number = int(engine.removeprefix("engine-"))
        return NEAR if number < self.setup.engines - self.setup.far_engines else FAR

    def record_refusal(self, request: load_engine.Request, retry_after: float) -> None:
        """Count a failed try, and schedule the caller's next one if it has any left."""
        self.refusals += 1
        if request.tries >= self.setup.tries:
            return
        pause = (
            retry_after
            if self.setup.honours_retry_after
            else self.rng.uniform(0.2, 0.6)
        )
        self.clock.at(self.clock.now + pause, self._try, request)

    def record_answer(self, request: load_engine.Request) -> None:
        """Compare a complete answer with the users' targets."""
        gap = request.gap
        first_token_seconds = request.first_token_at - request.tried_at
        if request.is_cross_region:
            first_token_seconds += LINK_SECONDS
            needed_rate = self.cross_region_answers * EVENT_BYTES / gap
            gap *= max(1.0, needed_rate / LINK_RATE)
            self.cross_region_bytes += request.output * EVENT_BYTES
        request.is_good = (
            first_token_seconds <= load_engine.FIRST_TOKEN
            and gap <= load_engine.TOKEN_GAP
        )

    def _arrive(self) -> None:
        now = self.clock.now
        if now > self.setup.seconds:
            return
        request = load_engine.Request(
            number=len(self.requests), arrived_at=now, rng=self.rng
        )
        request.is_near = self.setup.near_share >= 1 or (
            self.rng.random() < self.setup.near_share
        )
        self.requests.append(request)
        self._try(request)
        self.clock.at(now + self.rng.expovariate(self._rate), self._arrive)

    def _try(self, request: load_engine.Request) -> None:
        request.tries += 1
        request.tried_at = self.clock.now
        request.first_token_at = None
        self.tries += 1
        self.tries_by_second[int(self.clock.now)] += 1
        router_count = self.setup.account_routers
        number = request.account * router_count + self.rng.randrange(router_count)
        regional = self.routers[: self.near_routers]
        if not request.is_near:
            regional = self.routers[self.near_routers :]
        router = regional[number % len(regional)]
        router.submit(request)
        due = self.clock.now + self.setup.first_token_timeout
        self.clock.at(due, self._time_out, request, request.tries, router)

    def _time_out(
        self, request: load_engine.Request, tries: int, router: Router
    ) -> None:
        if request.tries != tries or request.first_token_at is not None:
            return
        if not router.has_try(request.key):
            return
        router.abandon(request)
        self.record_refusal(request, 1.0)

    def _repeat(self, interval: float, action: abc.Callable[[], None]) -> None:
        action()
        self.clock.at(self.clock.now + interval, self._repeat, interval, action)

    def _snapshot(self) -> None:
        for engine in self.engines.values():
            engine.snapshot()
        self.clock.at(self.clock.now + 0.25, self._snapshot)
