"""A client account's grant on this host, and the requests that wait for a draw."""

import asyncio
import dataclasses
import typing

from dogwoodchute.coordination import grants, sizing
from dogwoodchute.platform import table


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reserved:
    """The tokens are reserved on this host."""

    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Spent:
    """The budget does not cover the tokens; `remaining` is what it still covers."""

    remaining: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutOfReach:
    """The grant is used up, and the rest of the budget can't be drawn now."""

    reason: str
    peer: str | None = None


Reservation = Reserved | Spent | OutOfReach


class ReclaimResult(typing.NamedTuple):
    """What a scan of other hosts' grants returned to the budget, in tokens."""

    returned: int  # to the budget, from grants of lost hosts
    held: int  # unspent in the grants of other hosts


class Waiter(typing.NamedTuple):
    """A request that waits for a draw; `result` is set to a `Reservation`."""

    tokens: int
    result: asyncio.Future


class AccountState:
    """One client account on this host; `lock` serializes writes of its grant row."""

    def __init__(self) -> None:
        self.ledger = grants.Ledger()
        self.demand = sizing.Demand()
        self.lock = asyncio.Lock()
        self.version = 0  # of the grant row, 0 while there is none
        self.budget: table.Row | None = None  # as last read or written
        self.waiters: list[Waiter] = []
        self.drawing: asyncio.Task | None = None
        self.last_used = 0.0  # monotonic seconds
        self.scarce_until = 0.0  # monotonic seconds; until then no refills


def lacking_tokens(account_state: AccountState) -> int:
    """Return how many tokens the waiters need beyond what the grant has."""
    return (
        sum(waiter.tokens for waiter in account_state.waiters)
        - account_state.ledger.available
    )


def reserve_for_waiters(account_state: AccountState) -> None:
    """Reserve tokens for the waiters that the grant covers."""
    for waiter in list(account_state.waiters):
        if account_state.ledger.reserve(waiter.tokens):
            account_state.waiters.remove(waiter)
            waiter.result.set_result(Reserved(tokens=waiter.tokens))


def refuse_uncovered(account_state: AccountState, remaining: int, held: int) -> None:
    """Refuse the waiters that `remaining` tokens of the budget do not cover.

    Those that the `held` tokens of other hosts would cover get `OutOfReach`, since
    those tokens may come back to the budget; the others get `Spent`.
    """
    room = remaining + account_state.ledger.available
    for waiter in list(account_state.waiters):
        if waiter.tokens <= room:
            room -= waiter.tokens
        elif waiter.tokens <= room + held:
            refuse(
                account_state,
                [waiter],
                OutOfReach(reason="other hosts hold the tokens"),
            )
        else:
            refuse(account_state, [waiter], Spent(remaining=max(0, room + held)))


def refuse(
    account_state: AccountState, waiters: list[Waiter], reason: Spent | OutOfReach
) -> None:
    """Remove waiters and give them `reason` as their result."""
    for waiter in waiters:
        account_state.waiters.remove(waiter)
        waiter.result.set_result(reason)
