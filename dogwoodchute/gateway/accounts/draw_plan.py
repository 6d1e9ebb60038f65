"""What a host's commits do to its accounts, by their state and the fleet's."""

from collections import abc

from dogwoodchute.gateway import model
from dogwoodchute.gateway.accounts import (
    account_commits,
    account_rows,
    amounts,
    reservations,
)

# Of the prepaid total; the rest covers requests that ran although no host noticed it.
USABLE_SHARE = 0.99


class DrawPlan:
    """Decides what is drawn, returned and usable of the accounts on this host."""

    def __init__(
        self,
        *,
        config: abc.Callable[[], model.Config | None],
        home: reservations.Home,
        hosts: abc.Callable[[], int],
        regions: int,
        horizon: abc.Callable[[], float],
        slow_commit_seconds: abc.Callable[[], float],
        now: abc.Callable[[], float],
    ) -> None:
        self.is_stopping = False  # this host returns all idle tokens
        self._config = config
        self._home = home
        self._hosts = hosts  # the number of hosts
        self._regions = regions
        self._horizon = horizon  # seconds of use that this host draws in advance
        self._slow_commit_seconds = slow_commit_seconds  # 0 unless the store is slow
        self._now = now

    def prepaid(self, account: account_rows.Account) -> int | None:
        """Return the tokens that may be used of an account, None for no limit."""
        config = self._config()
        found = config.accounts.get(account.name) if config is not None else None
        if found is None or found.prepaid is None:
            return None
        return int(found.prepaid * USABLE_SHARE)

    def may_spend(self, account: account_rows.Account) -> bool:
        """Return False while more is drawn than the prepaid total.

        This happens after the total was lowered.
        """
        prepaid = self.prepaid(account)
        return prepaid is None or account.row.drawn <= prepaid

    def account_count(self) -> int:
        """Return the number of all accounts, used on this host or not."""
        return len(config.accounts) if (config := self._config()) is not None else 1

    def draw(self, account: account_rows.Account) -> int:
        """Return the tokens to draw now; a negative number returns some to the row."""
        return amounts.draw(account, self._conditions(account), self._now())

    def limit_is_low(self, account: account_rows.Account) -> bool:
        """Return whether requests may soon have to wait, though tokens are idle."""
        return amounts.limit_is_low(account, self._conditions(account), self._now())

    def draws_in_advance(self, account: account_rows.Account) -> bool:
        """Return whether this host draws an account's tokens in advance."""
        return amounts.draws_in_advance(account, self._conditions(account), self._now())

    def change(
        self, account: account_rows.Account, *, draw: int = 0
    ) -> account_commits.Change:
        """Return what a commit that draws `draw` tokens does to an account."""
        conditions = self._conditions(account)
        return amounts.change(account, conditions, self._now(), draw=draw)

    def _conditions(self, account: account_rows.Account) -> amounts.DrawConditions:
        is_home = self._home.is_local(account.name)
        return amounts.DrawConditions(
            prepaid=self.prepaid(account),
            is_home=is_home,
            has_home=self._home.is_remote(account.name),
            is_stopping=self.is_stopping,
            horizon=self._horizon(),
            holders=self._regions if is_home else self._hosts(),
            commit_seconds=self._slow_commit_seconds(),
        )
