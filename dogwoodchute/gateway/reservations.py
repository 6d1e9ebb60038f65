"""How a request for tokens of a prepaid budget may end."""

import dataclasses
import typing
from collections import abc

RETRY_AFTER = 0.5  # seconds: requests under way give back what they don't use


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


class Shortage(typing.NamedTuple):
    """How requests of at least `tokens` end until a monotonic time in seconds."""

    until: float
    tokens: int
    outcome: ReserveOutcome


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
