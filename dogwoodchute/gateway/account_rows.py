"""Client accounts' rows in the store, and the commits that change them."""

import asyncio
import json
import math
import typing
from collections import abc

import xxhash

from dogwoodchute import log
from dogwoodchute.coordination import checkpoints, escrow, sizing, strain
from dogwoodchute.gateway import commit_counts, rows

ACCOUNTS = "accounts"
HOLDINGS = "holdings"  # one row for each account and holder
BILLS = "bills"  # some requests of one account in each row
PART = "tokens"  # the first word of the parts' names
DEMAND_WINDOW = 8.0  # seconds over which the use is averaged
MEAN_WEIGHT = 0.1  # of the newest request
MAX_BILLS = 300  # in one row, of some 40 bytes each
MAX_ACCOUNTS = 20  # in one commit, with up to five entries each
RETRY_PAUSE = 0.15  # seconds after a first commit without an answer
MAX_RETRY_PAUSE = 0.5  # seconds; the pause doubles up to it
WAITERS_PAUSE = 0.05  # seconds; the store mostly answers in less


class Bill(typing.NamedTuple):
    """What one request used, in tokens."""

    request: str
    input_tokens: int
    output_tokens: int


class Waiter(typing.NamedTuple):
    """A request that waits for tokens."""

    tokens: int
    done: asyncio.Future


class Account:
    """One client account on this host."""

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.part = part_of(name)
        self.ledger = escrow.Ledger()
        self.demand = sizing.Demand(window=DEMAND_WINDOW, quick=True)
        self.mean_request = 0.0  # tokens, the newest requests weighing most
        self.shared = escrow.Account()  # the account's row
        self.shared_version = 0
        self.own_version = 0  # of this host's holding
        self.holdings: dict[str, escrow.Holding] = {}  # by holder, as last read
        self.read_at: float | None = None  # monotonic seconds of the last whole read
        self.waiters: list[Waiter] = []
        self.bills: list[Bill] = []
        self.billed_at = -math.inf  # monotonic seconds of the oldest of them
        self.home_failed_at = -math.inf  # monotonic seconds: its home gave nothing
        self.home_answers = True  # it did when it last gave nothing
        self.asked_in_vain_at = -math.inf  # monotonic seconds: no other host gave any
        self.conflicts = 0  # of draws, in a row
        self.conflict_at = -math.inf  # monotonic seconds of the last one
        self.draw_after = -math.inf  # monotonic seconds, after conflicts
        self.asked = 0  # tokens that other hosts ask for now
        self.bill_rows = 0
        self.task: asyncio.Task | None = None
        self.lock = asyncio.Lock()  # held by the one commit that is under way

    def note_request(self, now: float, tokens: int) -> None:
        """Take in what a request of a caller of this host may use."""
        self.demand.note(now, tokens)
        before = self.mean_request or tokens
        self.mean_request = before + MEAN_WEIGHT * (tokens - before)

    def waiting(self) -> list[Waiter]:
        """Return the requests that still wait."""
        return [waiter for waiter in self.waiters if not waiter.done.done()]


class Change(typing.NamedTuple):
    """What a commit does to one account."""

    account: Account
    draw: int = 0  # tokens, negative for a return
    waiting: int = 0  # tokens that requests wait for
    ahead: int = 0  # tokens that others may use before the next commit
    pace: float = 0.0  # tokens a second that may be needed if none follows


_Outcome = typing.TypeVar("_Outcome")

# Serves the requests that wait for an account's tokens while the store is away.
Waiting = abc.Callable[[Account, str], abc.Awaitable[None]]


class Commits:
    """Reads and changes the rows, for one holder."""

    def __init__(
        self,
        *,
        holder: str,
        store: rows.Store,
        now: abc.Callable[[], float],
        registered: abc.Callable[[], int],
    ) -> None:
        self._holder = holder
        self._registered = registered  # version of its registration, 0 before it
        self._store = store
        self._now = now
        self._counts = commit_counts.Counts(now=now)
        self._strain = strain.Strain()
        self._was_slow = False
        self._away = False

    @property
    def away(self) -> bool:
        """Whether the store did not serve the last call that ended."""
        return self._away

    def slowness(self) -> float:
        """Return the seconds that a commit takes, 0 unless the store is slow."""
        return self._strain.seconds(self._now())

    async def read(
        self, account: Account, *, waiting: Waiting
    ) -> rows.Unavailable | None:
        """Read the account's row and all holdings of it.

        While no answer comes, `waiting` is awaited as in `commit`.
        """
        name = account.name
        failed = await self.refresh(account, waiting=waiting)
        if failed is not None:
            return failed
        held = await _serving(
            self._store.read(HOLDINGS, account.part, f"{name}/", f"{name}0"),
            [account],
            waiting,
        )
        self._away = isinstance(held, rows.Unavailable)
        if isinstance(held, rows.Unavailable):
            return held
        account.holdings = {
            row.key.partition("/")[2]: holding_of(row.value) for row in held.rows
        }
        account.read_at = self._now()
        return None

    async def refresh(
        self, account: Account, *, waiting: Waiting
    ) -> rows.Unavailable | None:
        """Read the account's row alone; `waiting` as in `commit`."""
        name = account.name
        shared = await _serving(
            self._store.read(ACCOUNTS, account.part, name, name + "\0"),
            [account],
            waiting,
        )
        self._away = isinstance(shared, rows.Unavailable)
        if isinstance(shared, rows.Unavailable):
            return shared
        self._take_in(account, shared.rows)
        return None

    async def commit(
        self,
        changes: list[Change],
        *,
        kind: str,
        waiting: Waiting,
    ) -> bool:
        """Make one commit of some accounts of one part, whose locks are held.

        `kind` tells the log what it is for.

        Return whether it ended, applied or not; False if the store is away. While no
        answer comes, `waiting` is awaited again and again for accounts with requests
        that wait, with the reason.
        """
        begun: list[tuple[Change, int]] = []
        checks: list[rows.Check] = []
        puts: list[rows.Put] = []
        for change in changes:
            bills = self._begin(change, checks, puts)
            if bills is not None:
                begun.append((change, bills))
        if not begun:
            # An earlier commit is unresolved after a fault; trying at once can't help.
            return False
        accounts = [change.account for change in changes]
        sent = self._now()
        outcome = await self._definite(checks, puts, accounts, waiting)
        ended = type(outcome).__name__.lower()
        self._counts.note(kind, accounts[0].part, ended, self._now() - sent)
        if isinstance(outcome, rows.Unavailable):
            for change, _ in begun:
                change.account.ledger.end(applied=False)
            return False
        for change, bills in begun:
            self._end(change, bills, outcome)
        return True

    def _begin(
        self, change: Change, checks: list[rows.Check], puts: list[rows.Put]
    ) -> int | None:
        """Add an account's entries; return its bills in them, None if there are none.

        An account is left out while an earlier commit of it is unresolved.
        """
        account, draw = change.account, change.draw
        holding = account.ledger.propose(
            draw=draw,
            waiting=change.waiting,
            ahead=change.ahead,
            pace=change.pace,
            now=self._now(),
            store_now=self._store.now(),
        )
        if holding is None:
            return None
        holding = holding._replace(registered=self._registered())
        key = f"{account.name}/{self._holder}"
        checks.append(rows.Check(HOLDINGS, key, account.own_version))
        puts.append(rows.Put(HOLDINGS, key, encode(list(holding))))
        if draw:
            shared = account.shared._replace(drawn=account.shared.drawn + draw)
            checks.append(rows.Check(ACCOUNTS, account.name, account.shared_version))
            puts.append(rows.Put(ACCOUNTS, account.name, encode(list(shared))))
        bills = account.bills[:MAX_BILLS]
        if bills:
            name = f"{key}/{account.bill_rows}"
            puts.append(rows.Put(BILLS, name, encode([list(bill) for bill in bills])))
        return len(bills)

    async def _definite(
        self,
        checks: list[rows.Check],
        puts: list[rows.Put],
        accounts: list[Account],
        waiting: Waiting,
    ) -> rows.Committed | rows.Conflict | rows.Unavailable:
        """Commit until it is certain what became of it.

        After a commit without an answer the same one is sent again: at most one of the
        copies can apply, and only a definite answer shows that none is on its way.
        """
        uncertain = False
        pause = RETRY_PAUSE
        while True:
            sent = self._now()
            outcome = await _serving(
                self._store.commit(accounts[0].part, checks, puts), accounts, waiting
            )
            self._away = not isinstance(outcome, rows.Committed | rows.Conflict)
            if isinstance(outcome, rows.Committed | rows.Conflict):
                self._strain.note_answered(self._now() - sent, self._now())
                self._log_slowness(accounts[0].part)
                return outcome
            if isinstance(outcome, rows.Unavailable) and outcome.overloaded:
                self._strain.note_refused(self._now())
                self._log_slowness(accounts[0].part)
            uncertain = uncertain or isinstance(outcome, rows.Unknown)
            log.warning(
                "commit_failed",
                rows=",".join(check.key for check in checks),
                reason=outcome.reason,
                peer=outcome.peer,
                uncertain=uncertain,
            )
            await _serve(accounts, outcome.reason, waiting)
            if not uncertain:
                return outcome
            again = self._now() + pause
            while self._now() < again:
                await asyncio.sleep(WAITERS_PAUSE)
                await _serve(accounts, outcome.reason, waiting)
            pause = min(MAX_RETRY_PAUSE, 2 * pause)

    def _log_slowness(self, part: str) -> None:
        seconds = self.slowness()
        if self._was_slow == (seconds > 0):
            return
        self._was_slow = seconds > 0
        event = "store_slow" if self._was_slow else "store_quick"
        log.info(event, part=part, commit_seconds=f"{seconds:.3f}")

    def _end(
        self, change: Change, bills: int, outcome: rows.Committed | rows.Conflict
    ) -> None:
        account, draw = change.account, change.draw
        ledger = account.ledger
        if isinstance(outcome, rows.Committed):
            applied = True
            account.own_version = outcome.version
            if draw:
                drawn = account.shared.drawn + draw
                account.shared = account.shared._replace(drawn=drawn)
                account.shared_version = outcome.version
        else:
            before = account.own_version
            self._take_in(account, outcome.rows)
            # An earlier copy of this commit shows by the row that it wrote.
            applied = account.own_version != before
        ledger.end(applied=applied)
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
            account.billed_at = self._now()
        if draw:
            log.info(
                "tokens_drawn",
                account=account.name,
                tokens=draw,
                drawn=account.shared.drawn,
                used=ledger.used,
                granted=ledger.granted,
                version=account.shared_version,
            )

    def _take_in(self, account: Account, found: list[rows.Row]) -> None:
        """Take in newer versions of the account's rows."""
        own = f"{account.name}/{self._holder}"
        for row in found:
            if row.table == ACCOUNTS and row.key == account.name:
                if row.version > account.shared_version:
                    account.shared = shared_of(row.value)
                    account.shared_version = row.version
            elif row.table == HOLDINGS and row.key == own:
                account.own_version = max(account.own_version, row.version)


async def _serving(
    call: abc.Coroutine[typing.Any, typing.Any, _Outcome],
    accounts: list[Account],
    waiting: Waiting,
) -> _Outcome:
    """Await a call of the store; serve requests that wait while it has no answer."""
    running = asyncio.create_task(call)
    try:
        while True:
            done, _ = await asyncio.wait([running], timeout=WAITERS_PAUSE)
            if done:
                return running.result()
            await _serve(accounts, "the store has not answered yet", waiting)
    finally:
        running.cancel()


async def _serve(accounts: list[Account], reason: str, waiting: Waiting) -> None:
    for account in accounts:
        if account.waiting():
            await waiting(account, reason)


def parts() -> list[str]:
    """Return the names of all parts that hold account rows."""
    return [f"{PART}-{number}" for number in range(checkpoints.PARTS)]


def part_of(name: str) -> str:
    """Return the part that holds all rows of an account."""
    number = xxhash.xxh3_64_intdigest(name.encode()) % checkpoints.PARTS
    return f"{PART}-{number}"


def encode(plain: object) -> bytes:
    """Return the value of a row."""
    return json.dumps(plain, separators=(",", ":")).encode()


def shared_of(value: bytes) -> escrow.Account:
    """Return the account in a row's value; raise `ValueError` if it is none."""
    drawn, closed_spent, *lost = json.loads(value)  # rows of older hosts lack the rest
    return escrow.Account(int(drawn), int(closed_spent), *map(int, lost))


def holding_of(value: bytes) -> escrow.Holding:
    """Return the holding in a row's value; raise `ValueError` if it is none.

    Rows of older hosts lack some of the last fields.
    """
    types = escrow.Holding.__annotations__.values()
    found = zip(types, json.loads(value), strict=False)
    return escrow.Holding(*(to_type(each) for to_type, each in found))
