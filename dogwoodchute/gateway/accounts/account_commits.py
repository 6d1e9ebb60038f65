"""Reads and commits of client accounts' rows in the store.

A commit changes rows of one partition only. One without an answer is sent again
unchanged until its outcome is certain.
"""

import asyncio
import typing
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import checkpoints, escrow, store_overload
from dogwoodchute.gateway import rows
from dogwoodchute.gateway.accounts import (
    account_rows,
    commit_counts,
    restored_accounts,
    served_calls,
)

MAX_BILLS_PER_ROW = 300  # of about 40 bytes each
MAX_ACCOUNTS = 20  # in one commit, with up to five checks and puts each
RETRY_PAUSE = 0.15  # seconds after the first attempt without an answer
MAX_RETRY_PAUSE = 0.5  # seconds; the pause doubles up to this


class Change(typing.NamedTuple):
    """What a commit does to one account."""

    account: account_rows.Account
    draw: int = 0  # tokens; negative returns some
    awaited: int = 0  # tokens that requests wait for
    headroom: int = 0  # tokens that later requests may use before the next commit
    rate: float = 0.0  # tokens a second that may be needed without a next commit


class _Sent(typing.NamedTuple):
    """What a commit under way writes of one account, besides its holding."""

    change: Change
    row: escrow.Account | None  # the account's row, None if it stays
    bill_count: int
    bills: rows.Put | None  # the row of these bills, None without any


class Commits:
    """Reads and changes account rows for one holder, that is one process of a host."""

    def __init__(
        self,
        *,
        holder: str,
        store: rows.Store,
        now: abc.Callable[[], float],
        registered: abc.Callable[[], int],
        witnesses: abc.Callable[[], tuple[str, ...]] = tuple,
    ) -> None:
        self.restores = restored_accounts.Restores(store=store, now=now)
        self._holder = holder
        self._witnesses = witnesses  # of a commit that is sent now
        self._registered = registered  # store version of its registration, else 0
        self._store = store
        self._now = now
        self._holding_reader = account_rows.holding_reader()
        self._counts = commit_counts.Counts(now=now)
        self._overload = store_overload.OverloadDetector()
        self._was_store_slow = False
        self._store_unavailable = False

    @property
    def store_unavailable(self) -> bool:
        """Whether the last call that ended got no answer or was not served."""
        return self._store_unavailable

    async def restore(
        self, account: account_rows.Account, *, serve_waiters: served_calls.ServeWaiters
    ) -> rows.Unavailable | None:
        """Read an account's rows after a restore; return the error if that fails.

        The account's lock is held. The next commit states again what the rows lack.
        """
        era = self.restores.era
        found = await served_calls.await_call(
            restored_accounts.read(self._store, account, holder=self._holder),
            [account],
            serve_waiters,
        )
        self._store_unavailable = isinstance(found, rows.Unavailable)
        if isinstance(found, rows.Unavailable):
            return found
        restored_accounts.apply(account, found, era=era, now=self._now())
        return None

    def slow_commit_seconds(self) -> float:
        """Return the seconds that a commit takes while the store is slow, else 0."""
        return self._overload.slow_commit_seconds(self._now())

    async def read(
        self, account: account_rows.Account, *, serve_waiters: served_calls.ServeWaiters
    ) -> rows.Unavailable | None:
        """Read the account's row and all its holdings; return the error if it fails.

        While no answer comes, `serve_waiters` is awaited as in `commit`.
        """
        name = account.name
        failed = await self.refresh(account, serve_waiters=serve_waiters)
        if failed is not None:
            return failed
        account_row, row_version = account.row, account.row_version
        result = await served_calls.await_call(
            self._store.read(
                account_rows.HOLDINGS, account.part, f"{name}/", f"{name}0"
            ),
            [account],
            serve_waiters,
        )
        self._store_unavailable = isinstance(result, rows.Unavailable)
        if isinstance(result, rows.Unavailable):
            return result
        account.holdings = {}
        for row in result.rows:
            holding = self._holding_reader.read(row)
            if holding is not None:
                account.holdings[row.key.partition("/")[2]] = holding
        # The row was read first, so no holding counts both here and as closed there. A
        # restored store may hold again what the row counts as closed.
        is_same_era = rows.era_of(row_version) == rows.era_of(result.version)
        account.known_gone = (
            account_row.gone(account.holdings.values()) if is_same_era else 0
        )
        account.read_at = self._now()
        return None

    async def refresh(
        self, account: account_rows.Account, *, serve_waiters: served_calls.ServeWaiters
    ) -> rows.Unavailable | None:
        """Read only the account's row; `serve_waiters` is as in `commit`."""
        name = account.name
        result = await served_calls.await_call(
            self._store.read(account_rows.ACCOUNTS, account.part, name, name + "\0"),
            [account],
            serve_waiters,
        )
        self._store_unavailable = isinstance(result, rows.Unavailable)
        if isinstance(result, rows.Unavailable):
            return result
        self._apply_newer(account, result.rows)
        return None

    async def commit(
        self,
        changes: list[Change],
        *,
        kind: str,
        serve_waiters: served_calls.ServeWaiters,
    ) -> bool:
        """Commit changes of several accounts of one partition, whose locks are held.

        `kind` is the purpose of the commit, for the log and the metrics.

        Returns True if the commit applied or met a conflict, False if the store is
        unavailable or every change is left out (see `_add_entries`). While no answer
        comes, `serve_waiters` is awaited repeatedly, with the reason, for each account
        that has waiters.
        """
        included: list[_Sent] = []
        checks: list[rows.Check] = []
        puts: list[rows.Put] = []
        for change in changes:
            sent = self._add_entries(change, checks, puts)
            if sent is not None:
                included.append(sent)
        if not included:
            # Earlier commits are unresolved after a fault; a retry at once can't help.
            return False
        accounts = [change.account for change in changes]
        sent_at = self._now()
        outcome = await self._commit_until_definite(
            checks, puts, accounts, serve_waiters
        )
        outcome_name = type(outcome).__name__.lower()
        self._counts.record(kind, accounts[0].part, outcome_name, self._now() - sent_at)
        if isinstance(outcome, rows.Unavailable):
            for sent in included:
                sent.change.account.ledger.end_commit(applied=False)
            return False
        for sent in included:
            self._finish(sent, outcome)
        return True

    def _add_entries(
        self, change: Change, checks: list[rows.Check], puts: list[rows.Put]
    ) -> _Sent | None:
        """Add an account's checks and puts; return what they write.

        Returns None, and adds nothing, while an earlier commit of the account is
        unresolved or if the change would return more tokens than are idle.
        """
        account, draw = change.account, change.draw
        holding = account.ledger.begin_commit(
            draw=draw,
            awaited=change.awaited,
            headroom=change.headroom,
            rate=change.rate,
            witnesses=self._witnesses(),
            now=self._now(),
            store_now=self._store.now(),
        )
        if holding is None:
            return None
        holding = holding._replace(registered=self._registered(), era=self.restores.era)
        key = f"{account.name}/{self._holder}"
        checks.append(rows.Check(account_rows.HOLDINGS, key, account.holding_version))
        puts.append(
            rows.Put(
                account_rows.HOLDINGS, key, account_rows.encode_value(list(holding))
            )
        )
        restatement = account.restatement
        account_row: escrow.Account | None = None
        if draw or restatement is not None:
            account_row = escrow.draw(
                account.row,
                draw,
                missing=restatement.missing if restatement is not None else 0,
                known_drawn=restatement.known_drawn if restatement is not None else 0,
                store_now=self._store.now(),
            )
            checks.append(
                rows.Check(account_rows.ACCOUNTS, account.name, account.row_version)
            )
            puts.append(
                rows.Put(
                    account_rows.ACCOUNTS,
                    account.name,
                    account_rows.encode_value(list(account_row)),
                )
            )
        if restatement is not None:
            puts.extend(restatement.bills)
        bills = account.bills[:MAX_BILLS_PER_ROW]
        bills_put: rows.Put | None = None
        if bills:
            bills_put = rows.Put(
                account_rows.BILLS,
                f"{key}/{account.bill_rows}",
                account_rows.encode_value([list(bill) for bill in bills]),
            )
            puts.append(bills_put)
        return _Sent(change, account_row, len(bills), bills_put)

    async def _commit_until_definite(
        self,
        checks: list[rows.Check],
        puts: list[rows.Put],
        accounts: list[account_rows.Account],
        serve_waiters: served_calls.ServeWaiters,
    ) -> rows.Committed | rows.Conflict | rows.Unavailable:
        """Retry a commit until its outcome is certain.

        A commit without an answer is sent again unchanged: its version checks let at
        most one copy apply, and only a definite answer shows that none is in transit.
        """
        uncertain = False
        pause = RETRY_PAUSE
        while True:
            sent = self._now()
            outcome = await served_calls.await_call(
                self._store.commit(accounts[0].part, checks, puts),
                accounts,
                serve_waiters,
            )
            self._store_unavailable = not isinstance(
                outcome, rows.Committed | rows.Conflict
            )
            if isinstance(outcome, rows.Committed | rows.Conflict):
                self._overload.record_commit(self._now() - sent, self._now())
                self._log_slowness(accounts[0].part)
                return outcome
            if isinstance(outcome, rows.Unavailable) and outcome.overloaded:
                self._overload.record_refusal(self._now())
                self._log_slowness(accounts[0].part)
            uncertain = uncertain or isinstance(outcome, rows.Unknown)
            log.warning(
                "commit_failed",
                rows=",".join(check.key for check in checks),
                reason=outcome.reason,
                peer=outcome.peer,
                uncertain=uncertain,
            )
            if not uncertain:
                await served_calls.serve_all(accounts, outcome.reason, serve_waiters)
                return outcome
            retry_at = self._now() + pause
            while self._now() < retry_at:
                served_calls.start_serving(accounts, outcome.reason, serve_waiters)
                await asyncio.sleep(served_calls.WAITERS_PAUSE)
            pause = min(MAX_RETRY_PAUSE, 2 * pause)

    def _log_slowness(self, part: str) -> None:
        seconds = self.slow_commit_seconds()
        if self._was_store_slow == (seconds > 0):
            return
        self._was_store_slow = seconds > 0
        event = "store_slow" if self._was_store_slow else "store_quick"
        log.info(event, part=part, commit_seconds=f"{seconds:.3f}")

    def _finish(self, sent: _Sent, outcome: rows.Committed | rows.Conflict) -> None:
        account, draw = sent.change.account, sent.change.draw
        ledger = account.ledger
        if isinstance(outcome, rows.Committed):
            applied = True
            account.holding_version = outcome.version
            if sent.row is not None:
                account.row = sent.row
                account.row_version = outcome.version
            account.restatement = None
            ledger.end_commit(applied=True)
        else:
            applied = self._end_conflicting(account, outcome.rows)
        if not applied:
            account.conflicts += 1
            pause = checkpoints.conflict_pause(account.conflicts)
            account.conflict_at = self._now()
            account.draw_after = self._now() + pause
            return
        if draw:
            account.conflicts = 0
        if sent.bills is not None:
            written = account_rows.WrittenBills(sent.bills, self._now())
            account.recent_bills.append(written)
            del account.bills[: sent.bill_count]
            account.bill_rows += 1
            account.unwritten_since = self._now()
        if draw:
            log.info(
                "tokens_drawn",
                account=account.name,
                tokens=draw,
                drawn=account.row.drawn,
                used=ledger.used,
                granted=ledger.granted,
                version=account.row_version,
            )

    def _end_conflicting(
        self, account: account_rows.Account, read_rows: list[rows.Row]
    ) -> bool:
        """End a commit that met a conflict; return whether an earlier copy applied.

        One did if the holding's row is this commit's. Other hosts may have returned
        tokens of the row meanwhile, if they took this one for lost.
        """
        ledger, before = account.ledger, account.holding_version
        if self.restores.is_before(account):
            # What was applied before isn't in the store; `restore` finds what is.
            ledger.end_commit(applied=False)
            return False
        self._apply_newer(account, read_rows)
        if account.holding_version == before:
            ledger.end_commit(applied=False)
            return False
        key = (account_rows.HOLDINGS, f"{account.name}/{self._holder}")
        stored = next(
            self._holding_reader.read(row)
            for row in read_rows
            if (row.table, row.key) == key
        )
        if stored is None:
            # Only this host can have written the row, though it can't be read.
            ledger.end_commit(applied=True)
            return True
        applied = stored.commit == ledger.pending.commit
        ledger.end_commit(applied=applied)
        if stored.granted < ledger.confirmed.granted:
            log.warning(
                "holding_reduced",
                account=account.name,
                granted=stored.granted,
                before=ledger.confirmed.granted,
                used=ledger.used,
            )
            ledger.reduce(stored.granted)
        return applied

    def _apply_newer(
        self, account: account_rows.Account, read_rows: list[rows.Row]
    ) -> None:
        """Apply newer versions of the account's rows."""
        own = f"{account.name}/{self._holder}"
        for row in read_rows:
            if row.table == account_rows.ACCOUNTS and row.key == account.name:
                if row.version > account.row_version:
                    account.row = account_rows.decode_account(row.value)
                    account.row_version = row.version
            elif row.table == account_rows.HOLDINGS and row.key == own:
                account.holding_version = max(account.holding_version, row.version)
