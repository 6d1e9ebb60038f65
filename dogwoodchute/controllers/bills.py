"""Writes bills to the store in group commits and reports when each is durable."""

import asyncio
import dataclasses
from collections import abc

from dogwoodchute import controller, log, metrics_money as metrics, state
from dogwoodchute.controllers import account_grants, grants
from dogwoodchute.coordination import bills, pacing, rows
from dogwoodchute.platform import table

MAX_GROUP = 40  # bills in one commit
FLEET_COMMITS = 300.0  # group commits a second of all hosts together


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Durable:
    """The bill is in the store, written by this host."""

    uncovered: int = 0  # tokens


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Elsewhere:
    """Another commit billed the request before; this host releases its tokens."""

    row: table.Row


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AtPeers:
    """Peers keep copies of the bill until it is in the store."""

    hosts: tuple[str, ...]


BillOutcome = Durable | Elsewhere | AtPeers


class Bill:
    """One bill that is to be written to the store.

    `secured` is set once the loss of this host can't lose the bill, `durable` once it
    is in the store. `checks` and `writes` belong to the same commit as the bill.
    """

    def __init__(
        self,
        *,
        entry: bills.Entry,
        submitted: float,
        checks: abc.Sequence[table.Check] = (),
        writes: abc.Sequence[table.Write] = (),
        from_peer: bool = False,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.entry = entry
        self.submitted = submitted  # monotonic seconds
        self.checks = list(checks)
        self.writes = list(writes)
        self.from_peer = from_peer  # another host's bill
        self.replaced: table.Row | None = None  # the bill of an incomplete answer
        self.holders: set[str] = set()  # peers that keep a copy
        self.secured: asyncio.Future[BillOutcome] = loop.create_future()
        self.durable: asyncio.Future[Durable | Elsewhere] = loop.create_future()

    @property
    def key(self) -> str:
        """The key of the bill's row."""
        return rows.bill(self.entry.account, self.entry.request_key)

    @property
    def charge(self) -> int:
        """Tokens that the bill adds to the billed tokens of the grant."""
        replaced = self.replaced.value if self.replaced is not None else None
        return bills.charge(self.entry, replaced)

    @property
    def value(self) -> dict:
        """The value of the bill's row."""
        replaced = self.replaced.value if self.replaced is not None else None
        return bills.bill_value(self.entry, replaced)

    def finish(self, outcome: Durable | Elsewhere) -> None:
        """Record that the bill is in the store."""
        self.durable.set_result(outcome)
        if not self.secured.done():
            self.secured.set_result(outcome)


class Bills:
    """The bills of this host that are not durable yet."""

    def __init__(
        self, *, host: state.HostState, grant_controller: grants.Grants
    ) -> None:
        self._host = host
        self._grants = grant_controller
        self._queued: dict[str, list[Bill]] = {}
        self._unwritten: dict[str, Bill] = {}
        self._flushing = asyncio.Lock()

    @property
    def unwritten(self) -> list[Bill]:
        """The bills that are not in the store yet, oldest first."""
        return list(self._unwritten.values())

    def submit(
        self,
        entry: bills.Entry,
        *,
        checks: abc.Sequence[table.Check] = (),
        writes: abc.Sequence[table.Write] = (),
        from_peer: bool = False,
    ) -> Bill:
        """Queue a bill whose tokens are settled in the account's ledger.

        `from_peer` is true of a bill that another host raised; this one has a copy.
        """
        bill = Bill(
            entry=entry,
            submitted=self._host.now(),
            checks=checks,
            writes=writes,
            from_peer=from_peer,
        )
        self._queued.setdefault(entry.account, []).append(bill)
        self._unwritten[f"{bill.key} {id(bill)}"] = bill
        metrics.PENDING_BILLS.inc()
        return bill

    async def wait(self, bill: Bill) -> BillOutcome | None:
        """Wait until the loss of this host can't lose a bill.

        Return None if the settings' `bill_wait` passes first.
        """
        await asyncio.wait({bill.secured}, timeout=self._host.config.budget.bill_wait)
        return bill.secured.result() if bill.secured.done() else None

    async def flush(self) -> None:
        """Write the queued bills in group commits until none is left or one fails."""
        async with self._flushing:
            while await self._flush_group():
                pass

    def controller(self) -> controller.Controller:
        """Return the controller that flushes, at longer intervals in a large fleet."""

        def interval() -> float:
            return pacing.shared_interval(
                1 + len(self._host.peers.known()),
                fleet_rate=FLEET_COMMITS,
                shortest=self._host.config.budget.bill_interval,
            )

        return controller.periodic(
            "bills", self.flush, interval=interval, final=self.flush
        )

    async def _flush_group(self) -> bool:
        group: dict[str, list[Bill]] = {}
        slots = MAX_GROUP
        locks = []
        try:
            for account in list(self._queued):
                lock = self._grants.account(account).lock
                # A draw in progress must not delay the bills of other accounts.
                if lock.locked() or slots == 0:
                    continue
                await lock.acquire()
                locks.append(lock)
                group[account] = self._dequeue(account, slots)
                slots -= len(group[account])
            if not group:
                return False
            return await self._write(group)
        finally:
            for account, unfinished in group.items():
                self._requeue(account, unfinished)
            for lock in locks:
                lock.release()

    def _dequeue(self, account: str, count: int) -> list[Bill]:
        """Remove up to `count` bills from an account's queue, no key twice."""
        by_key: dict[str, Bill] = {}
        remaining = []
        for bill in self._queued.pop(account):
            if len(by_key) == count or bill.key in by_key:
                remaining.append(bill)
                continue
            by_key[bill.key] = bill
        if remaining:
            self._queued[account] = remaining
        return list(by_key.values())

    def _requeue(self, account: str, unfinished: list[Bill]) -> None:
        if unfinished:
            self._queued[account] = unfinished + self._queued.get(account, [])

    async def _write(self, group: dict[str, list[Bill]]) -> bool:
        """Write the bills of `group`, and remove from it those that are finished.

        Return whether there was progress. The caller holds the accounts' locks.
        """
        ready = {}
        for account, batch in group.items():
            if await self._cover(account, batch):
                ready[account] = batch
        if not ready:
            return False
        checks, writes = self._checks_and_writes(ready)
        outcome = await self._host.definite_store.commit(
            table.new_commit_id(self._host.rng), checks, writes
        )
        if isinstance(outcome, table.Committed):
            for account, batch in ready.items():
                self._confirm(account, batch, outcome)
                batch.clear()
            return True
        if isinstance(outcome, table.Conflict):
            for account, batch in ready.items():
                self._resolve_conflict(account, batch, outcome)
            return True
        log.warning("bills_not_written", reason=outcome.reason, peer=outcome.peer)
        return False

    async def _cover(self, account: str, batch: list[Bill]) -> bool:
        """Draw what the grant lacks for a batch; return whether it can be written.

        A grant lacks tokens only after it was lost. What the budget does not cover
        either is recorded in the bills as uncovered.
        """
        ledger = self._grants.ledger(account)

        def missing_tokens() -> int:
            return sum(bill.charge for bill in batch) - ledger.grant.unspent

        if missing_tokens() <= 0:
            return True
        failure = await self._grants.draw(account, missing_tokens)
        if isinstance(failure, account_grants.Spent) and failure.remaining > 0:
            remaining = failure.remaining
            failure = await self._grants.draw(account, lambda: remaining) or failure
        if isinstance(failure, account_grants.OutOfReach):
            return False
        if failure is None or missing_tokens() <= 0:
            return True
        charges = [bill.charge for bill in batch]
        uncovered_tokens = bills.uncovered(charges, ledger.grant.unspent)
        for bill, tokens in zip(batch, uncovered_tokens, strict=True):
            ledger.drop(tokens)
            bill.entry = bill.entry._replace(
                tokens=bill.entry.tokens - tokens,
                uncovered=bill.entry.uncovered + tokens,
            )
        return True

    def _checks_and_writes(
        self, ready: dict[str, list[Bill]]
    ) -> tuple[list[table.Check], list[table.Write]]:
        checks, writes = [], []
        for account, batch in ready.items():
            key = self._grants.row_key(account)
            account_state = self._grants.account(account)
            tokens = sum(bill.charge for bill in batch)
            grant = account_state.ledger.grant
            grant = grant._replace(billed=grant.billed + tokens)
            checks.append(table.Check(key, account_state.version))
            writes.append(table.Write(key, self._grants.row_value(grant)))
            for bill in batch:
                version = bill.replaced.version if bill.replaced is not None else 0
                checks += [table.Check(bill.key, version), *bill.checks]
                writes.append(table.Write(bill.key, bill.value))
                writes += bill.writes
        return checks, writes

    def _confirm(
        self, account: str, batch: list[Bill], outcome: table.Committed
    ) -> None:
        account_state = self._grants.account(account)
        key = self._grants.row_key(account)
        account_state.version = outcome.versions.get(key, account_state.version)
        for bill in batch:
            account_state.ledger.confirm(bill.charge)
            metrics.BILLED.inc(bill.charge)
            if bill.entry.uncovered:
                metrics.UNCOVERED.inc(bill.entry.uncovered)
                log.error("bill_uncovered", **bill.entry._asdict())
            self._finish(bill, Durable(uncovered=bill.entry.uncovered))

    def _resolve_conflict(
        self, account: str, batch: list[Bill], conflict: table.Conflict
    ) -> None:
        """Remove the bills that exist already from a batch whose commit conflicted."""
        key = self._grants.row_key(account)
        if key in conflict.rows:
            self._grants.replace_lost_grant(account, conflict.rows[key])
        for bill in list(batch):
            row = conflict.rows.get(bill.key)
            if row is not None and bills.may_replace(bill.entry, row.value):
                charge_before = bill.charge
                bill.replaced = row
                self._grants.ledger(account).drop(charge_before - bill.charge)
                continue
            if row is not None:
                batch.remove(bill)
                self._grants.ledger(account).drop(bill.charge)
                self._finish(bill, Elsewhere(row=row))
                continue
            if any(check.key in conflict.rows for check in bill.checks):
                log.error("bill_parted_from_claim", **bill.entry._asdict())
                bill.checks, bill.writes = [], []

    def _finish(self, bill: Bill, outcome: Durable | Elsewhere) -> None:
        del self._unwritten[f"{bill.key} {id(bill)}"]
        metrics.PENDING_BILLS.dec()
        metrics.BILLS.labels(type(outcome).__name__.lower()).inc()
        bill.finish(outcome)
