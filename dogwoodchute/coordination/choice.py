"""Which endpoint a request goes to.

Two candidates at random and the better of them, the power of two choices (Mitzenmacher,
2001), since choosing the least loaded of all herds on late reports. The likely holder
of the prompt's prefix is weighed as a further candidate; where nothing is known of the
prefix, rendezvous hashing names one.
"""

import random
import typing
from collections import abc

from dogwoodchute.coordination import ranking

CANDIDATES = 2
PREFIX_WORTH = 0.5  # load ratio that a full prompt's cached blocks outweigh
FULL_BLOCKS = 32  # blocks that count as a full prompt
GUESS_SHARE = 0.5  # worth of the rendezvous choice against a known holder


class Candidate(typing.NamedTuple):
    """An endpoint that may take the request."""

    name: str
    load: float  # requests at the endpoint over its limit
    weight: float  # share of its usual load that it should get, above 0
    held: float  # leading blocks of the prompt that it likely holds


def rendezvous(names: abc.Iterable[str], key: int | str) -> str | None:
    """Return the name with the highest hash together with `key`."""
    return max(names, key=lambda name: ranking.score(str(key), name, 1.0), default=None)


def score(candidate: Candidate, blocks: int, *, guess: bool) -> float:
    """Return the cost of a candidate, in units of its load ratio."""
    held = candidate.held
    if guess and held == 0:
        held = GUESS_SHARE * blocks
    worth = PREFIX_WORTH * min(1.0, held / FULL_BLOCKS)
    return (candidate.load + 0.01) / candidate.weight - worth


def choose(
    candidates: list[Candidate], blocks: tuple[int, ...], rng: random.Random
) -> str | None:
    """Return the endpoint to use, None if there is no candidate."""
    if not candidates:
        return None
    drawn = rng.sample(candidates, min(CANDIDATES, len(candidates)))
    favoured = None
    if blocks:
        holder = max(candidates, key=lambda c: c.held)
        favoured = holder.name
        if holder.held == 0:
            favoured = rendezvous((c.name for c in candidates), blocks[0])
            holder = next(c for c in candidates if c.name == favoured)
        drawn.append(holder)
    best = min(drawn, key=lambda c: score(c, len(blocks), guess=c.name == favoured))
    return best.name
