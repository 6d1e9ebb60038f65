"""What a host writes again of an account after the store came back from an older copy.

The copy lacks what the host drew or returned since, and the bills that it wrote. Nobody
else knows these, so each host states its own holding again, and adds to the account's
row what that lacks.
"""

import math
import typing
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import escrow
from dogwoodchute.gateway import rows
from dogwoodchute.gateway.accounts import account_rows

# Seconds by which a copy may be older than the store was; a margin included.
RECENT = 30.0


class Restores:
    """When the store was restored, as far as this host knows."""

    def __init__(self, *, store: rows.Store, now: abc.Callable[[], float]) -> None:
        self._store = store
        self._now = now
        self._seen_era = 0  # the store's, at the last `notice`; 0 if unknown
        self._restored_at = -math.inf  # monotonic seconds

    @property
    def era(self) -> int:
        """The store's era, as far as is known."""
        return self._store.era()

    @property
    def no_draw_until(self) -> float:
        """Monotonic seconds until which hosts state their holdings after a restore."""
        return self._restored_at + escrow.RESTATE_TIME

    def notice(self) -> None:
        """Note the time if the store was restored since the last call."""
        if self._seen_era and self.era > self._seen_era:
            self._restored_at = self._now()
        self._seen_era = self.era

    def is_before(self, account: account_rows.Account) -> bool:
        """Return whether the store was restored since an account's rows were read."""
        return account.era < self.era


class Found(typing.NamedTuple):
    """An account's rows in the restored store; None for those that it lacks."""

    account: rows.Row | None
    holding: rows.Row | None


async def read(
    store: rows.Store, account: account_rows.Account, *, holder: str
) -> Found | rows.Unavailable:
    """Read the row of an account and that of this host's holding."""
    found = []
    for table, key in (
        (account_rows.ACCOUNTS, account.name),
        (account_rows.HOLDINGS, f"{account.name}/{holder}"),
    ):
        result = await store.read(table, account.part, key, key + "\0")
        if isinstance(result, rows.Unavailable):
            return result
        found.append(result.rows[0] if result.rows else None)
    return Found(*found)


def apply(account: account_rows.Account, found: Found, *, era: int, now: float) -> None:
    """Take over an account's restored rows, and note what to write again."""
    before, before_version = account.row, account.row_version
    account.era = era
    account.row, account.row_version = escrow.Account(), 0
    if found.account is not None:
        account.row = account_rows.decode_account(found.account.value)
        account.row_version = found.account.version
    stored, account.holding_version = escrow.Holding(), 0
    if found.holding is not None:
        stored = account_rows.decode_holding(found.holding.value)
        account.holding_version = found.holding.version
    # Up to the copy both eras have the same numbers.
    is_newer = rows.number_of(before_version) > rows.number_of(account.row_version)
    account.restatement = account_rows.Restatement(
        missing=account.ledger.confirmed.granted - stored.granted,
        known_drawn=before.drawn_at_least if is_newer else 0,
        bills=tuple(
            bill.put for bill in account.recent_bills if now - bill.written_at < RECENT
        ),
    )
    account.no_draw_until = now + escrow.RESTATE_TIME
    log.info(
        "account_restored",
        account=account.name,
        era=era,
        drawn=account.row.drawn,
        before=before.drawn,
        missing=account.restatement.missing,
        bills=len(account.restatement.bills),
    )
