"""Chooses the endpoint of a request by where its prompt is cached, and by load.

Every host ranks the endpoints of a service for a prompt's shared part by rendezvous
hashing, so hosts agree on a home for each part without talking. The request goes where
its first token is expected soonest: the prompts that wait there, its own prompt less
what is cached, and the way to it. A home under load is left for the next in rank.
"""

import collections
import typing
from collections import abc

from dogwoodchute.coordination import ranking

PREFILL_TOKENS_PER_SECOND = 50_000.0  # of one engine, as the deployments state it
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
) -> Candidate | None:
    """Return the engine with the soonest first token; `cached` is asked by name."""
    usable = [c for c in candidates if c.weight > 0]
    if not usable:
        return None
    order = ranked(shared_part(parts), [c.name for c in usable])
    shared = sum(tokens for _, tokens in parts[:-1])
    best = None
    least = 0.0
    for candidate in usable:
        held = cached(candidate.name)
        if candidate.name == order[0]:
            held = max(held, shared)
        own = max(0, input_tokens - held) / PREFILL_TOKENS_PER_SECOND
        if len(order) > 1 and candidate.name == order[1]:
            own *= SECOND_HOME_SHARE
        cost = own + _wait(candidate)
        if best is None or cost < least:
            best, least = candidate, cost
    return best


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


def _wait(candidate: Candidate) -> float:
    wait = candidate.waiting_tokens / PREFILL_TOKENS_PER_SECOND
    wait += candidate.running * RUNNING_COST
    wait /= candidate.weight
    if candidate.distance == 2:
        return wait + REGION_COST
    return wait + DATA_CENTRE_COST * candidate.distance
