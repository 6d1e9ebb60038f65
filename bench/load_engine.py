"""Requests, a virtual clock, and engines with continuous batching."""

import collections
import heapq
import itertools
import random
from collections import abc

from dogwoodchute.coordination import samples

FIRST_TOKEN = 1.2  # seconds, the users' target
TOKEN_GAP = 0.026  # seconds, the users' target
SLOTS = 48  # sequences in one batch
BASE_GAP = 0.010  # seconds between tokens of an idle engine
GAP_PER_SEQUENCE = 0.0004  # seconds that each sequence adds
PREFILL_RATE = 20_000.0  # prompt tokens a second
SHARED_TOKENS = 1500  # of a prompt, in its shared prefix
OWN_TOKENS = 300  # of a prompt, after its prefix
MEAN_OUTPUT = 200  # tokens
MAX_OUTPUT = 1000  # tokens
PREFIXES = 200
CACHED_PREFIXES = 24  # in the cache of each engine
PREFIX_BLOCKS = 32
GOOD_BATCH = 40  # most sequences at which the token gap meets the target
REPORT_LAG = 0.5  # seconds


class Request:
    """One request of a caller, with all its tries."""

    def __init__(self, *, number: int, arrived_at: float, rng: random.Random) -> None:
        self.number = number
        self.arrived_at = arrived_at
        self.account = min(9, int(rng.paretovariate(1.2)) - 1)
        self.prefix = min(PREFIXES - 1, int(rng.paretovariate(0.5)) - 1)
        self.output = min(MAX_OUTPUT, max(8, int(rng.expovariate(1 / MEAN_OUTPUT))))
        self.tries = 0
        self.tried_at = arrived_at
        self.sent_at = 0.0
        self.first_token_progress = 0.0  # of the engine, see `Engine._progress`
        self.first_token_at: float | None = None
        self.ended_at: float | None = None
        self.is_good = False  # met the users' targets
        self.is_prefix_hit = False
        self.is_near = True  # its caller is in the region NEAR of the model
        self.is_cross_region = False  # was sent to the other region
        self.engine: Engine | None = None

    @property
    def key(self) -> str:
        """The id of the current try."""
        return f"{self.number}/{self.tries}"

    @property
    def gap(self) -> float:
        """Mean seconds between tokens of the answer."""
        return (self.ended_at - self.first_token_at) / self.output


class Clock:
    """A virtual clock that runs scheduled actions in order of time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list = []
        self._order = itertools.count()

    def at(self, time: float, action: abc.Callable, *arguments: object) -> None:
        """Schedule `action` at `time`."""
        heapq.heappush(self._due, (time, next(self._order), action, arguments))

    def run(self, until: float) -> None:
        """Run all actions that are due up to the time `until`."""
        while self._due and self._due[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._due)
            action(*arguments)
        self.now = until


class Engine:
    """An engine with continuous batching that prefills one prompt at a time."""

    def __init__(self, *, name: str, clock: Clock) -> None:
        self.name = name
        self.slowdown = 1.0
        self.down = False
        self.leaving = False
        self.waiting: collections.deque[Request] = collections.deque()
        self.running = 0
        self.received_at: list[float] = []
        self.snapshots: collections.deque = collections.deque(maxlen=20)
        self.events: list[
            tuple[float, int, int, int]
        ] = []  # time, sequence number, prefix added, prefix removed or -1
        self._clock = clock
        self._on_end: dict[str, abc.Callable[[Request], None]] = {}
        self._decoding: list[tuple[float, int, Request]] = []
        self._progress = 0.0  # tokens that a sequence that always ran would have made
        self._progress_at = 0.0
        self._version = 0
        self._prefill_idle_at = 0.0
        self._cache: collections.OrderedDict[int, None] = collections.OrderedDict()

    def submit(self, request: Request, on_end: abc.Callable[[Request], None]) -> None:
        """Queue a request; `on_end` is called at its end unless it is cancelled."""
        self.received_at.append(self._clock.now)
        self._on_end[request.key] = on_end
        self.waiting.append(request)
        self._admit()

    def cancel(self, request: Request) -> None:
        """Cancel a request that waits or runs."""
        if self._on_end.pop(request.key, None) is None:
            return
        if request in self.waiting:
            self.waiting.remove(request)
            return
        remaining = [entry for entry in self._decoding if entry[2] is not request]
        if len(remaining) < len(self._decoding):
            self._advance()
            self._decoding = remaining
            heapq.heapify(self._decoding)
            self._free_slot()

    def progress(self, request: Request) -> samples.Progress:
        """Return the progress of a request's answer."""
        if request.first_token_at is None:
            return samples.Progress()
        self._advance()
        tokens = max(1, int(self._progress - request.first_token_progress) + 1)
        return samples.Progress(request.first_token_at, self._clock.now, tokens)

    def set_slowdown(self, factor: float) -> None:
        """Make prefill and decoding take `factor` times as long."""
        self._advance()
        self.slowdown = factor
        self._schedule()

    def snapshot(self) -> None:
        """Store the present load for later reports."""
        load = (self.running, len(self.waiting), SLOTS, self.leaving)
        self.snapshots.append((self._clock.now, load))

    def _gap(self) -> float:
        return self.slowdown * (BASE_GAP + GAP_PER_SEQUENCE * len(self._decoding))

    def _advance(self) -> None:
        self._progress += (self._clock.now - self._progress_at) / self._gap()
        self._progress_at = self._clock.now

    def _admit(self) -> None:
        while self.waiting and self.running < SLOTS:
            request = self.waiting.popleft()
            self.running += 1
            request.is_prefix_hit = self._use_prefix(request.prefix)
            tokens = OWN_TOKENS + (0 if request.is_prefix_hit else SHARED_TOKENS)
            begin = max(self._clock.now, self._prefill_idle_at)
            self._prefill_idle_at = begin + self.slowdown * tokens / PREFILL_RATE
            self._clock.at(self._prefill_idle_at, self._prefilled, request, request.key)

    def _use_prefix(self, prefix: int) -> bool:
        is_hit = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        removed = -1
        if len(self._cache) > CACHED_PREFIXES:
            removed, _ = self._cache.popitem(last=False)
        if not is_hit:
            event = (self._clock.now, len(self.events) + 1, prefix, removed)
            self.events.append(event)
        return is_hit

    def _prefilled(self, request: Request, key: str) -> None:
        if key not in self._on_end:
            self._free_slot()
            return
        request.first_token_at = self._clock.now
        self._advance()
        request.first_token_progress = self._progress
        end = self._progress + request.output
        heapq.heappush(self._decoding, (end, request.number, request))
        self._schedule()

    def _free_slot(self) -> None:
        self.running -= 1
        self._admit()
        self._schedule()

    def _schedule(self) -> None:
        self._version += 1
        if self._decoding:
            tokens_left = max(0.0, self._decoding[0][0] - self._progress)
            due = self._clock.now + tokens_left * self._gap()
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
            request.ended_at = self._clock.now
            self._on_end.pop(request.key)(request)


def prefix_blocks(prefix: int) -> tuple[int, ...]:
    """Return the block hashes of a prefix."""
    return tuple(range(prefix * PREFIX_BLOCKS + 1, (prefix + 1) * PREFIX_BLOCKS + 1))


def capacity(engines: int) -> float:
    """Return the requests a second at which the batches just meet the targets."""
    output = MEAN_OUTPUT * (BASE_GAP + GAP_PER_SEQUENCE * GOOD_BATCH)
    prompt = (OWN_TOKENS + SHARED_TOKENS / 2) / PREFILL_RATE
    return engines * GOOD_BATCH / (output + prompt)
