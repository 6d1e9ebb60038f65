"""Gives outcomes to the requests that wait for an account's tokens."""

import asyncio
from collections import abc

from dogwoodchute.gateway.accounts import (
    account_commits,
    account_rows,
    draw_plan,
    refusals,
    reservations,
    transfers,
)

# Multiple of its wait for which the first in line may wait for what its host may use.
FIRST_WAIT_FACTOR = 2.0
MIN_PAUSE = 0.002  # seconds between two looks whether the first may be served
MAX_ROW_AGE = 0.3  # seconds; older rows are read again before a request is refused


class Waiters:
    """The waiting requests of all accounts of this host, served in order."""

    def __init__(
        self,
        *,
        plan: draw_plan.DrawPlan,
        commits: account_commits.Commits,
        token_transfers: transfers.Transfers,
        returnable: abc.Callable[[account_rows.Account], int],
        now: abc.Callable[[], float],
    ) -> None:
        self._returnable = returnable  # tokens that lost hosts may yet give back
        self._plan = plan
        self._commits = commits
        self._transfers = token_transfers
        self._now = now
        self._shortages = refusals.Shortages(now=now)
        # Monotonic seconds at which the store last did not answer.
        self.unavailable_at = float("-inf")

    def grant(self, account: account_rows.Account) -> None:
        """Reserve tokens for the waiters that the ledger covers, in order."""
        if self._plan.may_spend(account):
            _grant(account, self._now())

    async def wait(
        self,
        account: account_rows.Account,
        waiter: account_rows.Waiter,
        *,
        seconds: float,
    ) -> None:
        """Wait for the outcome of a waiter, for some seconds.

        While the store is away, what may be used rises without a commit. The first in
        line waits longer if its tokens come into use by then. Else large requests would
        get none: small ones take what has risen whenever a large one gives up.
        """
        longest = self._now() + FIRST_WAIT_FACTOR * seconds
        await asyncio.wait([waiter.done], timeout=seconds)
        self.grant(account)
        while not waiter.done.done() and account.waiters[0] is waiter:
            usable_at = account.ledger.usable_at(waiter.tokens)
            if max(usable_at, self._now()) > longest:
                return
            pause = max(MIN_PAUSE, usable_at - self._now())
            await asyncio.wait([waiter.done], timeout=pause)
            self.grant(account)

    def abandon(
        self, account: account_rows.Account, waiter: account_rows.Waiter
    ) -> None:
        """Remove a waiter whose request has ended; free any tokens reserved for it."""
        _abandon(account, waiter)
        # Waiters are served in order, so smaller ones may have waited behind it.
        self.grant(account)

    def recent_refusal(
        self, account: account_rows.Account, tokens: int
    ) -> reservations.ReserveOutcome | None:
        """Return the outcome of a request just after one as large was refused."""
        prepaid = self._plan.prepaid(account)
        outcome = self._shortages.recent(account.name, tokens, prepaid=prepaid)
        if isinstance(outcome, reservations.OutOfReach):
            return self.out_of_reach(account, tokens, outcome.reason)
        return outcome

    def out_of_reach(
        self, account: account_rows.Account, tokens: int, reason: str
    ) -> reservations.ReserveOutcome:
        """Return a refusal that says when to retry."""
        return refusals.out_of_reach(account, tokens, reason, now=self._now())

    async def request_or_refuse(self, account: account_rows.Account) -> bool:
        """Request the first waiter's tokens from other hosts; refuse it without them.

        Later waiters that want at least as many tokens are refused with it. Return
        whether more may be due.
        """
        now = self._now()
        if account.read_at is None or now - account.read_at > MAX_ROW_AGE:
            error = await self._commits.read(
                account, serve_waiters=self.serve_from_hosts
            )
            if error is not None:
                await self.serve_from_hosts(account, error.reason)
            return error is None
        waiting = account.open_waiters()
        if waiting and (used_up := self._used_up(account, waiting[0].tokens)):
            self._refuse_from(account, waiting[0].tokens, used_up)
            return True
        received = await self._request_for_first_waiter(account, account.ledger.idle)
        waiting = account.open_waiters()
        if received is None or not waiting:
            return bool(waiting)
        if account.ledger.idle >= waiting[0].tokens:
            return True
        least = waiting[0].tokens
        remaining = max(0, (self._plan.prepaid(account) or 0) - account.row.drawn)
        if not received.all_answered:
            outcome = self.out_of_reach(account, least, "not all hosts could be asked")
        elif least <= remaining + self._returnable(account):
            outcome = self.out_of_reach(account, least, "tokens may yet return")
        else:
            outcome = reservations.Exhausted(remaining=remaining)
        self._refuse_from(account, least, outcome)
        return True

    def _used_up(
        self, account: account_rows.Account, tokens: int
    ) -> reservations.Exhausted | None:
        """Return the refusal of a request that the whole fleet has no tokens for.

        This is so if the rows as last read show it. Tokens that are left may lie at any
        host; in a large fleet not all of them can be asked for one request.
        """
        prepaid = self._plan.prepaid(account)
        if prepaid is None or tokens <= prepaid - account.known_gone:
            return None
        remaining = max(0, prepaid - account.known_gone)
        return reservations.Exhausted(remaining=remaining)

    def _refuse_from(
        self,
        account: account_rows.Account,
        least: int,
        outcome: reservations.ReserveOutcome,
    ) -> None:
        """Refuse the waiters that want at least so many tokens."""
        prepaid = self._plan.prepaid(account)
        self._shortages.record(account.name, least, outcome, prepaid=prepaid)
        for waiter in account.open_waiters():
            if waiter.tokens >= least:
                _refuse(account, waiter, outcome)

    async def serve_from_hosts(
        self, account: account_rows.Account, reason: str
    ) -> None:
        """Serve waiters with other hosts' tokens while the store does not answer.

        Waiters that this host's own tokens cover keep waiting until those may be used.
        The others keep waiting too while the first call to the store is under way, as
        it may still bring what they lack. After a failed call they are refused if other
        hosts have no tokens either.
        """
        self.unavailable_at = self._now()
        self.grant(account)
        while account.open_waiters() and self._transfers.may_request(account):
            received = await self._request_for_first_waiter(
                account, account.ledger.available(self._now())
            )
            self.grant(account)
            if received is None:
                break
            if received.tokens == 0:
                account.none_given_at = self._now()
        if self._commits.store_unavailable and not self._transfers.may_request(account):
            self.refuse_uncovered(account, reason)

    def refuse_uncovered(self, account: account_rows.Account, reason: str) -> None:
        """Refuse the waiters that this host's tokens do not cover, in order."""
        idle = account.ledger.idle
        for waiter in account.open_waiters():
            if waiter.tokens <= idle:
                idle -= waiter.tokens
                continue
            outcome = self.out_of_reach(account, waiter.tokens, reason)
            _refuse(account, waiter, outcome)
            self._shortages.record_if_none(
                account.name,
                waiter.tokens,
                outcome,
                prepaid=self._plan.prepaid(account),
            )

    async def _request_for_first_waiter(
        self, account: account_rows.Account, have: int
    ) -> reservations.TokensReceived | None:
        if account.open_waiters() and not self._plan.may_spend(account):
            return reservations.TokensReceived(0, True)
        return await self._transfers.get_from_hosts(account, have)


def _grant(account: account_rows.Account, now: float) -> None:
    """Reserve tokens for waiters in order, up to the first that can't be covered."""
    for waiter in list(account.waiters):
        if waiter.done.done():
            account.waiters.remove(waiter)
            continue
        if not account.ledger.reserve(waiter.tokens, now):
            return
        account.waiters.remove(waiter)
        waiter.done.set_result(reservations.Reserved())


def _refuse(
    account: account_rows.Account,
    waiter: account_rows.Waiter,
    outcome: reservations.ReserveOutcome,
) -> None:
    """Remove a waiter and give it an outcome without tokens."""
    account.waiters.remove(waiter)
    waiter.done.set_result(outcome)


def _abandon(account: account_rows.Account, waiter: account_rows.Waiter) -> None:
    """Remove a waiter whose request has ended; free any tokens reserved for it."""
    if waiter in account.waiters:
        account.waiters.remove(waiter)
    if not waiter.done.done():
        waiter.done.cancel()
    elif isinstance(waiter.done.result(), reservations.Reserved):
        account.ledger.settle(waiter.tokens, 0)
