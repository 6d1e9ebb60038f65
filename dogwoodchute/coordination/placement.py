"""Chooses the endpoint of a request by where its prompt is cached, and by load.

Every host ranks the endpoints of a service for a prompt's shared part by rendezvous
hashing, so hosts agree on a home for each part without talking. The request goes where
its first token is expected soonest: the prompts that wait there, its own prompt less
what is cached, and the way to it. A home under load is left for the next in rank.
"""

import collections
import itertools
import typing
from collections import abc

from dogwoodchute.coordination import ranking

PREFILL_TOKENS_PER_SECOND = 40_000.0  # of one engine that also generates
FIRST_TOKEN_TIME = 0.05  # seconds of a prompt of no length: a step and the way
PACE_WEIGHT = 0.25  # of the newest sample
PACE_MEMORY = 3.0  # seconds after which a pace counts half
MAX_SLOWNESS = 8.0
RUNNING_COST = 0.004  # seconds that one running request adds to another's wait
REGION_COST = 0.030  # seconds: the round trip and the bytes of another region
DATA_CENTRE_COST = 0.003  # seconds
SECOND_HOME_SHARE = 0.9  # of a prompt's cost, so that hosts agree on a second home
MEMORY_SHARE = 0.7  # of an engine's memory that holds parts of past prompts


class Candidate(typing.NamedTuple):
    """An endpoint and what is known of its load."""

    name: str
    distance: int  # 0 own data centre, 1 own region, 2 another region
    running: int  # requests that hosts have under way there
    waiting_tokens: int  # of prompts that are not read yet
    weight: float = 1.0  # below 1 for one that failed lately
    slots: int = 1
    slowness: float = 1.0  # time to a first token, as a multiple of the expected


class Choice(typing.NamedTuple):
    """The engine of a request, and the prompt tokens it probably has cached."""

    engine: Candidate
    cached: int


class Pace:
    """How long an engine takes to a first token, as a multiple of what is expected.

    It tells of slow engines, and of load that this host does not know.
    """

    def __init__(self) -> None:
        self._slowness = 1.0
        self._at = 0.0  # monotonic seconds

    def note(self, now: float, *, took: float, expected: float) -> None:
        """Take in one first token; times are in seconds."""
        sample = took / (FIRST_TOKEN_TIME + expected)
        before = self.slowness(now)
        mean = before + PACE_WEIGHT * (min(sample, MAX_SLOWNESS) - before)
        self._slowness = max(1.0, mean)
        self._at = now

    def slowness(self, now: float) -> float:
        """Return the multiple; without new samples it falls back to 1."""
        left = 0.5 ** (max(0.0, now - self._at) / PACE_MEMORY)
        return 1.0 + (self._slowness - 1.0) * left


class Sent:
    """Which parts of prompts were sent to one endpoint, the latest last."""

    def __init__(self, *, memory_tokens: int) -> None:
        self._room = int(memory_tokens * MEMORY_SHARE)
        self._parts: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._tokens = 0

    def note(self, parts: abc.Iterable[tuple[str, int]]) -> None:
        """Count a prompt as sent."""
        for name, tokens in parts:
            self._tokens += tokens - self._parts.pop(name, 0)
            self._parts[name] = tokens
        while self._tokens > self._room and self._parts:
            _, dropped = self._parts.popitem(last=False)
            self._tokens -= dropped

    def cached(self, parts: abc.Iterable[tuple[str, int]]) -> int:
        """Return the tokens of a prompt that the endpoint probably still holds."""
        found = 0
        for name, tokens in parts:
            if name not in self._parts:
                break
            found += tokens
        return found


def shared_part(parts: abc.Sequence[tuple[str, int]]) -> str:
    """Return the id of the longest beginning that other requests may share."""
    if not parts:
        return ""
    return parts[-2][0] if len(parts) > 1 else parts[-1][0]


def ranked(key: str, names: abc.Iterable[str]) -> list[str]:
    """Return the endpoints in the order in which hosts use them for `key`."""
    return sorted(names, key=lambda name: -ranking.score(key, name, 1.0))


def choose_engine(
    candidates: abc.Sequence[Candidate],
    *,
    parts: abc.Sequence[tuple[str, int]],
    input_tokens: int,
    cached: abc.Callable[[str], int],
    unseen: float = 0.0,
) -> Choice | None:
    """Return the engine with the soonest first token; `cached` is asked by name.

    `unseen` is the reading time in seconds that the fleet has sent to all engines
    together since their loads were told.
    """
    usable = {c.name: c for c in candidates if c.weight > 0}
    if not usable:
        return None
    shared = sum(tokens for _, tokens in parts[:-1])
    level = water_level([wait(c) for c in usable.values()], unseen)
    best = None
    least = 0.0
    # Of engines that cost the same, the first in rank is taken.
    for place, name in enumerate(ranked(shared_part(parts), usable)):
        candidate = usable[name]
        held = max(cached(name), shared) if place == 0 else cached(name)
        own = max(0, input_tokens - held) / PREFILL_TOKENS_PER_SECOND
        if place == 1:
            own *= SECOND_HOME_SHARE
        cost = own * candidate.slowness
        cost += max(level, wait(candidate)) + way(candidate)
        if best is None or cost < least:
            best, least = Choice(candidate, held), cost
    return best


def water_level(waits: abc.Sequence[float], unseen: float) -> float:
    """Return the wait to which `unseen` seconds of work raise the shortest ones.

    Hosts learn of one another's requests late. Those that all took the shortest wait
    they know would meet at the same engine, so differences below this level tell them
    nothing. Source of the method: M. Dahlin, "Interpreting Stale Load Information",
    IEEE Transactions on Parallel and Distributed Systems 11(10), 2000.
    """
    ordered = sorted(waits)
    left = unseen
    for number, (lower, upper) in enumerate(itertools.pairwise(ordered), start=1):
        step = number * (upper - lower)
        if step >= left:
            return lower + left / number
        left -= step
    return ordered[-1] + left / len(ordered)


def choose_plain(candidates: abc.Sequence[Candidate]) -> Candidate | None:
    """Return the endpoint of a plain service: near, and with free places."""
    usable = [c for c in candidates if c.weight > 0]
    if not usable:
        return None
    return min(
        usable,
        key=lambda c: (
            (c.running + 1) / (c.weight * max(1, c.slots)) + 0.25 * c.distance,
            c.name,
        ),
    )


def wait(candidate: Candidate) -> float:
    """Return the seconds that a request waits for others at an engine."""
    others = candidate.waiting_tokens / PREFILL_TOKENS_PER_SECOND
    others += candidate.running * RUNNING_COST
    return others * candidate.slowness / candidate.weight


def way(candidate: Candidate) -> float:
    """Return the seconds that a request and its answer take to an engine and back."""
    if candidate.distance == 2:
        return REGION_COST
    return DATA_CENTRE_COST * candidate.distance
