"""How a request for tokens of a prepaid budget may end."""

import dataclasses
import random
import typing
from collections import abc

RETRY_AFTER = 0.5  # seconds: requests under way give back what they don't use
MAX_RETRY_AFTER = 1.0  # seconds
RETRY_JITTER = 0.3  # share by which callers that were refused together come apart
WAIT_SHARE = 0.25  # of a request's target latency, that it may wait for tokens
MIN_WAIT = 0.15  # seconds, for a draw by way of the store


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reserved:
    """The tokens are reserved."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Exhausted:
    """The whole balance surely does not cover the request."""

    remaining: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutOfReach:
    """This host can't tell now whether the balance covers the request."""

    reason: str
    retry_after: float = RETRY_AFTER  # seconds


ReserveOutcome = Reserved | Exhausted | OutOfReach


def longest_wait(target_latency: float) -> float:
    """Return the seconds that a request may wait for tokens."""
    return max(MIN_WAIT, WAIT_SHARE * target_latency)


def retry_after(*, usable_in: float) -> float:
    """Return the seconds after which a refused caller best returns.

    `usable_in` are the seconds until tokens of this host that cover the request may be
    used, 0 if there are none.
    """
    seconds = min(MAX_RETRY_AFTER, usable_in) if usable_in > 0 else RETRY_AFTER
    return seconds * random.uniform(1.0, 1.0 + RETRY_JITTER)


class Collected(typing.NamedTuple):
    """What other hosts gave; `whole` if all of them answered."""

    tokens: int
    whole: bool


# Asks other hosts, those named first, for an account's tokens.
Ask = abc.Callable[[str, int, list[str]], abc.Awaitable[Collected]]


class Home(typing.NamedTuple):
    """Where the tokens of accounts are held for the hosts of this host's region.

    In a small fleet accounts have no home, and each host holds tokens for itself.
    """

    is_here: abc.Callable[[str], bool]
    is_elsewhere: abc.Callable[[str], bool]
    # Asks an account's home for tokens; returns what it gave, None without an answer.
    ask: abc.Callable[[str, int], abc.Awaitable[int | None]]
