"""Chooses the endpoint of a request.

Chooses the better of two random candidates, the power of two choices (Mitzenmacher,
2001): load reports are late, so if all hosts chose the least loaded endpoint, their
requests would pile up there. The endpoint that likely has the prompt's prefix cached is
a further candidate. If none is known, rendezvous hashing over the prefix names it, so
that later requests with the same prefix go there too.
"""

import random
import typing
from collections import abc

from dogwoodchute.coordination import ranking

CANDIDATES = 2  # random ones
PREFIX_WORTH = 0.5  # load ratio that `FULL_BLOCKS` cached blocks offset
FULL_BLOCKS = 32  # more cached blocks than this add nothing
GUESS_SHARE = 0.5  # worth of the rendezvous choice, relative to a known holder


class Candidate(typing.NamedTuple):
    """An endpoint that may take the request."""

    name: str
    load: float  # requests at the endpoint divided by its limit
    weight: float  # share of its usual load that it should get, above 0
    cached_blocks: float  # leading blocks of the prompt that it likely has cached


def rendezvous(names: abc.Iterable[str], key: int | str) -> str | None:
    """Return the name with the highest hash together with `key`."""
    return max(names, key=lambda name: ranking.score(str(key), name, 1.0), default=None)


def score(candidate: Candidate, blocks: int, *, guess: bool) -> float:
    """Return the cost of a candidate, in units of its load ratio.

    `blocks` is the number of blocks of the prompt. `guess` tells that the candidate is
    the one that should have the prefix cached, even if it is not known to.
    """
    cached = candidate.cached_blocks
    if guess and cached == 0:
        cached = GUESS_SHARE * blocks
    bonus = PREFIX_WORTH * min(1.0, cached / FULL_BLOCKS)
    return (candidate.load + 0.01) / candidate.weight - bonus


def choose(
    candidates: list[Candidate], blocks: tuple[int, ...], rng: random.Random
) -> str | None:
    """Return the endpoint to use, None without candidates.

    `blocks` are the hashes of the prompt's blocks.
    """
    if not candidates:
        return None
    drawn = rng.sample(candidates, min(CANDIDATES, len(candidates)))
    favoured = None
    if blocks:
        holder = max(candidates, key=lambda c: c.cached_blocks)
        favoured = holder.name
        if holder.cached_blocks == 0:
            favoured = rendezvous((c.name for c in candidates), blocks[0])
            holder = next(c for c in candidates if c.name == favoured)
        drawn.append(holder)
    best = min(drawn, key=lambda c: score(c, len(blocks), guess=c.name == favoured))
    return best.name
