"""Gives tokens to other hosts that ask for them, and takes some back."""

import asyncio
from collections import abc

from dogwoodchute import log
from dogwoodchute.gateway.accounts import (
    account_commits,
    account_rows,
    draw_plan,
    reservations,
    waiters,
)

COMMIT_TIMEOUT = 0.1  # seconds that another host's request waits for a commit here
# Seconds after the store was last found unavailable in which a request of another host
# is answered without waiting for a commit.
UNAVAILABLE_FOR = 0.5
# Of the tokens that another host asks for, of which more are idle here; fewer aren't
# given yet.
MIN_SHARE = 0.1


class Gifts:
    """The tokens of this host that other hosts ask for.

    `ensure_committing` starts the commits of an account unless they are under way.
    """

    def __init__(
        self,
        *,
        plan: draw_plan.DrawPlan,
        home: reservations.Home,
        commits: account_commits.Commits,
        account_waiters: waiters.Waiters,
        ensure_committing: abc.Callable[[account_rows.Account], None],
        now: abc.Callable[[], float],
    ) -> None:
        self._plan = plan
        self._home = home
        self._commits = commits
        self._waiters = account_waiters
        self._ensure_committing = ensure_committing
        self._now = now

    async def give(self, account: account_rows.Account, tokens: int) -> int:
        """Transfer up to `tokens` to another host; return how many.

        If idle tokens may not be used yet, or this is the home host and has too few,
        this waits briefly for a commit.
        """
        if not self._plan.may_spend(account):
            return 0
        wanted = min(tokens, account.ledger.idle)
        if self._home.is_local(account.name):
            account.demand.record_use(self._now(), tokens)
            wanted = tokens
        if account.ledger.available(self._now()) < wanted and not self._is_away():
            account.requested_by_hosts += tokens
            self._ensure_committing(account)
            await asyncio.wait([account.task], timeout=COMMIT_TIMEOUT)
            account.requested_by_hosts -= tokens
        # What may be used of idle tokens rises by the moment while the store is away. A
        # few at a time would take very many calls.
        least = MIN_SHARE * min(tokens, account.ledger.idle)
        if account.ledger.available(self._now()) < least:
            return 0
        given = account.ledger.transfer_out(tokens, self._now())
        if given:
            log.info("tokens_given", account=account.name, tokens=given, asked=tokens)
        return given

    def take_back(self, account: account_rows.Account, tokens: int) -> bool:
        """Take tokens back that another host gives; return whether they were taken."""
        if self._plan.is_stopping or not self._home.is_local(account.name):
            return False
        account.ledger.transfer_in(tokens)
        self._waiters.grant(account)
        return True

    def _is_away(self) -> bool:
        is_recent = self._now() - self._waiters.unavailable_at < UNAVAILABLE_FOR
        return self._commits.store_unavailable or is_recent
