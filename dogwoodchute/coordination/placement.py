"""Chooses the endpoint of a request by where its prompt is cached, and by load.

A prompt is split into parts, of which leading ones are shared with other prompts. Every
host ranks the endpoints of a service for a prompt's shared parts by rendezvous hashing,
so that all hosts agree on a home endpoint for them without exchanging messages. A
request goes to the endpoint where its first token is expected soonest. The expected
time adds up the prompts that wait there, the uncached tokens of its own prompt, and the
network delay. So if the home is loaded, the next endpoint in rank is used.
"""

import collections
import itertools
import typing
from collections import abc

from dogwoodchute.coordination import ranking

PREFILL_TOKENS_PER_SECOND = 40_000.0  # of an engine that generates tokens as well
FIRST_TOKEN_TIME = 0.05  # seconds for an empty prompt: one engine step and the network
SLOWNESS_WEIGHT = 0.25  # of the newest sample
SLOWNESS_HALF_LIFE = 3.0  # seconds
MAX_SLOWNESS = 8.0  # upper bound of a sample
RUNNING_COST = 0.004  # seconds that one running request adds to another's wait
REGION_COST = 0.030  # seconds: round trip to and transfer from another region
DATA_CENTRE_COST = 0.003  # seconds, to another data centre of the region
SECOND_HOME_SHARE = 0.9  # of a prompt's cost; makes hosts agree on a second home
MEMORY_SHARE = 0.7  # of an engine's memory that caches parts of past prompts


class Candidate(typing.NamedTuple):
    """An endpoint and what this host knows of its load."""

    name: str
    distance: int  # 0 own data centre, 1 own region, 2 another region
    running: int  # requests in flight there, of all hosts
    waiting_tokens: int  # of prompts that the engine has not processed yet
    weight: float = 1.0  # below 1 if it failed lately, 0 if ejected
    slots: int = 1  # requests that it can run at once
    slowness: float = 1.0  # actual over expected time to the first token


class Choice(typing.NamedTuple):
    """The engine of a request, and how many prompt tokens it probably has cached."""

    engine: Candidate
    cached: int


class SlownessEstimator:
    """An engine's time to the first token, as a multiple of the expected time.

    It is above 1 for slow engines and for those with load that this host has not
    learned of. It is an exponentially weighted mean that decays to 1.
    """

    def __init__(self) -> None:
        self._slowness = 1.0
        self._at = 0.0  # monotonic seconds of the newest sample

    def record(self, now: float, *, took: float, expected: float) -> None:
        """Add a sample: the seconds that a first token took and was expected to."""
        sample = took / (FIRST_TOKEN_TIME + expected)
        before = self.slowness(now)
        mean = before + SLOWNESS_WEIGHT * (min(sample, MAX_SLOWNESS) - before)
        self._slowness = max(1.0, mean)
        self._at = now

    def slowness(self, now: float) -> float:
        """Return the multiple at `now`, monotonic seconds."""
        decay = 0.5 ** (max(0.0, now - self._at) / SLOWNESS_HALF_LIFE)
        return 1.0 + (self._slowness - 1.0) * decay


class SentPrompts:
    """The prompt parts lately sent to one endpoint, as a model of its prefix cache.

    Parts are pairs of an ID and a number of tokens. The least recently sent ones are
    dropped when the cache is full.
    """

    def __init__(self, *, memory_tokens: int) -> None:
        self._max_tokens = int(memory_tokens * MEMORY_SHARE)
        # Tokens by part, least recently sent first.
        self._parts: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._tokens = 0

    def record(self, parts: abc.Iterable[tuple[str, int]]) -> None:
        """Record that a prompt was sent."""
        for name, tokens in parts:
            self._tokens += tokens - self._parts.pop(name, 0)
            self._parts[name] = tokens
        while self._tokens > self._max_tokens and self._parts:
            _, dropped = self._parts.popitem(last=False)
            self._tokens -= dropped

    def cached(self, parts: abc.Iterable[tuple[str, int]]) -> int:
        """Return the leading tokens of a prompt that the endpoint probably caches."""
        found = 0
        for name, tokens in parts:
            if name not in self._parts:
                break
            found += tokens
        return found


def shared_part(parts: abc.Sequence[tuple[str, int]]) -> str:
    """Return the ID of the last part of a prompt that other requests may share.

    All parts but the last may be shared; a single part is returned as is.
    """
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
    unreported_seconds: float = 0.0,
) -> Choice | None:
    """Return the engine with the soonest expected first token, None if none is usable.

    Args:
        candidates: The engines; those with weight 0 are left out.
        parts: ID and tokens of each part of the prompt, in order.
        input_tokens: Tokens of the whole prompt.
        cached: Returns the prompt tokens that the engine of a name has cached.
        unreported_seconds: Prompt processing time that the fleet has sent to all
            engines together since the known loads were reported.
    """
    usable = {c.name: c for c in candidates if c.weight > 0}
    if not usable:
        return None
    shared = sum(tokens for _, tokens in parts[:-1])
    level = water_level([queue_seconds(c) for c in usable.values()], unreported_seconds)
    best = None
    least_cost = 0.0
    # Of engines with equal cost, the first in rank is chosen.
    for position, name in enumerate(ranked(shared_part(parts), usable)):
        candidate = usable[name]
        # The home, first in rank, counts as having all shared parts cached.
        cached_tokens = max(cached(name), shared) if position == 0 else cached(name)
        prefill = max(0, input_tokens - cached_tokens) / PREFILL_TOKENS_PER_SECOND
        if position == 1:
            prefill *= SECOND_HOME_SHARE
        cost = prefill * candidate.slowness
        cost += max(level, queue_seconds(candidate)) + network_seconds(candidate)
        if best is None or cost < least_cost:
            best, least_cost = Choice(candidate, cached_tokens), cost
    return best


def water_level(waits: abc.Sequence[float], work: float) -> float:
    """Return the wait that the shortest waits reach with `work` seconds of work.

    The work is added to the shortest waits first (water filling). Hosts learn of one
    another's requests late. If each of them chose the engine with the shortest known
    wait, they would all choose the same one. So differences below this level are
    ignored. Source of the method: M. Dahlin, "Interpreting Stale Load Information",
    IEEE Transactions on Parallel and Distributed Systems 11(10), 2000.
    """
    ordered = sorted(waits)
    remaining = work
    for number, (lower, upper) in enumerate(itertools.pairwise(ordered), start=1):
        step = number * (upper - lower)
        if step >= remaining:
            return lower + remaining / number
        remaining -= step
    return ordered[-1] + remaining / len(ordered)


def choose_plain(candidates: abc.Sequence[Candidate]) -> Candidate | None:
    """Return an endpoint of a plain service, None if none is usable.

    Prefers endpoints with few running requests per slot that are not far away.
    """
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


def queue_seconds(candidate: Candidate) -> float:
    """Return the seconds that a new request waits for others at an engine."""
    others = candidate.waiting_tokens / PREFILL_TOKENS_PER_SECOND
    others += candidate.running * RUNNING_COST
    return others * candidate.slowness / candidate.weight


def network_seconds(candidate: Candidate) -> float:
    """Return the network delay of a request and its answer, in seconds."""
    if candidate.distance == 2:
        return REGION_COST
    return DATA_CENTRE_COST * candidate.distance
