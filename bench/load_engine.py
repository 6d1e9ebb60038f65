"""Requests, a clock of passed-in time, and engines with continuous batching."""

import collections
import heapq
import itertools
import random
from collections import abc

from dogwoodchute.coordination import samples

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
REPORT_LAG = 0.5  # seconds


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


def prefix_blocks(prefix: int) -> tuple[int, ...]:
    """Return the block hashes of a prefix."""
    return tuple(range(prefix * PREFIX_BLOCKS + 1, (prefix + 1) * PREFIX_BLOCKS + 1))


def capacity(engines: int) -> float:
    """Return the requests a second at which the batches just keep the targets."""
    output = MEAN_OUTPUT * (BASE_GAP + GAP_PER_SEQUENCE * GOOD_BATCH)
    prompt = (OWN_TOKENS + SHARED_TOKENS / 2) / PREFILL_RATE
    return engines * GOOD_BATCH / (output + prompt)
