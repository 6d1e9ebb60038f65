"""A small queueing model of engines with continuous batching, routers and callers.

Time is passed in; the seed fixes all draws. Each router keeps its own admission and
sees late load reports and late, gappy cache events.
"""

import collections
import heapq
import itertools
import math
import random
from collections import abc
from typing import NamedTuple

from dogwoodchute.coordination import admission, limits, prefix_index, samples

FIRST_TOKEN = 1.2  # seconds, the users' target
TOKEN_GAP = 0.026  # seconds, the users' target
SLOTS = 48  # sequences in one batch
BASE_GAP = 0.010  # seconds between tokens of an empty engine
GAP_PER_SEQUENCE = 0.0004  # seconds that each sequence adds
PREFILL_RATE = 20_000.0  # prompt tokens a second
SHARED_TOKENS = 1500  # of a prompt, in its prefix
OWN_TOKENS = 300  # of a prompt, after its prefix
MEAN_OUTPUT = 200  # tokens
MAX_OUTPUT = 1000  # tokens
PREFIXES = 200
CACHED_PREFIXES = 24  # of each engine
PREFIX_BLOCKS = 32
GOOD_BATCH = 40  # sequences at which the gap meets the target
REPORT_INTERVAL = 1.0  # seconds
REPORT_LAG = 0.5  # seconds
EVENT_LAG = 2.0  # seconds
EVENT_LOSS = 0.1  # share of cache events that are lost
TICK = 0.1  # seconds
NEAR, FAR = "dar", "arusha"
LINK_SECONDS = 0.016  # round trip between the regions
LINK_RATE = 15e6 / 8  # bytes a second each way
ANSWER_BYTES = 300  # of one token, as an event


class Setup(NamedTuple):
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


class Request:
    """One caller's request through all its tries."""

    def __init__(self, *, number: int, arrived: float, rng: random.Random) -> None:
        self.number = number
        self.arrived = arrived
        self.account = min(9, int(rng.paretovariate(1.2)) - 1)
        self.prefix = min(PREFIXES - 1, int(rng.paretovariate(0.5)) - 1)
        self.output = min(MAX_OUTPUT, max(8, int(rng.expovariate(1 / MEAN_OUTPUT))))
        self.tries = 0
        self.tried_at = arrived
        self.sent_at = 0.0
        self.began_at = 0.0  # the engine's progress at the first token
        self.first_token: float | None = None
        self.ended: float | None = None
        self.good = False
        self.hit = False
        self.near = True
        self.crossed = False  # was sent to the other region
        self.engine: Engine | None = None

    @property
    def key(self) -> str:
        """Name of the current try."""
        return f"{self.number}/{self.tries}"

    @property
    def gap(self) -> float:
        """Mean seconds between tokens of the answer."""
        return (self.ended - self.first_token) / self.output


class Clock:
    """Runs what is due in order of time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list = []
        self._order = itertools.count()

    def at(self, time: float, action: abc.Callable, *arguments: object) -> None:
        """Call `action` at `time`."""
        heapq.heappush(self._due, (time, next(self._order), action, arguments))

    def run(self, until: float) -> None:
        """Run all that is due up to a time."""
        while self._due and self._due[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._due)
            action(*arguments)
        self.now = until


class Engine:
    """Batches continuously; prompts are processed one after the other."""

    def __init__(self, *, name: str, clock: Clock) -> None:
        self.name = name
        self.slow = 1.0
        self.down = False
        self.leaving = False
        self.waiting: collections.deque[Request] = collections.deque()
        self.running = 0
        self.received: list[float] = []
        self.snapshots: collections.deque = collections.deque(maxlen=20)
        self.events: list[tuple[float, int, int, int]] = []  # at, seq, add, remove
        self._clock = clock
        self._done: dict[str, abc.Callable[[Request], None]] = {}
        self._decoding: list[tuple[float, int, Request]] = []
        self._progress = 0.0  # tokens that each sequence has made
        self._updated = 0.0
        self._version = 0
        self._prefill_free = 0.0
        self._cache: collections.OrderedDict[int, None] = collections.OrderedDict()

    def submit(self, request: Request, done: abc.Callable[[Request], None]) -> None:
        """Take a request; `done` is called at its end unless it is cancelled."""
        self.received.append(self._clock.now)
        self._done[request.key] = done
        self.waiting.append(request)
        self._admit()

    def cancel(self, request: Request) -> None:
        """Stop a request."""
        if self._done.pop(request.key, None) is None:
            return
        if request in self.waiting:
            self.waiting.remove(request)
            return
        kept = [entry for entry in self._decoding if entry[2] is not request]
        if len(kept) < len(self._decoding):
            self._advance()
            self._decoding = kept
            heapq.heapify(self._decoding)
            self._free()

    def progress(self, request: Request) -> samples.Progress:
        """Return how far a request's answer has come."""
        if request.first_token is None:
            return samples.Progress()
        self._advance()
        tokens = max(1, int(self._progress - request.began_at) + 1)
        return samples.Progress(request.first_token, self._clock.now, tokens)

    def set_slow(self, factor: float) -> None:
        """Make everything take `factor` times as long."""
        self._advance()
        self.slow = factor
        self._schedule()

    def snapshot(self) -> None:
        """Keep the load of now for reports."""
        load = (self.running, len(self.waiting), SLOTS, self.leaving)
        self.snapshots.append((self._clock.now, load))

    def _gap(self) -> float:
        return self.slow * (BASE_GAP + GAP_PER_SEQUENCE * len(self._decoding))

    def _advance(self) -> None:
        self._progress += (self._clock.now - self._updated) / self._gap()
        self._updated = self._clock.now

    def _admit(self) -> None:
        while self.waiting and self.running < SLOTS:
            request = self.waiting.popleft()
            self.running += 1
            request.hit = self._touch(request.prefix)
            tokens = OWN_TOKENS + (0 if request.hit else SHARED_TOKENS)
            begin = max(self._clock.now, self._prefill_free)
            self._prefill_free = begin + self.slow * tokens / PREFILL_RATE
            self._clock.at(self._prefill_free, self._prefilled, request, request.key)

    def _touch(self, prefix: int) -> bool:
        hit = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        removed = -1
        if len(self._cache) > CACHED_PREFIXES:
            removed, _ = self._cache.popitem(last=False)
        if not hit:
            event = (self._clock.now, len(self.events) + 1, prefix, removed)
            self.events.append(event)
        return hit

    def _prefilled(self, request: Request, key: str) -> None:
        if key not in self._done:
            self._free()
            return
        request.first_token = self._clock.now
        self._advance()
        request.began_at = self._progress
        end = self._progress + request.output
        heapq.heappush(self._decoding, (end, request.number, request))
        self._schedule()

    def _free(self) -> None:
        self.running -= 1
        self._admit()
        self._schedule()

    def _schedule(self) -> None:
        self._version += 1
        if self._decoding:
            left = max(0.0, self._decoding[0][0] - self._progress)
            due = self._clock.now + left * self._gap()
            self._clock.at(due, self._finish, self._version)

    def _finish(self, version: int) -> None:
        if version != self._version:
            return
        self._advance()
        ended = []
        while self._decoding and self._decoding[0][0] <= self._progress + 1e-6:
            ended.append(heapq.heappop(self._decoding)[2])
            self.running -= 1
        self._admit()
        self._schedule()
        for request in ended:
            request.ended = self._clock.now
            self._done.pop(request.key)(request)


class Router:
    """One host: its admission and the requests that it holds."""

    def __init__(self, *, model: "Model", number: int) -> None:
        self.model = model
        self.region = NEAR if number < model.near_routers else FAR
        self.left: dict[str, bool] = {}
        self.index = prefix_index.PrefixIndex()
        self.admission = make_admission(model, number, self.left, self.index)
        self._held: dict[str, Request] = {}
        self._turn = number

    def offer(self, request: Request) -> None:
        """Take a caller's try."""
        now = self.model.clock.now
        ticket = admission.Ticket(
            id=request.key,
            account=str(request.account),
            weight=1,
            cost=SHARED_TOKENS + OWN_TOKENS + MEAN_OUTPUT,
            deadline=now + FIRST_TOKEN,
            blocks=prefix_blocks(request.prefix),
            prompt_seconds=OWN_TOKENS / PREFILL_RATE,
            link_seconds=self.model.setup.link_seconds,
        )
        self._held[ticket.id] = request
        decision = self.admission.offer(ticket, now)
        if decision is not None:
            self._take(decision)

    def holds(self, key: str) -> bool:
        """Return whether a try waits or runs here."""
        return key in self._held

    def give_up(self, request: Request) -> None:
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
        for decision in self.admission.pump(self.model.clock.now):
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
            known = [load for at, load in engine.snapshots if at <= now - REPORT_LAG]
            if engine.down:
                self.admission.note_unreachable(engine.name, now)
            if not known or engine.down:
                continue
            load = limits.Load(*known[-1], now)
            if load.leaving:
                self.left[engine.name] = True
            self.admission.take_report(engine.name, load)
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
            gone = prefix_blocks(remove) if remove >= 0 else ()
            self.index.apply(engine.name, seq, prefix_blocks(add), gone)

    def _take(self, decision: admission.Dispatch | admission.Shed) -> None:
        request = self._held[decision.ticket.id]
        if isinstance(decision, admission.Shed):
            del self._held[decision.ticket.id]
            self.model.refused(request, decision.retry_after)
            return
        self._send(request, decision.ticket, decision.endpoint, {decision.endpoint})

    def _send(
        self, request: Request, ticket: admission.Ticket, name: str, tried: set[str]
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

    def _ended(self, request: Request, key: str) -> None:
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


def prefix_blocks(prefix: int) -> tuple[int, ...]:
    """Return the block hashes of a prefix."""
    return tuple(range(prefix * PREFIX_BLOCKS + 1, (prefix + 1) * PREFIX_BLOCKS + 1))


class Baseline:
    """What a plain balancer does, in place of an admission."""

    def __init__(self, *, policy: str, engines: list[str], start: int) -> None:
        self._policy = policy
        self._engines = engines
        self._next = start
        self._loads = dict.fromkeys(engines, 0)

    def take_report(self, name: str, load: limits.Load) -> None:
        """Take a load report."""
        self._loads[name] = load.running + load.waiting

    def note_unreachable(self, name: str, now: float) -> None:
        """Do nothing."""

    def offer(self, ticket: admission.Ticket, now: float) -> admission.Dispatch:
        """Choose an endpoint, whatever its load."""
        self._next += 1
        name = self._engines[self._next % len(self._engines)]
        if self._policy == "least_load":
            name = min(self._engines, key=self._loads.get)
        return admission.Dispatch(ticket, name)

    def retry(
        self, ticket: admission.Ticket, tried: set[str], now: float
    ) -> str | None:
        """Choose another endpoint, up to three."""
        left = [name for name in self._engines if name not in tried]
        return left[self._next % len(left)] if len(tried) < 3 else None

    def retry_after(self, now: float) -> float:
        """Return a fixed time."""
        return 1.0

    def pump(self, now: float) -> list:
        """Nothing ever waits."""
        return []

    def cancel(self, request_id: str) -> bool:
        """Nothing ever waits."""
        return False

    def tick(self, now: float, started: object) -> None:
        """Do nothing."""

    def release(self, request_id: str, now: float, **sample: object) -> None:
        """Do nothing."""


def make_admission(
    model: "Model",
    number: int,
    left: dict[str, bool],
    index: prefix_index.PrefixIndex,
) -> admission.Admission | Baseline:
    """Return the admission of one router under the model's policy."""
    policy = model.setup.policy
    names = list(model.engines)
    if policy in ("round_robin", "least_load"):
        return Baseline(policy=policy, engines=names, start=number * 5)
    region = NEAR if number < model.near_routers else FAR
    made = admission.Admission(
        region=region,
        rng=random.Random(model.setup.seed * 1000 + number),
        leaving=lambda name: name in left,
        index=index,
    )
    made.configure(
        [
            admission.Site(
                name, region if policy == "one_region" else model.region(name), SLOTS
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
        made.retries.take = lambda: True
    return made


class Model:
    """Engines, routers and callers of one run."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.clock = Clock()
        self.rng = random.Random(setup.seed)
        names = [f"engine-{number}" for number in range(setup.engines)]
        self.engines = {n: Engine(name=n, clock=self.clock) for n in names}
        self.crossing = 0  # answers that now cross the link
        self.crossed_bytes = 0
        self.near_routers = setup.routers - (
            setup.routers * setup.far_engines // setup.engines
        )
        self.routers = [Router(model=self, number=n) for n in range(setup.routers)]
        self.requests: list[Request] = []
        self.tries = 0
        self.retries = 0
        self.tries_at: collections.Counter = collections.Counter()
        self.refusals = 0
        self._rate = setup.load * capacity(setup.engines)

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

    def refused(self, request: Request, retry_after: float) -> None:
        """A try came to nothing; the caller may try again."""
        self.refusals += 1
        if request.tries >= self.setup.tries:
            return
        pause = retry_after if self.setup.polite else self.rng.uniform(0.2, 0.6)
        self.clock.at(self.clock.now + pause, self._try, request)

    def answered(self, request: Request) -> None:
        """Judge a whole answer by the users' targets."""
        gap = request.gap
        first = request.first_token - request.tried_at
        if request.crossed:
            first += LINK_SECONDS
            wanted = self.crossing * ANSWER_BYTES / gap
            gap *= max(1.0, wanted / LINK_RATE)
            self.crossed_bytes += request.output * ANSWER_BYTES
        request.good = first <= FIRST_TOKEN and gap <= TOKEN_GAP

    def _arrive(self) -> None:
        now = self.clock.now
        if now > self.setup.seconds:
            return
        request = Request(number=len(self.requests), arrived=now, rng=self.rng)
        request.near = self.setup.near_share >= 1 or (
            self.rng.random() < self.setup.near_share
        )
        self.requests.append(request)
        self._try(request)
        self.clock.at(now + self.rng.expovariate(self._rate), self._arrive)

    def _try(self, request: Request) -> None:
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

    def _lose_patience(self, request: Request, tries: int, router: Router) -> None:
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


def capacity(engines: int) -> float:
    """Return the requests a second at which the batches just keep the targets."""
    output = MEAN_OUTPUT * (BASE_GAP + GAP_PER_SEQUENCE * GOOD_BATCH)
    prompt = (OWN_TOKENS + SHARED_TOKENS / 2) / PREFILL_RATE
    return engines * GOOD_BATCH / (output + prompt)
