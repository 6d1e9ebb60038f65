"""What endpoints say of themselves in answers, as hosts tell it to one another."""

import math
import typing
from collections import abc

LEAVING = "leaving"
LIMIT = "limit"
KINDS = (LEAVING, LIMIT)
# Sources of words.
OWN_ANSWER = "answer"  # the endpoint said so in an answer to this host
OTHER_HOST = "other_host"  # another host reported that it did
MAX_WORDS = 48  # in one datagram
# Seconds for which each is told: two hops, each tried several times.
TOLD_SECONDS = 5.0


class Word(typing.NamedTuple):
    """An endpoint's own word. Its fields are sent in this order."""

    endpoint: str
    started_at_ms: int  # of the endpoint's process, see `model.Endpoint`
    age: float  # seconds since the endpoint said so
    kind: str = LEAVING
    # Of a limit: requests a second from all hosts; None once the endpoint names none.
    rate: float | None = None


def recent(words: abc.Iterable[Word]) -> tuple[Word, ...]:
    """Return the words to tell: that endpoints leave first, then the latest."""
    young = [word for word in words if word.age <= TOLD_SECONDS]
    young.sort(key=lambda word: (word.kind != LEAVING, word.age))
    return tuple(young[:MAX_WORDS])


def decode(plain: list) -> tuple[Word, ...]:
    """Return a datagram's words; raise `ValueError` or `TypeError` for odd ones."""
    return tuple(_decode_word(*fields) for fields in plain[:MAX_WORDS])


def _decode_word(
    endpoint: str, started_at_ms: int, age: float, kind: str, rate: float | None
) -> Word:
    if kind not in KINDS or not math.isfinite(age):
        raise ValueError("not a word of an endpoint")
    if rate is not None and not (math.isfinite(rate) and rate >= 0):
        raise ValueError("a limit is no rate")
    return Word(
        str(endpoint),
        int(started_at_ms),
        float(age),
        kind,
        None if rate is None else float(rate),
    )
