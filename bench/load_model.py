"""A small queueing model of engines, routers and callers.

Time is passed in; the seed fixes all draws. Each router keeps its own admission and
sees late load reports and late, gappy cache events.
"""

import collections
import math
import random
import typing
from collections import abc

from bench import load_baseline, load_engine
from dogwoodchute.coordination import admission, limits, prefix_index, samples

REPORT_INTERVAL = 1.0  # seconds
EVENT_LAG = 2.0  # seconds
EVENT_LOSS = 0.1  # share of cache events that are lost
TICK = 0.1  # seconds
NEAR, FAR = "dar", "arusha"
LINK_SECONDS = 0.016  # round trip between the regions
LINK_RATE = 15e6 / 8  # bytes a second each way
ANSWER_BYTES = 300  # of one token, as an event


class Setup(typing.NamedTuple):
    """One run of the model."""

    load: float  # of the capacity
    seconds: float = 60.0
    policy: str = "full"
    engines: int = 9
    routers: int = 8
    account_routers: int = 3  # that the callers of one account use
    tries: int = 1  # of each caller
    polite: bool = True  # callers wait as long as Retry-After says
    patience: float = 5.0  # seconds to the first token
    seed: int = 1
    near_share: float = 1.0  # of the callers, that are in the region NEAR
    far_engines: int = 0  # of the engines, in the region FAR
    far_limit: float = math.inf  # requests of one router in the other region
    link_seconds: float = 0.1  # cost of the other region as routers reckon it


class Router:
    """One host: its admission and the requests that it holds."""

    def __init__(self, *, model: "Model", number: int) -> None:
        self.model = model
        self.region = NEAR if number < model.near_routers else FAR
        self.left: dict[str, bool] = {}
        self.index = prefix_index.PrefixIndex()
        self.admission = make_admission(model, number, self.left, self.index)
        self._held: dict[str, load_engine.Request] = {}
        self._turn = number

    def offer(self, request: load_engine.Request) -> None:
        """Take a caller's try."""
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
        self._held[ticket.id] = request
        decision = self.admission.submit(ticket, now)
        if decision is not None:
            self._take(decision)

    def holds(self, key: str) -> bool:
        """Return whether a try waits or runs here."""
        return key in self._held

    def give_up(self, request: load_engine.Request) -> None:
        """The caller left."""
        key = request.key
        if self._held.pop(key, None) is None:
            return
        if self.admission.cancel(key):
            return
        self.model.crossing -= request.crossed
        request.engine.cancel(request)
        self.admission.release(key, self.model.clock.now)
        self.pump()

    def pump(self) -> None:
        """Send what has room now."""
        for decision in self.admission.dispatch_waiting(self.model.clock.now):
            self._take(decision)

    def tick(self) -> None:
        """Judge late requests and move the queue."""
        self.admission.tick(
            self.model.clock.now,
            lambda key: self._held[key].engine.progress(self._held[key]),
        )
        self.pump()

    def reports(self) -> None:
        """Take a late load report of each engine and some late cache events."""
        now = self.model.clock.now
        for engine in self.model.engines.values():
            known = [
                load
                for at, load in engine.snapshots
                if at <= now - load_engine.REPORT_LAG
            ]
            if engine.down:
                self.admission.record_unreachable(engine.name, now)
            if not known or engine.down:
                continue
            load = limits.Load(*known[-1], now)
            if load.leaving:
                self.left[engine.name] = True
            self.admission.update_report(engine.name, load)
        self._take_events(now)
        self.pump()

    def _take_events(self, now: float) -> None:
        self._turn += 1
        names = list(self.model.engines)
        engine = self.model.engines[names[self._turn % len(names)]]
        for at, seq, add, remove in engine.events[self.index.last(engine.name) :]:
            if at > now - EVENT_LAG:
                break
            if self.model.rng.random() < EVENT_LOSS:
                continue
            gone = load_engine.prefix_blocks(remove) if remove >= 0 else ()
            self.index.apply(engine.name, seq, load_engine.prefix_blocks(add), gone)

    def _take(self, decision: admission.Dispatch | admission.Shed) -> None:
        request = self._held[decision.ticket.id]
        if isinstance(decision, admission.Shed):
            del self._held[decision.ticket.id]
            self.model.refused(request, decision.retry_after)
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
                del self._held[ticket.id]
                self.model.refused(request, self.admission.retry_after(now))
                return
            self._send(request, ticket, other, tried | {other})
            return
        request.engine = engine
        request.sent_at = now
        request.crossed = self.model.region(name) != self.region
        self.model.crossing += request.crossed
        engine.submit(request, lambda ended: self._ended(ended, ticket.id))

    def _ended(self, request: load_engine.Request, key: str) -> None:
        del self._held[key]
        self.model.crossing -= request.crossed
        self.admission.release(
            key,
            self.model.clock.now,
            progress=samples.Progress(
                request.first_token, request.ended, request.output + 1
            ),
        )
        self.model.answered(request)
        self.pump()


def make_admission(
    model: "Model",
    number: int,
    left: dict[str, bool],
    index: prefix_index.PrefixIndex,
) -> admission.Admission | load_baseline.Baseline:
    """Return the admission of one router under the model's policy."""
    policy = model.setup.policy
    names = list(model.engines)
    if policy in ("round_robin", "least_load"):
        return load_baseline.Baseline(policy=policy, engines=names, start=number * 5)
    region = NEAR if number < model.near_routers else FAR
    made = admission.Admission(
        region=region,
        rng=random.Random(model.setup.seed * 1000 + number),
        leaving=lambda name: name in left,
        index=index,
    )
    made.configure(
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
            made.limit(name).has_room = lambda now, hosts: True
    made.hosts = model.setup.routers
    made.far_limit = model.setup.far_limit
    if policy == "no_retry_budget":
        made.retries.try_spend = lambda: True
    return made


class Model:
    """Engines, routers and callers of one run."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.clock = load_engine.Clock()
        self.rng = random.Random(setup.seed)
        names = [f"engine-{number}" for number in range(setup.engines)]
        self.engines = {n: load_engine.Engine(name=n, clock=self.clock) for n in names}
        self.crossing = 0  # answers that now cross the link
        self.crossed_bytes = 0
        self.near_routers = setup.routers - (
            setup.routers * setup.far_engines // setup.engines
        )
        self.routers = [Router(model=self, number=n) for n in range(setup.routers)]
        self.requests: list[load_engine.Request] = []
        self.tries = 0
        self.retries = 0
        self.tries_at: collections.Counter = collections.Counter()
        self.refusals = 0
        self._rate = setup.load * load_engine.capacity(setup.engines)

    def run(self) -> "Model":
        """Run to the end, with time for the last answers."""
        self.clock.at(self.rng.expovariate(self._rate), self._arrive)
        self.clock.at(0.0, self._snapshot)
        for number, router in enumerate(self.routers):
            self.clock.at(number * 0.11, self._repeat, REPORT_INTERVAL, router.reports)
            self.clock.at(number * 0.011, self._repeat, TICK, router.tick)
        self.clock.run(self.setup.seconds + 15.0)
        return self

    def region(self, engine: str) -> str:
        """Return the region of an engine."""
        number = int(engine.removeprefix("engine-"))
        return NEAR if number < self.setup.engines - self.setup.far_engines else FAR

    def refused(self, request: load_engine.Request, retry_after: float) -> None:
        """A try came to nothing; the caller may try again."""
        self.refusals += 1
        if request.tries >= self.setup.tries:
            return
        pause = retry_after if self.setup.polite else self.rng.uniform(0.2, 0.6)
        self.clock.at(self.clock.now + pause, self._try, request)

    def answered(self, request: load_engine.Request) -> None:
        """Judge a whole answer by the users' targets."""
        gap = request.gap
        first = request.first_token - request.tried_at
        if request.crossed:
            first += LINK_SECONDS
            wanted = self.crossing * ANSWER_BYTES / gap
            gap *= max(1.0, wanted / LINK_RATE)
            self.crossed_bytes += request.output * ANSWER_BYTES
        request.good = first <= load_engine.FIRST_TOKEN and gap <= load_engine.TOKEN_GAP

    def _arrive(self) -> None:
        now = self.clock.now
        if now > self.setup.seconds:
            return
        request = load_engine.Request(
            number=len(self.requests), arrived=now, rng=self.rng
        )
        request.near = self.setup.near_share >= 1 or (
            self.rng.random() < self.setup.near_share
        )
        self.requests.append(request)
        self._try(request)
        self.clock.at(now + self.rng.expovariate(self._rate), self._arrive)

    def _try(self, request: load_engine.Request) -> None:
        request.tries += 1
        request.tried_at = self.clock.now
        request.first_token = None
        self.tries += 1
        self.tries_at[int(self.clock.now)] += 1
        spread = self.setup.account_routers
        number = request.account * spread + self.rng.randrange(spread)
        here = self.routers[: self.near_routers]
        if not request.near:
            here = self.routers[self.near_routers :]
        router = here[number % len(here)]
        router.offer(request)
        due = self.clock.now + self.setup.patience
        self.clock.at(due, self._lose_patience, request, request.tries, router)

    def _lose_patience(
        self, request: load_engine.Request, tries: int, router: Router
    ) -> None:
        if request.tries != tries or request.first_token is not None:
            return
        if not router.holds(request.key):
            return
        router.give_up(request)
        self.refused(request, 1.0)

    def _repeat(self, interval: float, action: abc.Callable[[], None]) -> None:
        action()
        self.clock.at(self.clock.now + interval, self._repeat, interval, action)

    def _snapshot(self) -> None:
        for engine in self.engines.values():
            engine.snapshot()
        self.clock.at(self.clock.now + 0.25, self._snapshot)
