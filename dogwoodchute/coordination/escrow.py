"""Escrow of prepaid budgets: each host spends tokens that it has drawn, from memory.

A holder is one incarnation of a host, that is one run of its process. It draws tokens
from a client account's prepaid budget with a commit to the store, and from then on
reserves and spends them without further calls. Two kinds of rows record this:

- The account's row holds the tokens that all holders have drawn. Every commit keeps the
  sum within the prepaid total.
- Each holder's own row (`Holding`) says how many tokens it has drawn and an upper bound
  of how many it may have used.

So spending stays within the budget even if holders crash or messages are lost. Holders
may also transfer tokens to one another: the sender counts them as used before it sends
them, so a lost message wastes the tokens but never creates any.

Source of the method: P. O'Neil, "The Escrow Transactional Method", ACM TODS 11, 1986.

A holder's row is written ahead of use: for `WRITE_AHEAD` seconds after it sent a
commit, the holder uses no more than that commit's `limit`. After that, when the store
may be unreachable, the bound rises linearly to all tokens that the holder has drawn,
over `ramp` seconds, which depend on how fast the account may need tokens. It rises only
if the commit's witnesses confirm that the store is away (see `witnesses`). When a
holder dies, the tokens above the bound at the time when the next process started on its
host can't have been used, so they return to the budget. If no next process starts,
those above the limit return once the witnesses deny that they have confirmed it.

All times are of monotonic clocks that go on counting while the machine is suspended.
"""

import math
import typing
from collections import abc

WRITE_AHEAD = 1.5  # seconds: age of a checkpoint, its time in transit, and a margin
# Seconds in which all holders learn of a restore and state their holdings again. No
# other tokens are drawn meanwhile, as they may be drawn already.
RESTATE_TIME = 2.0
RAMP = 9.0  # seconds, upper bound; a host long without the store may use all it drew


class Account(typing.NamedTuple):
    """A client account's row, in tokens.

    A holding is closed after its holder died. Tokens that the holder may have used
    without a bill stay drawn; the `lost_` fields count them by cause, as `Lost` does.

    After the store came back from an older copy, the holders state again what the row
    lacks of theirs. What dead ones drew since the copy is known only from the row as
    others saw it, whose `drawn` is kept as `known_drawn` until all had time for that.
    """

    drawn: int = 0  # net of returns
    closed_spent: int = 0  # billed by holders whose rows were closed
    lost_reserved: int = 0
    lost_headroom: int = 0
    lost_risen: int = 0
    known_drawn: int = 0  # 0 once it is settled
    known_at: int = 0  # store's clock, seconds, rounded up; when it was first told

    @property
    def drawn_at_least(self) -> int:
        """The tokens drawn, with those of dead holders that the row lacks."""
        return max(self.drawn, self.known_drawn)

    def gone(self, holdings: abc.Iterable["Holding"]) -> int:
        """Return the tokens that no request can use any more: billed or lost ones.

        `holdings` are all open ones, as read after this row. Both only ever grow, and
        transfers between holders don't change their sum, so the budget less these
        tokens bounds what all hosts together may still use.
        """
        lost = self.lost_reserved + self.lost_headroom + self.lost_risen
        return self.closed_spent + lost + sum(each.spent for each in holdings)


def draw(
    account: Account, tokens: int, *, missing: int, known_drawn: int, store_now: float
) -> Account:
    """Return an account's row after a holder drew `tokens` more.

    After a restore `missing` are those that it had drawn before, and `known_drawn` the
    row's as it saw it last, 0 if it didn't since the copy.
    """
    if account.known_drawn and store_now >= account.known_at + RESTATE_TIME:
        drawn = account.drawn_at_least
        account = account._replace(drawn=drawn, known_drawn=0, known_at=0)
    known = max(account.known_drawn, known_drawn)
    if not known:
        return account._replace(drawn=account.drawn + tokens + missing)
    return account._replace(
        drawn=account.drawn + tokens + missing,
        known_drawn=known + tokens,
        known_at=account.known_at or math.ceil(store_now),
    )


class Lost(typing.NamedTuple):
    """Tokens that a dead holder may have used without a bill, by cause."""

    reserved: int = 0  # by requests that its last commit recorded
    headroom: int = 0  # unreserved, up to the limit of that commit
    risen: int = 0  # above the limit, until the next process started on its host

    @property
    def tokens(self) -> int:
        """The sum over all causes."""
        return sum(self)


class Holding(typing.NamedTuple):
    """One holder's row, in tokens unless noted otherwise."""

    granted: int = 0  # drawn, net of returns
    spent: int = 0  # known to be billed
    limit: int = 0  # upper bound of use, for `WRITE_AHEAD` seconds after `at`
    commit: int = 0  # number of this commit among the holder's commits
    at: float = 0.0  # store's clock, seconds; never later than when it was sent
    ramp: float = 0.0  # seconds in which the bound rises from `limit` to `granted`
    registered: int = 0  # store's version when the holder registered, 0 if unknown
    reserved: int = 0  # by requests in flight, and by those that wait for the commit
    moved: int = 0  # sent to other holders less those received from them
    # Incarnations of other hosts; the bound rises only if some of them confirm it.
    witnesses: tuple[str, ...] = ()
    era: int = 0  # of the store, as the holder knew it


class _SentCommit(typing.NamedTuple):
    holding: Holding
    at: float  # monotonic seconds of this host


def usable_tokens(holding: Holding, age: float) -> int:
    """Return the tokens that a holder may have used `age` seconds after its commit."""
    ramp_age = age - WRITE_AHEAD
    if ramp_age < 0:
        return holding.limit
    if ramp_age >= holding.ramp:
        return holding.granted
    above_limit = holding.granted - holding.limit
    return holding.limit + int(above_limit * ramp_age / holding.ramp)


def whole_as_lost(holding: Holding) -> Lost:
    """Return all unbilled tokens of a holding whose last commits aren't known.

    The store has come back from a copy that may lack them.
    """
    lost = lost_tokens(holding, successor_started_at=holding.at)
    return lost._replace(risen=max(0, holding.granted - holding.limit))


def reclaimable_tokens(holding: Holding, *, successor_started_at: float) -> int:
    """Return the tokens that a dead holder certainly did not use.

    `successor_started_at` is the time, by the store's clock, at which the holder's
    successor started: the next process on the same host.
    """
    return max(
        0, holding.granted - usable_tokens(holding, successor_started_at - holding.at)
    )


def lost_tokens(holding: Holding, *, successor_started_at: float) -> Lost:
    """Return the dead holder's tokens that stay drawn without a bill.

    `successor_started_at` is as in `reclaimable_tokens`. Tokens sent to other holders
    are not lost.
    """
    used = holding.spent + holding.reserved + holding.moved
    bound = usable_tokens(holding, successor_started_at - holding.at)
    return Lost(
        reserved=holding.reserved,
        headroom=max(0, holding.limit - used),
        risen=max(0, bound - holding.limit),
    )


def _usable_after(
    holding: Holding, tokens: int, may_rise: abc.Callable[[Holding], bool]
) -> float:
    """Return the age of a commit in seconds from which `tokens` may be used.

    Infinite if the holding has fewer tokens, or may not use as many.
    """
    if tokens <= holding.limit:
        return 0.0
    if tokens > holding.granted or not may_rise(holding):
        return math.inf
    above_limit = holding.granted - holding.limit
    return WRITE_AHEAD + holding.ramp * (tokens - holding.limit) / above_limit


class Ledger:
    """One client account's tokens on one host.

    While a commit is under way, the row of the host's holding may be that of the last
    confirmed commit or that of the pending one. Each bound is then the lower of the
    two.
    """

    def __init__(
        self, *, may_rise: abc.Callable[[Holding], bool] = lambda holding: True
    ) -> None:
        # Returns whether the bound of a commit's row may rise above its limit.
        self._may_rise = may_rise
        self.spent = 0  # cumulative
        self.reserved = 0  # by requests in flight
        self._moved = 0  # sent to other hosts less those received; cumulative
        self._commits = 0
        self._confirmed = _SentCommit(Holding(), float("-inf"))
        self._pending: _SentCommit | None = None

    @property
    def used(self) -> int:
        """Tokens spent, reserved or sent to other hosts, less those received."""
        return self.spent + self.reserved + self._moved

    @property
    def moved(self) -> int:
        """Tokens sent to other hosts, less those received from them."""
        return self._moved

    @property
    def granted(self) -> int:
        """Tokens drawn, whether or not the commit under way is applied."""
        return min(sent.holding.granted for sent in self._possible_commits())

    @property
    def idle(self) -> int:
        """Tokens that are drawn and not used."""
        return self.granted - self.used

    @property
    def pending(self) -> Holding | None:
        """The row that the commit under way would write, None without one."""
        return self._pending.holding if self._pending is not None else None

    @property
    def confirmed(self) -> Holding:
        """The row that the last applied commit wrote."""
        return self._confirmed.holding

    def sent_at(self) -> float:
        """Return when the last commit that may have been applied was sent.

        In monotonic seconds.
        """
        return max(sent.at for sent in self._possible_commits())

    def available(self, now: float) -> int:
        """Return the tokens that may be reserved at `now`, monotonic seconds."""
        bounds = [self._bound(sent, now) for sent in self._possible_commits()]
        return min(self.granted, *bounds) - self.used

    def usable_at(self, tokens: int) -> float:
        """Return when `tokens` more may be reserved without another commit.

        The time is in monotonic seconds and may be past; infinite if a commit is
        needed.
        """
        needed = self.used + tokens
        return max(
            sent.at + _usable_after(sent.holding, needed, self._may_rise)
            for sent in self._possible_commits()
        )

    def reserve(self, tokens: int, now: float) -> bool:
        """Reserve `tokens` if available; return whether they were reserved."""
        if tokens > self.available(now):
            return False
        self.reserved += tokens
        return True

    def spend(self, tokens: int) -> None:
        """Count some tokens of a reservation as spent before the reservation ends."""
        self.reserved -= tokens
        self.spent += tokens

    def settle(self, reserved: int, used: int) -> None:
        """End a reservation of `reserved` tokens, of which `used` were spent."""
        self.reserved -= reserved
        self.spent += min(used, reserved)

    def transfer_out(self, tokens: int, now: float) -> int:
        """Deduct up to `tokens` for another host; return how many to send to it."""
        given = max(0, min(tokens, self.available(now)))
        self._moved += given
        return given

    def transfer_in(self, tokens: int) -> None:
        """Add tokens that another host sent. Call it once for each answer."""
        self._moved -= tokens

    def begin_commit(
        self,
        *,
        draw: int,
        headroom: int,
        now: float,
        store_now: float,
        rate: float = 0.0,
        awaited: int = 0,
        witnesses: tuple[str, ...] = (),
    ) -> Holding | None:
        """Begin a commit that draws `draw` tokens, or returns them if negative.

        Return the row to write, or None while a commit is under way or if more tokens
        would be returned than are idle.

        Args:
            draw: Tokens to draw.
            headroom: Tokens that further requests may use before the next commit.
            now: Monotonic seconds of this host.
            store_now: Seconds of the store's clock, or earlier.
            rate: Tokens that the account may need in each second if no commit follows.
            awaited: Tokens of requests that wait for this commit.
            witnesses: Incarnations that must confirm a rise above the limit.
        """
        granted = self.granted + draw
        if self._pending is not None or granted < min(self.granted, self.used):
            return None
        self._commits += 1
        limit = self.used + awaited + headroom
        if now - self._confirmed.at >= WRITE_AHEAD:
            # The store was unreachable and the bound may have risen. The new limit must
            # not fall below tokens that may have been used by now.
            limit = max(limit, self._bound(self._confirmed, now))
        limit = min(granted, limit)
        holding = Holding(
            granted=granted,
            spent=self.spent,
            limit=limit,
            commit=self._commits,
            at=store_now,
            ramp=min(RAMP, (granted - limit) / rate) if rate > 0 else RAMP,
            reserved=self.reserved + min(awaited, limit - self.used),
            moved=self._moved,
            witnesses=witnesses,
        )
        self._pending = _SentCommit(holding, now)
        return holding

    def end_commit(self, *, applied: bool) -> None:
        """End the commit under way.

        Call it only when no copy of the commit can be applied any more. `applied`
        tells whether one was.
        """
        if applied and self._pending is not None:
            self._confirmed = self._pending
        self._pending = None

    def reduce(self, granted: int) -> None:
        """Apply that other hosts left only `granted` tokens of this holding.

        They return what is certainly not used, of a holder that they take for lost.
        Call it only without a commit under way.
        """
        holding = self._confirmed.holding
        if granted < holding.granted:
            reduced = holding._replace(granted=granted)
            self._confirmed = self._confirmed._replace(holding=reduced)

    def _bound(self, sent: _SentCommit, now: float) -> int:
        """Return how many tokens a commit lets this holder use at `now`."""
        age = now - sent.at
        if age < WRITE_AHEAD or not self._may_rise(sent.holding):
            return sent.holding.limit
        return usable_tokens(sent.holding, age)

    def _possible_commits(self) -> list[_SentCommit]:
        """Return the commits whose values the holder's row may hold now."""
        if self._pending is None:
            return [self._confirmed]
        return [self._confirmed, self._pending]
