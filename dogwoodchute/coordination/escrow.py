"""Escrow of prepaid budgets: each host spends what it drew, from memory.

An account's row holds what all holders drew; every commit keeps it within the prepaid
total. Each holder has a row of its own, which says what it drew and up to what it may
have used. So the spend stays within the budget whatever happens to holders and
messages. Holders may give tokens to one another: the giver counts them as used before
it sends them, so a lost message wastes them, and the sums stay right.

Source of the method: P. O'Neil, "The Escrow Transactional Method", ACM TODS 11, 1986.

A holder's row is written ahead: for `WRITE_AHEAD` seconds after it sent a commit, the
holder uses no more than that commit's `limit`. Later, when it may be cut off from the
store, what it may use rises evenly to all that it drew, as fast as it may need tokens.
The row tells in how many seconds (`ramp`). So what a dead holder can't have used by the
time at which the next process began on its host is given back.

Times are of steady clocks that count suspension.
"""

import math
import typing

WRITE_AHEAD = 1.5  # seconds: a checkpoint's age and its time on the way, and a margin
RAMP = 9.0  # seconds at the most; a host that is cut off for long uses all it drew


class Account(typing.NamedTuple):
    """A client account's row, in tokens.

    What closed holders may have used without a bill stays drawn, and is told by cause.
    """

    drawn: int = 0  # net of returns
    closed_spent: int = 0  # by closed holders, as their bills say
    lost_reserved: int = 0
    lost_headroom: int = 0
    lost_risen: int = 0


class Lost(typing.NamedTuple):
    """Tokens that a dead holder may have used without a bill, by cause."""

    reserved: int = 0  # by requests that its last commit knew of
    headroom: int = 0  # up to the limit of that commit
    risen: int = 0  # above the limit, until the next process began on its host

    @property
    def tokens(self) -> int:
        """All of them."""
        return sum(self)


class Holding(typing.NamedTuple):
    """One holder's row, in tokens."""

    granted: int = 0  # drawn, net of returns
    spent: int = 0  # known to be billed
    limit: int = 0  # upper bound of what is used, for `WRITE_AHEAD` after `at`
    commit: int = 0  # counts the holder's commits
    at: float = 0.0  # seconds of the store's clock, at the latest when it was sent
    ramp: float = 0.0  # seconds in which the bound rises from `limit` to `granted`
    registered: int = 0  # store's version when the holder registered, 0 if not known
    reserved: int = 0  # by requests in flight, and by those that wait for the commit
    moved: int = 0  # given to other holders less what they gave


class _Sent(typing.NamedTuple):
    holding: Holding
    at: float  # monotonic seconds of this host


def usable(holding: Holding, age: float) -> int:
    """Return the tokens that a holder may have used `age` seconds after its commit."""
    rising = age - WRITE_AHEAD
    if rising < 0:
        return holding.limit
    if rising >= holding.ramp:
        return holding.granted
    above = holding.granted - holding.limit
    return holding.limit + int(above * rising / holding.ramp)


def reclaimable(holding: Holding, *, began: float) -> int:
    """Return the tokens that a dead holder certainly did not use.

    `began` is the time, by the store's clock, at which the process began that followed
    the holder's on its host.
    """
    return max(0, holding.granted - usable(holding, began - holding.at))


def lost(holding: Holding, *, began: float) -> Lost:
    """Return what stays drawn of a dead holder's tokens without a bill.

    `began` is as in `reclaimable`. What it gave to others is not lost.
    """
    used = holding.spent + holding.reserved + holding.moved
    bound = usable(holding, began - holding.at)
    return Lost(
        reserved=holding.reserved,
        headroom=max(0, holding.limit - used),
        risen=max(0, bound - holding.limit),
    )


def _usable_after(holding: Holding, tokens: int) -> float:
    """Return the age in seconds from which `tokens` of a holding may be used."""
    if tokens <= holding.limit:
        return 0.0
    if tokens > holding.granted:
        return math.inf
    above = holding.granted - holding.limit
    return WRITE_AHEAD + holding.ramp * (tokens - holding.limit) / above


class Ledger:
    """One client account's tokens on one host."""

    def __init__(self) -> None:
        self.spent = 0  # cumulative
        self.reserved = 0  # by requests in flight
        self._moved = 0  # given to other hosts less what they gave; cumulative
        self._commits = 0
        self._confirmed = _Sent(Holding(), float("-inf"))
        self._pending: _Sent | None = None

    @property
    def used(self) -> int:
        """Tokens that are spent, reserved or given away, net of those got."""
        return self.spent + self.reserved + self._moved

    @property
    def moved(self) -> int:
        """Tokens that were given to other hosts, less what they gave."""
        return self._moved

    @property
    def granted(self) -> int:
        """Tokens that this host certainly drew, whichever way a commit ends."""
        return min(sent.holding.granted for sent in self._candidates())

    @property
    def idle(self) -> int:
        """Tokens that were drawn and are not used."""
        return self.granted - self.used

    @property
    def pending(self) -> Holding | None:
        """What a commit under way would write, None without one."""
        return self._pending.holding if self._pending is not None else None

    @property
    def confirmed(self) -> Holding:
        """What the holder's row holds, as far as commits have ended."""
        return self._confirmed.holding

    def sent_at(self) -> float:
        """Return when the last commit that may have applied was sent."""
        return max(sent.at for sent in self._candidates())

    def available(self, now: float) -> int:
        """Return the tokens that may be reserved at `now`, monotonic seconds."""
        bounds = [usable(sent.holding, now - sent.at) for sent in self._candidates()]
        return min(self.granted, *bounds) - self.used

    def usable_at(self, tokens: int) -> float:
        """Return when `tokens` more may be reserved, infinite if not without a commit.

        The time is in monotonic seconds, and may have passed.
        """
        needed = self.used + tokens
        return max(
            sent.at + _usable_after(sent.holding, needed) for sent in self._candidates()
        )

    def reserve(self, tokens: int, now: float) -> bool:
        """Reserve `tokens` if they are available; return whether they were."""
        if tokens > self.available(now):
            return False
        self.reserved += tokens
        return True

    def spend(self, tokens: int) -> None:
        """Count tokens of a reservation as spent before it ends."""
        self.reserved -= tokens
        self.spent += tokens

    def settle(self, reserved: int, used: int) -> None:
        """End a reservation of which `used` tokens were spent."""
        self.reserved -= reserved
        self.spent += min(used, reserved)

    def give(self, tokens: int, now: float) -> int:
        """Give up to `tokens` to another host; return how many are to be sent to it."""
        given = max(0, min(tokens, self.available(now)))
        self._moved += given
        return given

    def take(self, tokens: int) -> None:
        """Take in tokens that another host gave, once for each answer of it."""
        self._moved -= tokens

    def propose(
        self,
        *,
        draw: int,
        ahead: int,
        now: float,
        store_now: float,
        pace: float = 0.0,
        waiting: int = 0,
    ) -> Holding | None:
        """Begin a commit that draws `draw` tokens, or returns them if negative.

        `waiting` are the tokens that requests wait for, and `ahead` those that others
        may use before the next commit; `pace` are those that may be needed in each
        second if none follows. `store_now` is not above the store's clock. Return None
        while a commit is under way, or if more would be returned than is idle.
        """
        granted = self.granted + draw
        if self._pending is not None or granted < min(self.granted, self.used):
            return None
        self._commits += 1
        limit = self.used + waiting + ahead
        age = now - self._confirmed.at
        if age >= WRITE_AHEAD:
            # While the store is away a commit must not take back what may be used.
            limit = max(limit, usable(self._confirmed.holding, age))
        limit = min(granted, limit)
        holding = Holding(
            granted=granted,
            spent=self.spent,
            limit=limit,
            commit=self._commits,
            at=store_now,
            ramp=min(RAMP, (granted - limit) / pace) if pace > 0 else RAMP,
            reserved=self.reserved + min(waiting, limit - self.used),
            moved=self._moved,
        )
        self._pending = _Sent(holding, now)
        return holding

    def end(self, *, applied: bool) -> None:
        """End the commit under way, of which no copy can apply any more."""
        if applied and self._pending is not None:
            self._confirmed = self._pending
        self._pending = None

    def _candidates(self) -> list[_Sent]:
        """What the holder's row may hold now."""
        if self._pending is None:
            return [self._confirmed]
        return [self._confirmed, self._pending]
