"""Reports the state of each client account's tokens, as far as this host knows."""

import math
from collections import abc

import prometheus_client

from dogwoodchute import log
from dogwoodchute.gateway.accounts import account_rows

INTERVAL = 5.0  # seconds between two reports of an account

tokens = prometheus_client.Gauge(
    "dogwoodchute_account_tokens",
    "Tokens of a client account: what this host last read of its row (prepaid, drawn,"
    " closed, lost), and what this host's own holding consists of.",
    ["account", "state"],
)


class Reports:
    """Log lines and metrics of accounts, written only after a change."""

    def __init__(self, *, now: abc.Callable[[], float]) -> None:
        self._now = now
        self._reported_at = -math.inf  # monotonic seconds
        self._last_states: dict[str, dict[str, int | None]] = {}  # by account

    def report_if_due(
        self,
        accounts: abc.Iterable[account_rows.Account],
        prepaid: abc.Callable[[account_rows.Account], int | None],
    ) -> None:
        """Report the accounts that changed, at most every `INTERVAL` seconds.

        `prepaid` returns how many tokens of an account may be used in total, None for
        no limit.
        """
        if self._now() - self._reported_at < INTERVAL:
            return
        self._reported_at = self._now()
        for account in accounts:
            state = state_of(account, prepaid(account))
            if state == self._last_states.get(account.name):
                continue
            self._last_states[account.name] = state
            log.info("account_tokens", account=account.name, **state)
            for name, value in state.items():
                if value is not None:
                    tokens.labels(account.name, name).set(value)


def state_of(
    account: account_rows.Account, prepaid: int | None
) -> dict[str, int | None]:
    """Return an account's token counts by state; `None` stands for no limit.

    Values up to `lost_risen` come from the account's row at `version` and cover all
    hosts; those from `held` on are of this host only. The drawn tokens are the closed
    and lost ones of ended holdings plus, over all hosts, those billed, reserved, moved
    and held.
    """
    row, ledger = account.row, account.ledger
    return {
        "prepaid": prepaid,
        "version": account.row_version,
        "drawn": row.drawn,
        "closed": row.closed_spent,
        "lost_reserved": row.lost_reserved,
        "lost_headroom": row.lost_headroom,
        "lost_risen": row.lost_risen,
        "held": ledger.idle,
        "billed": ledger.spent,
        "reserved": ledger.reserved,
        "moved": ledger.moved,
    }
