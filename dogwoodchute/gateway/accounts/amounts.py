"""How many tokens of an account a host draws, returns and may use between commits.

The headroom of a commit is what requests to come may use before the next one.
"""

import typing

from dogwoodchute.coordination import grants, sizing
from dogwoodchute.gateway.accounts import account_commits, account_rows

HORIZON = 14.0  # seconds of use that a host draws in advance, for outages of the store
MIN_HORIZON = 4.0  # the same just after the host's previous process was killed
HOME_REFILL = 0.75  # of the horizon's use, below which a home host draws again
OWN_REFILL = 0.5  # the same for other hosts, whose draws conflict with one another
HELD_SHARE = 0.5  # of what a host and the budget have left; the host holds no more
MAX_HEADROOM_SHARE = 0.25  # of a host's idle tokens
HEADROOM_SHARE = 0.005  # of a budget, for the headroom of all its holders together
HOME_HEADROOM_SECONDS = 2.0  # seconds of a host's use, where accounts have homes
HEADROOM_SLOW_COMMITS = 3.0  # upper bound of that time, in commits to a slow store
# Multiple of the mean use that may be needed while the store is unavailable.
OFFLINE_RATE_FACTOR = 1.3
# Requests of an account in a horizon, from which a host that is not its home host draws
# in advance too.
MIN_REQUESTS_TO_DRAW_IN_ADVANCE = 6


class DrawConditions(typing.NamedTuple):
    """What a host's draws of an account depend on, besides the account's own state."""

    prepaid: int | None  # tokens that may be used in all, None for no limit
    is_home: bool  # this host holds tokens for the others of its region
    has_home: bool  # another host holds tokens for this one
    is_stopping: bool  # this host stops and returns all idle tokens
    horizon: float = HORIZON  # seconds of use that this host draws in advance
    holders: int = 1  # hosts that draw the account's tokens in advance
    commit_seconds: float = 0.0  # seconds of a commit while the store is slow, else 0


def horizon(*, age: float, was_killed: bool) -> float:
    """Return the seconds of use that a host draws in advance.

    `age` is the process's age in seconds; `was_killed` says whether the host's previous
    process ended without notice. Such a host may soon be killed again, and what it
    holds is lost then, so it draws no more seconds of use than its process is old, but
    at least `MIN_HORIZON`.
    """
    if not was_killed:
        return HORIZON
    return min(HORIZON, max(MIN_HORIZON, age))


def headroom(
    account: account_rows.Account, conditions: DrawConditions, now: float
) -> int:
    """Return the tokens that requests to come may use before the next commit.

    They are lost if the host dies before that commit. A request for more waits for a
    commit of its own. Where accounts have homes the store can't take that many commits,
    so the headroom covers some seconds of use.
    """
    maximum = int(MAX_HEADROOM_SHARE * max(0, account.ledger.idle))
    if conditions.prepaid is None:
        return maximum
    wanted = HEADROOM_SHARE * conditions.prepaid / conditions.holders
    if conditions.is_home or conditions.has_home:
        seconds = HOME_HEADROOM_SECONDS
        if conditions.commit_seconds:
            seconds = min(seconds, HEADROOM_SLOW_COMMITS * conditions.commit_seconds)
        wanted = max(wanted, seconds * account.demand.rate(now))
    return min(maximum, int(wanted))


def awaited_tokens(account: account_rows.Account) -> int:
    """Return the tokens that waiters here and requests of other hosts wait for."""
    return (
        sum(waiter.tokens for waiter in account.open_waiters())
        + account.requested_by_hosts
    )


def change(
    account: account_rows.Account,
    conditions: DrawConditions,
    now: float,
    *,
    draw: int = 0,
) -> account_commits.Change:
    """Return what a commit that draws `draw` tokens does to an account."""
    rate = OFFLINE_RATE_FACTOR * account.demand.lower_rate(now)
    return account_commits.Change(
        account=account,
        draw=draw,
        awaited=awaited_tokens(account),
        headroom=headroom(account, conditions, now),
        rate=rate,
    )


def limit_is_low(
    account: account_rows.Account, conditions: DrawConditions, now: float
) -> bool:
    """Return whether requests may soon have to wait, though this host has tokens.

    Only a new commit raises the limit up to which idle tokens may be used.
    """
    available = account.ledger.available(now)
    wanted = awaited_tokens(account) + headroom(account, conditions, now)
    wanted = max(account.requested_by_hosts, wanted // 4)
    return available < min(wanted, account.ledger.idle)


def draw(account: account_rows.Account, conditions: DrawConditions, now: float) -> int:
    """Return the tokens to draw now; a negative number returns some to the row."""
    idle = account.ledger.idle
    if conditions.prepaid is None or account.ledger.pending is not None:
        return 0
    if conditions.is_stopping or account.row.drawn > conditions.prepaid:
        return -max(0, idle)
    if now < account.no_draw_until:
        return 0
    balance = grants.Balance(conditions.prepaid, account.row.drawn_at_least)
    rate = (
        account.demand.rate(now) if draws_in_advance(account, conditions, now) else 0.0
    )
    needed = sum(waiter.tokens for waiter in account.open_waiters()) - max(0, idle)
    if conditions.is_home:
        needed += account.requested_by_hosts
    if needed > 0:
        size = sizing.draw_size(
            balance=balance,
            needed=needed,
            rate=rate,
            horizon=conditions.horizon,
            share=HELD_SHARE,
        )
        return size or _draw_for_first(account, balance)
    if now < account.draw_after:
        return 0
    refill = sizing.refill_size(
        balance=balance,
        available=max(0, idle),
        reserved=0,
        rate=rate,
        horizon=conditions.horizon,
        share=HELD_SHARE,
        refill_threshold=HOME_REFILL if conditions.is_home else OWN_REFILL,
    )
    if refill:
        return refill
    return -sizing.return_size(
        available=idle,
        reserved=account.ledger.reserved,
        rate=account.demand.rate(now),
        horizon=conditions.horizon,
        idle=account.demand.idle_seconds(now),
    )


def draws_in_advance(
    account: account_rows.Account, conditions: DrawConditions, now: float
) -> bool:
    """Return whether this host draws an account's tokens in advance.

    A host that is not the account's home does so only for many requests of its own.
    """
    if not conditions.has_home:
        return True
    used = account.demand.lower_rate(now) * conditions.horizon
    return used >= MIN_REQUESTS_TO_DRAW_IN_ADVANCE * account.mean_request


def _draw_for_first(account: account_rows.Account, balance: grants.Balance) -> int:
    """Return what the first waiter lacks, or all that is left to draw if that is less.

    The rest may then come from other hosts.
    """
    waiting = account.open_waiters()
    first = waiting[0].tokens if waiting else account.requested_by_hosts
    missing = first - max(0, account.ledger.idle)
    return max(0, min(missing, balance.remaining))
