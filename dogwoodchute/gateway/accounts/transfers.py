"""Gets tokens for waiting requests: from the account's home host, or from any host."""

from collections import abc

from dogwoodchute import log
from dogwoodchute.gateway.accounts import account_rows, reservations

HOME_PAUSE = 0.3  # seconds without requests to a home that gave nothing
GIVE_BACK_PAUSE = 5.0  # seconds after a home did not take tokens back
HOSTS_PAUSE = 0.25  # seconds without requests to other hosts after they gave nothing


class Transfers:
    """Requests for tokens that this host sends to other hosts."""

    def __init__(
        self,
        *,
        holder: str,
        request_tokens: reservations.RequestTokens,
        home: reservations.Home,
        now: abc.Callable[[], float],
    ) -> None:
        self._holder = holder
        self._request_tokens = request_tokens
        self._home = home
        self._now = now

    async def get_from_home(self, account: account_rows.Account) -> bool:
        """Get the waiters' tokens from the account's home; return whether any came.

        One home that holds tokens for all hosts of a region needs far fewer than the
        hosts would need if each held enough for its own next requests.
        """
        waiting = account.open_waiters()
        now = self._now()
        if not waiting or not self._home.is_remote(account.name):
            return False
        if now - account.home_gave_none_at < HOME_PAUSE:
            return False
        missing = sum(w.tokens for w in waiting) - max(0, account.ledger.available(now))
        received = await self._home.request(account.name, missing) if missing > 0 else 0
        if not received:
            account.home_gave_none_at = self._now()
            account.home_answered = received is not None
            return False
        account.ledger.transfer_in(received)
        return True

    async def give_back(self, account: account_rows.Account) -> None:
        """Give the tokens that lie idle here back to the account's home."""
        tokens = account.ledger.transfer_out(account.ledger.idle, self._now())
        if tokens and await self._home.give_back(account.name, tokens):
            account.ledger.transfer_in(tokens)
            account.give_back_after = self._now() + GIVE_BACK_PAUSE

    def is_left_to_home(self, account: account_rows.Account) -> bool:
        """Return whether the home last answered and so may yet draw for the waiters."""
        is_remote = self._home.is_remote(account.name)
        return bool(account.open_waiters()) and is_remote and account.home_answered

    async def get_from_hosts(
        self, account: account_rows.Account, have: int
    ) -> reservations.TokensReceived | None:
        """Get from any hosts what the first waiter lacks beyond the `have` tokens here.

        Returns None if there is no waiter or it lacks nothing.
        """
        waiting = account.open_waiters()
        if not waiting:
            return None
        missing = waiting[0].tokens - max(0, have)
        if missing <= 0:
            return None
        received = await self._request_tokens(
            account.name, missing, self._holders(account)
        )
        account.ledger.transfer_in(received.tokens)
        log.info(
            "tokens_got",
            account=account.name,
            tokens=received.tokens,
            asked=missing,
            whole=received.all_answered,
        )
        return received

    def may_request(self, account: account_rows.Account) -> bool:
        """Return False for `HOSTS_PAUSE` seconds after other hosts gave nothing."""
        return self._now() - account.none_given_at >= HOSTS_PAUSE

    def _holders(self, account: account_rows.Account) -> list[str]:
        """Return the other holders, first those that hold most as far as is known."""
        idle = {
            name: holding.granted - holding.spent
            for name, holding in account.holdings.items()
            if name != self._holder
        }
        return sorted(idle, key=lambda name: (-idle[name], name))
