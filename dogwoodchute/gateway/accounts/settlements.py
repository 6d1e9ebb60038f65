"""Settles other hosts' holdings: returns their unused tokens to the accounts."""

import asyncio
import itertools
import random
import typing
from collections import abc

import prometheus_client

from dogwoodchute import log
from dogwoodchute.coordination import checkpoints, escrow
from dogwoodchute.gateway import rows
from dogwoodchute.gateway.accounts import account_rows

MAX_HOLDINGS = 40  # in one commit, with a check and a put each
MAX_TRIES = 12  # of one commit, which may conflict with draws
RETRY_PAUSE = 0.2  # seconds on average, after a failed call
SPENT = "spent"  # as written bills say
RETURNED = "returned"  # to the account's row

closed_tokens = prometheus_client.Counter(
    "dogwoodchute_closed_tokens",
    "Tokens drawn by lifetimes that ended, by what became of them.",
    ["end"],
)


class Settlement(typing.NamedTuple):
    """What becomes of a holding, in tokens.

    `row` is the holding's as it was read; the settlement applies only while it is
    unchanged.
    """

    row: rows.Row
    holding: escrow.Holding
    unused: int  # returned to the account's row
    spent: int  # of a holding that ends, as billed
    lost: escrow.Lost  # of a holding that ends
    remaining: escrow.Holding | None  # the row's new value, None to remove it
    age: float  # seconds from the holding's commit until it ended


async def settle(
    store: rows.Store, part: str, settlements: abc.Iterable[Settlement]
) -> bool:
    """Commit settlements of a partition's holdings; return whether all are settled.

    One whose row has changed is left for the next look at the partition.
    """
    by_account: dict[str, list[Settlement]] = {}
    for each in settlements:
        by_account.setdefault(each.row.key.partition("/")[0], []).append(each)
    return all(
        await asyncio.gather(
            *(
                _settle_account(store, part, account, found)
                for account, found in by_account.items()
            )
        )
    )


async def _settle_account(
    store: rows.Store, part: str, account: str, settlements: list[Settlement]
) -> bool:
    all_settled = True
    for batch in batched(settlements, MAX_HOLDINGS):
        all_settled = await _settle_batch(store, part, account, batch) and all_settled
    return all_settled


async def _settle_batch(
    store: rows.Store, part: str, account: str, batch: list[Settlement]
) -> bool:
    has_changed = False
    account_row: rows.Row | None = None
    for tries in range(MAX_TRIES):
        if account_row is None:
            account_row = await _read_account(store, part, account)
        if account_row is None:
            await asyncio.sleep(RETRY_PAUSE * random.uniform(0.5, 1.5))
            continue
        outcome = await store.commit(part, *_entries(account, account_row, batch))
        if isinstance(outcome, rows.Committed):
            _report(batch)
            return not has_changed
        if not isinstance(outcome, rows.Conflict):
            await asyncio.sleep(RETRY_PAUSE * random.uniform(0.5, 1.5))
            continue
        # Absent holdings were closed, perhaps by a copy of this commit.
        current = {(row.table, row.key): row for row in outcome.rows}
        present = [e for e in batch if (account_rows.HOLDINGS, e.row.key) in current]
        batch = [e for e in present if _is_current(e.row, current)]
        has_changed = has_changed or len(batch) < len(present)
        account_row = current.get((account_rows.ACCOUNTS, account))
        if not batch:
            return not has_changed
        await asyncio.sleep(checkpoints.conflict_pause(tries + 1))
    log.warning("holdings_left", account=account, holdings=len(batch))
    return False


async def _read_account(store: rows.Store, part: str, account: str) -> rows.Row | None:
    found = await store.read(account_rows.ACCOUNTS, part, account, account + "\0")
    if isinstance(found, rows.Unavailable) or not found.rows:
        return None
    return found.rows[0]


def _entries(
    account: str, account_row: rows.Row, batch: list[Settlement]
) -> tuple[list[rows.Check], list[rows.Put]]:
    """Return the checks and puts of a commit that settles `batch`."""
    before = account_rows.decode_account(account_row.value)
    unused = sum(each.unused for each in batch)
    after = before._replace(
        drawn=before.drawn - unused,
        known_drawn=max(0, before.known_drawn - unused),
        closed_spent=before.closed_spent + sum(each.spent for each in batch),
        lost_reserved=before.lost_reserved + sum(e.lost.reserved for e in batch),
        lost_headroom=before.lost_headroom + sum(e.lost.headroom for e in batch),
        lost_risen=before.lost_risen + sum(each.lost.risen for each in batch),
    )
    checks = [rows.Check(account_rows.ACCOUNTS, account, account_row.version)]
    value = account_rows.encode_value(list(after))
    puts = [rows.Put(account_rows.ACCOUNTS, account, value)]
    for each in batch:
        key = each.row.key
        checks.append(rows.Check(account_rows.HOLDINGS, key, each.row.version))
        value = None
        if each.remaining is not None:
            value = account_rows.encode_value(list(each.remaining))
        puts.append(rows.Put(account_rows.HOLDINGS, key, value))
    return checks, puts


def batched(items: list[Settlement], size: int) -> abc.Iterator[list[Settlement]]:
    """Yield `items` in lists of up to `size`."""
    remaining = iter(items)
    return iter(lambda: list(itertools.islice(remaining, size)), [])


def _is_current(row: rows.Row, current: dict[tuple[str, str], rows.Row]) -> bool:
    found = current.get((account_rows.HOLDINGS, row.key))
    return found is not None and found.version == row.version


def _report(batch: list[Settlement]) -> None:
    for each in batch:
        closed_tokens.labels(RETURNED).inc(each.unused)
        closed_tokens.labels(SPENT).inc(max(0, each.spent))
        for cause, tokens in each.lost._asdict().items():
            closed_tokens.labels(cause).inc(tokens)
        log.info(
            "holding_closed" if each.remaining is None else "holding_returned",
            row=each.row.key,
            reclaimed=each.unused,
            granted=each.holding.granted,
            limit=each.holding.limit,
            spent=each.holding.spent,
            moved=each.holding.moved,
            lost=each.lost.tokens,
            **each.lost._asdict(),
            age=f"{each.age:.2f}",
        )
