"""Outcomes of a request for tokens of a prepaid budget."""

import dataclasses
import typing
from collections import abc

from dogwoodchute.coordination import escrow, retry_after as spreading

RETRY_AFTER = 0.5  # seconds; by then some requests have returned unused tokens
MAX_RETRY_AFTER = 1.0  # seconds
WAIT_SHARE = 0.25  # of a request's target latency
MIN_WAIT = 0.15  # seconds; enough for a draw from the store


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reserved:
    """The tokens are reserved."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Exhausted:
    """The account's whole balance certainly does not cover the request."""

    remaining: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutOfReach:
    """This host can't determine now whether the balance covers the request."""

    reason: str
    retry_after: float = RETRY_AFTER  # seconds


ReserveOutcome = Reserved | Exhausted | OutOfReach


def max_wait(target_latency: float) -> float:
    """Return the seconds that a request may wait for tokens."""
    return max(MIN_WAIT, WAIT_SHARE * target_latency)


def retry_after(*, usable_in: float) -> float:
    """Return the seconds after which a refused caller should retry, with jitter.

    `usable_in` is the number of seconds until this host may use tokens that cover the
    request, 0 if it has none.
    """
    seconds = min(MAX_RETRY_AFTER, usable_in) if usable_in > 0 else RETRY_AFTER
    return spreading.spread(seconds)


class TokensReceived(typing.NamedTuple):
    """Tokens from other hosts; `all_answered` if all were asked and answered."""

    tokens: int
    all_answered: bool


# Requests an account's tokens from other hosts, first from those named.
RequestTokens = abc.Callable[[str, int, list[str]], abc.Awaitable[TokensReceived]]


class Home(typing.NamedTuple):
    """Access to the host that holds an account's tokens for this host's region.

    In a small fleet accounts have no home, and each host holds tokens for itself.
    """

    is_local: abc.Callable[[str], bool]  # whether this host is an account's home
    is_remote: abc.Callable[[str], bool]  # whether another host is
    # Requests tokens from the home; returns how many it gave, None without an answer.
    request: abc.Callable[[str, int], abc.Awaitable[int | None]]
    # Gives tokens back to the home; returns whether it certainly did not get them.
    give_back: abc.Callable[[str, int], abc.Awaitable[bool]]


class Witnesses(typing.NamedTuple):
    """Other hosts, which confirm that the store is away (`coordination.witnesses`).

    The defaults are those of a host that is alone.
    """

    names: abc.Callable[[], tuple[str, ...]] = tuple  # of a commit that is sent now
    # Whether enough of a commit's witnesses have confirmed it.
    may_rise: abc.Callable[[escrow.Holding], bool] = lambda holding: True
    # Ids of the incarnations that are known to live, None if all holders are.
    live_ids: abc.Callable[[], frozenset[str] | None] = lambda: None
