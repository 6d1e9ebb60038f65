"""Client accounts as a host uses them, and the format of their rows in the store.

The store divides each table into partitions, which the code calls parts. All rows of an
account are in one partition, so that one commit can change them together.
"""

import asyncio
import bisect
import collections
import json
import math
import typing
from collections import abc

from dogwoodchute import bounded_json
from dogwoodchute.coordination import (
    checkpoints,
    escrow,
    hashing,
    service_order,
    sizing,
    texts,
)
from dogwoodchute.gateway import rows
from dogwoodchute.gateway.following import row_reader

ACCOUNTS = "accounts"
HOLDINGS = "holdings"  # one row for each account and holder
BILLS = "bills"  # several requests of one account in each row
PART_PREFIX = "tokens"  # followed by a number in the partitions' names
MAX_RECENT_BILLS = 60  # rows of one account that are kept to be written again
DEMAND_WINDOW = 8.0  # seconds over which the use of tokens is averaged
MAX_RETURN_TIME = 60.0  # seconds from a lost host's last commit to its tokens' return
MEAN_WEIGHT = 0.1  # of the newest request in the mean size


class Bill(typing.NamedTuple):
    """What one request used, in tokens."""

    request: str
    input_tokens: int
    output_tokens: int


class WrittenBills(typing.NamedTuple):
    """A row of bills and the monotonic seconds at which it was written."""

    put: rows.Put
    written_at: float


class Restatement(typing.NamedTuple):
    """What a host writes again of an account after the store was restored."""

    missing: int  # tokens of its holding that the account's row lacks
    known_drawn: int  # tokens drawn as it saw the row last, 0 if it did before the copy
    bills: tuple[rows.Put, ...]


class Waiter(typing.NamedTuple):
    """A request that waits for tokens; `done` gets its `ReserveOutcome`."""

    tokens: int
    done: asyncio.Future
    rank: service_order.Rank


class Account:
    """One client account, as this host uses it."""

    def __init__(
        self,
        *,
        name: str,
        era: int = 0,
        may_rise: abc.Callable[[escrow.Holding], bool] = lambda holding: True,
    ) -> None:
        self.name = name
        self.era = era  # of the store, from which its rows are known
        self.restatement: Restatement | None = None  # not yet written
        self.no_draw_until = -math.inf  # monotonic seconds; after a restore
        # The latest rows of bills, oldest first.
        self.recent_bills: collections.deque[WrittenBills] = collections.deque(
            maxlen=MAX_RECENT_BILLS
        )
        self.part = part_of(name)
        self.ledger = escrow.Ledger(may_rise=may_rise)
        self.demand = sizing.Demand(window=DEMAND_WINDOW, bias_corrected=True)
        self.mean_request = 0.0  # tokens; an exponentially weighted mean
        self.row = escrow.Account()  # the account's row, common to all hosts
        self.row_version = 0
        self.holding_version = 0  # of the row of this host's holding
        self.holdings: dict[str, escrow.Holding] = {}  # by holder, as last read
        self.read_at: float | None = None  # monotonic seconds of the last full read
        # Tokens that no request will use, by the last full read: billed or lost ones.
        self.known_gone = 0
        self.waiters: list[Waiter] = []  # in the order in which they are served
        self.arrivals = 0  # requests that have had to wait; numbers the next one
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
        # Serves waiters with other hosts' tokens while the store does not answer.
        self.serving: asyncio.Task | None = None
        self.lock = asyncio.Lock()  # held during the account's one commit

    def record_request(self, now: float, tokens: int) -> None:
        """Record that a caller's request on this host may use `tokens`."""
        self.demand.record_use(now, tokens)
        previous = self.mean_request or tokens
        self.mean_request = previous + MEAN_WEIGHT * (tokens - previous)

    def open_waiters(self) -> list[Waiter]:
        """Return the waiters that have no outcome yet."""
        return [waiter for waiter in self.waiters if not waiter.done.done()]

    def returnable_tokens(self, live_ids: frozenset[str] | None, oldest: float) -> int:
        """Return how many tokens hosts that seem lost may not have used.

        These return once it is certain (`reclaim`, `lost_holdings`), which takes no
        longer than `MAX_RETURN_TIME` as a rule. `live_ids` are the live incarnations,
        None if all are; holdings written before `oldest` (store's clock) don't count.
        """
        if live_ids is None:
            return 0
        return sum(
            max(0, holding.granted - holding.limit)
            for holder, holding in self.holdings.items()
            if holding.at >= oldest and holder not in live_ids
        )

    def add_waiter(self, tokens: int, *, priority: int, now: float) -> Waiter:
        """Add a request that waits for tokens, at its place in the order of service."""
        self.arrivals += 1
        rank = service_order.rank(
            priority=priority, arrived_at=now, work=tokens, number=self.arrivals
        )
        done = asyncio.get_running_loop().create_future()
        waiter = Waiter(tokens, done, rank)
        bisect.insort(self.waiters, waiter, key=lambda each: each.rank)
        return waiter


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
    *types, _, _ = escrow.Holding.__annotations__.values()
    plain = bounded_json.loads(value)
    numbers = zip(types, plain, strict=False)
    holding = escrow.Holding(*(convert(field) for convert, field in numbers))
    if len(plain) <= len(types):
        return holding
    names = plain[len(types)]
    if not isinstance(names, list) or not all(map(texts.is_name, names)):
        raise ValueError("the witnesses are no names")
    era = plain[len(types) + 1] if len(plain) > len(types) + 1 else 0
    if type(era) is not int or era < 0:
        raise ValueError("the era is no number")
    return holding._replace(witnesses=tuple(names), era=era)


def is_certain(row: rows.Row, holding: escrow.Holding) -> bool:
    """Return whether a holding's row was written since the store was last restored.

    Else later commits of the holder may be gone.
    """
    return holding.era >= rows.era_of(row.version)


def holding_reader() -> row_reader.RowReader[escrow.Holding]:
    """Return a reader of holdings' rows that leaves out those it can't decode."""
    return row_reader.RowReader(
        table=HOLDINGS, decode=lambda key, value: decode_holding(value)
    )
