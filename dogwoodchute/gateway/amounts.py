"""How many tokens of an account a host draws, returns and may use ahead."""

import typing

from dogwoodchute.coordination import grants, sizing
from dogwoodchute.gateway import account_rows

HORIZON = 14.0  # seconds of use that a host keeps ahead, for a time without the store
MIN_HORIZON = 4.0  # seconds; the same just after its process before was killed
HOME_REFILL = 0.75  # of the use kept ahead, below which a home draws again
OWN_REFILL = 0.5  # the same of other hosts, whose draws would meet one another's
HELD_SHARE = 0.5  # of what a host and the budget have left, that it holds at most
AHEAD_SHARE = 0.25  # of a host's idle tokens, that it may use without a commit
LOSS_SHARE = 0.005  # of a budget, that all hosts together may use without commits
HOMES_AHEAD = 2.0  # seconds of a host's use, the same where accounts have homes
SLOW_COMMITS = 3.0  # that may take place in that time while the store is slow
PACE = 1.3  # times the mean use, that may be needed while the store is away
OWN_REQUESTS = 6  # in a horizon, from which a host that is no home draws ahead


class Place(typing.NamedTuple):
    """What a host is to an account."""

    prepaid: int | None  # tokens that may be used in all, None for no limit
    is_home: bool  # it holds tokens for the other hosts of its region
    has_home: bool  # another host holds tokens for it
    returning: bool  # it stops and gives everything back
    horizon: float = HORIZON  # seconds of use that it keeps ahead
    holders: int = 1  # hosts that keep tokens of the account ahead
    commit: float = 0.0  # seconds that a commit takes, 0 unless the store is slow


def horizon(*, age: float, killed: bool) -> float:
    """Return the seconds of use that a host keeps ahead.

    `age` is its process's in seconds; `killed` tells whether the one before ended
    without notice. Such a host may end so again soon, and what it holds is lost then:
    it holds no more seconds of use than it has lived.
    """
    if not killed:
        return HORIZON
    return min(HORIZON, max(MIN_HORIZON, age))


def headroom(account: account_rows.Account, place: Place, now: float) -> int:
    """Return the tokens that requests to come may use before the next commit.

    They are lost if the host dies before it. A request for more waits for a commit of
    its own. Where accounts have homes, the store can't take so many of them.
    """
    most = int(AHEAD_SHARE * max(0, account.ledger.idle))
    if place.prepaid is None:
        return most
    least = LOSS_SHARE * place.prepaid / place.holders
    if place.is_home or place.has_home:
        seconds = HOMES_AHEAD
        if place.commit:
            seconds = min(seconds, SLOW_COMMITS * place.commit)
        least = max(least, seconds * account.demand.rate(now))
    return min(most, int(least))


def awaited(account: account_rows.Account) -> int:
    """Return the tokens that requests wait for, of this host and of those that ask."""
    return sum(waiter.tokens for waiter in account.waiting()) + account.asked


def change(
    account: account_rows.Account, place: Place, now: float, *, draw: int = 0
) -> account_rows.Change:
    """Return what a commit does to an account that draws so many tokens."""
    pace = PACE * account.demand.lower_rate(now)
    return account_rows.Change(
        account=account,
        draw=draw,
        waiting=awaited(account),
        ahead=headroom(account, place, now),
        pace=pace,
    )


def limit_is_low(account: account_rows.Account, place: Place, now: float) -> bool:
    """Whether requests may soon have to wait for a commit, though tokens are here.

    Only a new commit raises what may be used without one.
    """
    available = account.ledger.available(now)
    wanted = awaited(account) + headroom(account, place, now)
    wanted = max(account.asked, wanted // 4)
    return available < min(wanted, account.ledger.idle)


def draw(account: account_rows.Account, place: Place, now: float) -> int:
    """Return the tokens to draw now, negative to return some."""
    idle = account.ledger.idle
    if place.prepaid is None or account.ledger.pending is not None:
        return 0
    if place.returning or account.shared.drawn > place.prepaid:
        return -max(0, idle)
    balance = grants.Balance(place.prepaid, account.shared.drawn)
    rate = account.demand.rate(now) if _draws_ahead(account, place, now) else 0.0
    needed = sum(waiter.tokens for waiter in account.waiting()) - max(0, idle)
    if place.is_home:
        needed += account.asked
    if needed > 0:
        whole = sizing.draw_size(
            balance=balance,
            needed=needed,
            rate=rate,
            horizon=place.horizon,
            share=HELD_SHARE,
        )
        return whole or _draw_for_first(account, balance)
    if now < account.draw_after:
        return 0
    refill = sizing.refill_size(
        balance=balance,
        available=max(0, idle),
        reserved=0,
        rate=rate,
        horizon=place.horizon,
        share=HELD_SHARE,
        below=HOME_REFILL if place.is_home else OWN_REFILL,
    )
    if refill:
        return refill
    return -sizing.return_size(
        available=idle,
        reserved=account.ledger.reserved,
        rate=account.demand.rate(now),
        horizon=place.horizon,
        idle=account.demand.idle(now),
    )


def _draws_ahead(account: account_rows.Account, place: Place, now: float) -> bool:
    """Whether this host holds tokens of an account for requests to come."""
    if not place.has_home:
        return True
    used = account.demand.lower_rate(now) * place.horizon
    return used >= OWN_REQUESTS * account.mean_request


def _draw_for_first(account: account_rows.Account, balance: grants.Balance) -> int:
    """Return what the first waiter lacks, or all that is left to draw.

    Other hosts may have what is lacking then.
    """
    waiting = account.waiting()
    first = waiting[0].tokens if waiting else account.asked
    lacking = first - max(0, account.ledger.idle)
    return max(0, min(lacking, balance.remaining))
