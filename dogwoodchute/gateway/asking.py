"""Gets tokens for requests that wait from other hosts: the account's home, or any."""

from collections import abc

from dogwoodchute import log
from dogwoodchute.gateway import account_rows, reservations

HOME_PAUSE = 0.3  # seconds after an account's home had nothing to give
ASK_PAUSE = 0.25  # seconds after other hosts had nothing to give


class Asking:
    """What this host asks others for."""

    def __init__(
        self,
        *,
        holder: str,
        ask: reservations.Ask,
        home: reservations.Home,
        now: abc.Callable[[], float],
    ) -> None:
        self._holder = holder
        self._ask = ask
        self._home = home
        self._now = now

    async def get_from_home(self, account: account_rows.Account) -> bool:
        """Get the waiters' tokens from the account's home; return whether any came.

        A fleet's hosts together need far fewer tokens in one place than each of them
        for its own next requests.
        """
        waiting = account.waiting()
        now = self._now()
        if not waiting or not self._home.is_elsewhere(account.name):
            return False
        if now - account.home_failed_at < HOME_PAUSE:
            return False
        lacking = sum(w.tokens for w in waiting) - max(0, account.ledger.available(now))
        got = await self._home.ask(account.name, lacking) if lacking > 0 else 0
        if not got:
            account.home_failed_at = self._now()
            account.home_answers = got is not None
            return False
        account.ledger.take(got)
        return True

    def is_left_to_home(self, account: account_rows.Account) -> bool:
        """Whether the account's home answers, so that it may draw for the waiters."""
        elsewhere = self._home.is_elsewhere(account.name)
        return bool(account.waiting()) and elsewhere and account.home_answers

    async def collect(
        self, account: account_rows.Account, have: int
    ) -> reservations.Collected | None:
        """Get what the first waiter lacks, beyond the tokens that this host has.

        They come from any hosts. Return None if nothing lacks.
        """
        waiting = account.waiting()
        if not waiting:
            return None
        lacking = waiting[0].tokens - max(0, have)
        if lacking <= 0:
            return None
        collected = await self._ask(account.name, lacking, self._holders(account))
        account.ledger.take(collected.tokens)
        log.info(
            "tokens_got",
            account=account.name,
            tokens=collected.tokens,
            asked=lacking,
            whole=collected.whole,
        )
        return collected

    def may_ask(self, account: account_rows.Account) -> bool:
        """Return False just after other hosts had nothing to give."""
        return self._now() - account.asked_in_vain_at >= ASK_PAUSE

    def _holders(self, account: account_rows.Account) -> list[str]:
        """Return the other holders, those first that seem to hold most."""
        idle = {
            name: holding.granted - holding.spent
            for name, holding in account.holdings.items()
            if name != self._holder
        }
        return sorted(idle, key=lambda name: (-idle[name], name))
