"""Client accounts' rows in the store, and the commits that change them.

The store divides each table into partitions, which the code calls parts. All rows of an
account are in one partition, so that one commit can change them together.
"""

import asyncio
import json
import math
import typing
from collections import abc

from dogwoodchute import bounded_json, log
from dogwoodchute.coordination import (
    checkpoints,
    escrow,
    hashing,
    sizing,
    store_overload,
)
from dogwoodchute.gateway import commit_counts, row_reader, rows

ACCOUNTS = "accounts"
HOLDINGS = "holdings"  # one row for each account and holder
BILLS = "bills"  # several requests of one account in each row
PART_PREFIX = "tokens"  # followed by a number in the partitions' names
DEMAND_WINDOW = 8.0  # seconds over which the use of tokens is averaged
MEAN_WEIGHT = 0.1  # of the newest request in the mean size
MAX_BILLS_PER_ROW = 300  # of about 40 bytes each
MAX_ACCOUNTS = 20  # in one commit, with up to five checks and puts each
RETRY_PAUSE = 0.15  # seconds after the first attempt without an answer
MAX_RETRY_PAUSE = 0.5  # seconds; the pause doubles up to this
WAITERS_PAUSE = 0.05  # seconds between attempts to serve waiters; most calls take less


class Bill(typing.NamedTuple):
    """What one request used, in tokens."""

    request: str
    input_tokens: int
    output_tokens: int


class Waiter(typing.NamedTuple):
    """A request that waits for tokens; `done` gets its `ReserveOutcome`."""

    tokens: int
    done: asyncio.Future


class Account:
    """One client account, as this host uses it."""

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.part = part_of(name)
        self.ledger = escrow.Ledger()
        self.demand = sizing.Demand(window=DEMAND_WINDOW, bias_corrected=True)
        self.mean_request = 0.0  # tokens; an exponentially weighted mean
        self.row = escrow.Account()  # the account's row, common to all hosts
        self.row_version = 0
        self.holding_version = 0  # of the row of this host's holding
        self.holdings: dict[str, escrow.Holding] = {}  # by holder, as last read
        self.read_at: float | None = None  # monotonic seconds of the last full read
        self.waiters: list[Waiter] = []
        self.bills: list[Bill] = []  # not yet written
        # Monotonic seconds of the oldest unwritten bill or the last commit of bills.
        self.unwritten_since = -math.inf
        self.home_gave_none_at = -math.inf  # monotonic seconds: the home gave nothing
        self.home_answered = True  # False if it gave nothing because it did not answer
        self.give_back_after = -math.inf  # monotonic seconds
        self.give_back_task: asyncio.Task | None = None  # gives tokens to the home
        self.none_given_at = -math.inf  # monotonic seconds: no host gave any
        self.conflicts = 0  # since the last draw that applied
        self.conflict_at = -math.inf  # monotonic seconds of the last conflict
        self.draw_after = -math.inf  # monotonic seconds; backoff after conflicts
        self.requested_by_hosts = 0  # tokens that other hosts are requesting now
        self.bill_rows = 0  # written; numbers the next one
        self.task: asyncio.Task | None = None  # commits until nothing is due
        self.lock = asyncio.Lock()  # held during the account's one commit

    def record_request(self, now: float, tokens: int) -> None:
        """Record that a caller's request on this host may use `tokens`."""
        self.demand.record_use(now, tokens)
        previous = self.mean_request or tokens
        self.mean_request = previous + MEAN_WEIGHT * (tokens - previous)

    def open_waiters(self) -> list[Waiter]:
        """Return the waiters that have no outcome yet."""
        return [waiter for waiter in self.waiters if not waiter.done.done()]


class Change(typing.NamedTuple):
    """What a commit does to one account."""

    account: Account
    draw: int = 0  # tokens; negative returns some
    awaited: int = 0  # tokens that requests wait for
    headroom: int = 0  # tokens that later requests may use before the next commit
    rate: float = 0.0  # tokens a second that may be needed without a next commit


_Outcome = typing.TypeVar("_Outcome")

# Serves an account's waiters while the store does not answer; takes the reason.
ServeWaiters = abc.Callable[[Account, str], abc.Awaitable[None]]


class Commits:
    """Reads and changes account rows for one holder, that is one process of a host."""

    def __init__(
        self,
        *,
        holder: str,
        store: rows.Store,
        now: abc.Callable[[], float],
        registered: abc.Callable[[], int],
    ) -> None:
        self._holder = holder
        self._registered = registered  # store version of its registration, else 0
        self._store = store
        self._now = now
        self._holding_reader = holding_reader()
        self._counts = commit_counts.Counts(now=now)
        self._overload = store_overload.OverloadDetector()
        self._was_store_slow = False
        self._store_unavailable = False

    @property
    def store_unavailable(self) -> bool:
        """Whether the last call that ended got no answer or was not served."""
        return self._store_unavailable

    def slow_commit_seconds(self) -> float:
        """Return the seconds that a commit takes while the store is slow, else 0."""
        return self._overload.slow_commit_seconds(self._now())

    async def read(
        self, account: Account, *, serve_waiters: ServeWaiters
    ) -> rows.Unavailable | None:
        """Read the account's row and all its holdings; return the error if it fails.

        While no answer comes, `serve_waiters` is awaited as in `commit`.
        """
        name = account.name
        failed = await self.refresh(account, serve_waiters=serve_waiters)
        if failed is not None:
            return failed
        result = await _await_call(
            self._store.read(HOLDINGS, account.part, f"{name}/", f"{name}0"),
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
        account.read_at = self._now()
        return None

    async def refresh(
        self, account: Account, *, serve_waiters: ServeWaiters
    ) -> rows.Unavailable | None:
        """Read only the account's row; `serve_waiters` is as in `commit`."""
        name = account.name
        result = await _await_call(
            self._store.read(ACCOUNTS, account.part, name, name + "\0"),
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
        serve_waiters: ServeWaiters,
    ) -> bool:
        """Commit changes of several accounts of one partition, whose locks are held.

        `kind` is the purpose of the commit, for the log and the metrics.

        Returns True if the commit applied or met a conflict, False if the store is
        unavailable or every change is left out (see `_add_entries`). While no answer
        comes, `serve_waiters` is awaited repeatedly, with the reason, for each account
        that has waiters.
        """
        included: list[tuple[Change, int]] = []
        checks: list[rows.Check] = []
        puts: list[rows.Put] = []
        for change in changes:
            bills = self._add_entries(change, checks, puts)
            if bills is not None:
                included.append((change, bills))
        if not included:
            # Earlier commits are unresolved after a fault; a retry at once can't help.
            return False
        accounts = [change.account for change in changes]
        sent = self._now()
        outcome = await self._commit_until_definite(
            checks, puts, accounts, serve_waiters
        )
        outcome_name = type(outcome).__name__.lower()
        self._counts.record(kind, accounts[0].part, outcome_name, self._now() - sent)
        if isinstance(outcome, rows.Unavailable):
            for change, _ in included:
                change.account.ledger.end_commit(applied=False)
            return False
        for change, bills in included:
            self._finish(change, bills, outcome)
        return True

    def _add_entries(
        self, change: Change, checks: list[rows.Check], puts: list[rows.Put]
    ) -> int | None:
        """Add an account's checks and puts; return how many bills they write.

        Returns None, and adds nothing, while an earlier commit of the account is
        unresolved or if the change would return more tokens than are idle.
        """
        account, draw = change.account, change.draw
        holding = account.ledger.begin_commit(
            draw=draw,
            awaited=change.awaited,
            headroom=change.headroom,
            rate=change.rate,
            now=self._now(),
            store_now=self._store.now(),
        )
        if holding is None:
            return None
        holding = holding._replace(registered=self._registered())
        key = f"{account.name}/{self._holder}"
        checks.append(rows.Check(HOLDINGS, key, account.holding_version))
        puts.append(rows.Put(HOLDINGS, key, encode_value(list(holding))))
        if draw:
            row = account.row._replace(drawn=account.row.drawn + draw)
            checks.append(rows.Check(ACCOUNTS, account.name, account.row_version))
            puts.append(rows.Put(ACCOUNTS, account.name, encode_value(list(row))))
        bills = account.bills[:MAX_BILLS_PER_ROW]
        if bills:
            name = f"{key}/{account.bill_rows}"
            puts.append(
                rows.Put(BILLS, name, encode_value([list(bill) for bill in bills]))
            )
        return len(bills)

    async def _commit_until_definite(
        self,
        checks: list[rows.Check],
        puts: list[rows.Put],
        accounts: list[Account],
        serve_waiters: ServeWaiters,
    ) -> rows.Committed | rows.Conflict | rows.Unavailable:
        """Retry a commit until its outcome is certain.

        A commit without an answer is sent again unchanged: its version checks let at
        most one copy apply, and only a definite answer shows that none is in transit.
        """
        uncertain = False
        pause = RETRY_PAUSE
        while True:
            sent = self._now()
            outcome = await _await_call(
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
            await _serve_waiters(accounts, outcome.reason, serve_waiters)
            if not uncertain:
                return outcome
            retry_at = self._now() + pause
            while self._now() < retry_at:
                await asyncio.sleep(WAITERS_PAUSE)
                await _serve_waiters(accounts, outcome.reason, serve_waiters)
            pause = min(MAX_RETRY_PAUSE, 2 * pause)

    def _log_slowness(self, part: str) -> None:
        seconds = self.slow_commit_seconds()
        if self._was_store_slow == (seconds > 0):
            return
        self._was_store_slow = seconds > 0
        event = "store_slow" if self._was_store_slow else "store_quick"
        log.info(event, part=part, commit_seconds=f"{seconds:.3f}")

    def _finish(
        self, change: Change, bills: int, outcome: rows.Committed | rows.Conflict
    ) -> None:
        account, draw = change.account, change.draw
        ledger = account.ledger
        if isinstance(outcome, rows.Committed):
            applied = True
            account.holding_version = outcome.version
            if draw:
                drawn = account.row.drawn + draw
                account.row = account.row._replace(drawn=drawn)
                account.row_version = outcome.version
        else:
            previous = account.holding_version
            self._apply_newer(account, outcome.rows)
            # An earlier copy of this commit applied if it changed the holding's row.
            applied = account.holding_version != previous
        ledger.end_commit(applied=applied)
        if not applied:
            account.conflicts += 1
            pause = checkpoints.conflict_pause(account.conflicts)
            account.conflict_at = self._now()
            account.draw_after = self._now() + pause
            return
        if draw:
            account.conflicts = 0
        if bills:
            del account.bills[:bills]
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

    def _apply_newer(self, account: Account, read_rows: list[rows.Row]) -> None:
        """Apply newer versions of the account's rows."""
        own = f"{account.name}/{self._holder}"
        for row in read_rows:
            if row.table == ACCOUNTS and row.key == account.name:
                if row.version > account.row_version:
                    account.row = decode_account(row.value)
                    account.row_version = row.version
            elif row.table == HOLDINGS and row.key == own:
                account.holding_version = max(account.holding_version, row.version)


async def _await_call(
    call: abc.Coroutine[typing.Any, typing.Any, _Outcome],
    accounts: list[Account],
    serve_waiters: ServeWaiters,
) -> _Outcome:
    """Await a call to the store; serve waiters while it has no answer."""
    running = asyncio.create_task(call)
    try:
        while True:
            done, _ = await asyncio.wait([running], timeout=WAITERS_PAUSE)
            if done:
                return running.result()
            await _serve_waiters(
                accounts, "the store has not answered yet", serve_waiters
            )
    finally:
        running.cancel()


async def _serve_waiters(
    accounts: list[Account], reason: str, serve_waiters: ServeWaiters
) -> None:
    for account in accounts:
        if account.open_waiters():
            await serve_waiters(account, reason)


def parts() -> list[str]:
    """Return the names of all partitions with account rows."""
    return [f"{PART_PREFIX}-{number}" for number in range(checkpoints.PARTS)]


def part_of(name: str) -> str:
    """Return the partition of all rows of an account."""
    number = hashing.digest(name) % checkpoints.PARTS
    return f"{PART_PREFIX}-{number}"


def encode_value(plain: object) -> bytes:
    """Return a row's value: compact JSON."""
    return json.dumps(plain, separators=(",", ":")).encode()


def decode_account(value: bytes) -> escrow.Account:
    """Return the account in a row's value; raise `ValueError` if it is none."""
    # Older hosts write no lost tokens.
    drawn, closed_spent, *lost = bounded_json.loads(value)
    return escrow.Account(int(drawn), int(closed_spent), *map(int, lost))


def decode_holding(value: bytes) -> escrow.Holding:
    """Return the holding in a row's value; raise `ValueError` if it is none.

    Fields that rows of older hosts lack, always the last ones, get their defaults.
    """
    types = escrow.Holding.__annotations__.values()
    fields = zip(types, bounded_json.loads(value), strict=False)
    return escrow.Holding(*(convert(field) for convert, field in fields))


def holding_reader() -> row_reader.RowReader[escrow.Holding]:
    """Return a reader of holdings' rows that leaves out those it can't decode."""
    return row_reader.RowReader(
        table=HOLDINGS, decode=lambda key, value: decode_holding(value)
    )
