"""Writes bills in group commits and tells when each is durable."""

import asyncio
import secrets
from typing import NamedTuple

from dogwoodchute import controller, log, state
from dogwoodchute.controllers import grants
from dogwoodchute.coordination import rows
from dogwoodchute.platform import table


class Bill(NamedTuple):
    """What one request used, with what must be written in the same commit."""

    account: str
    request_key: str
    tokens: int
    checks: list[table.Check]
    writes: list[table.Write]
    durable: asyncio.Future


class Bills:
    """The bills that are not yet durable, by client account."""

    def __init__(self, *, host: state.HostState, granted: grants.Grants) -> None:
        self._host = host
        self._grants = granted
        self._pending: dict[str, list[Bill]] = {}

    def submit(
        self,
        account: str,
        request_key: str,
        tokens: int,
        *,
        checks: list[table.Check] = (),
        writes: list[table.Write] = (),
    ) -> asyncio.Future:
        """Queue a bill of `tokens` settled tokens; the future ends when it is kept."""
        durable = asyncio.get_running_loop().create_future()
        bill = Bill(account, request_key, tokens, list(checks), list(writes), durable)
        self._pending.setdefault(account, []).append(bill)
        return durable

    async def flush(self) -> None:
        """Write all that is pending, one commit for each client account."""
        accounts = list(self._pending)
        await asyncio.gather(*(self._flush_account(name) for name in accounts))

    async def _flush_account(self, account: str) -> None:
        bills = self._pending.pop(account, [])
        if not bills:
            return
        async with self._grants.lock(account):
            if await self._commit(account, bills):
                return
        self._pending.setdefault(account, [])[:0] = bills

    async def _commit(self, account: str, bills: list[Bill]) -> bool:
        ledger = self._grants.ledger(account)
        key, version = self._grants.row(account)
        grant = {
            "granted": ledger.granted,
            "billed": ledger.billed,
            "closed": False,
        }
        checks = [table.Check(key, version)]
        writes = [table.Write(key, grant)]
        for bill in bills:
            bill_key = rows.bill(account, bill.request_key)
            row = {"tokens": bill.tokens, "incarnation": self._host.incarnation}
            checks += [table.Check(bill_key, 0), *bill.checks]
            writes += [table.Write(bill_key, row), *bill.writes]
        outcome = await self._host.store.commit(secrets.token_hex(8), checks, writes)
        if not isinstance(outcome, table.Committed):
            log.warning("bill_commit_failed", account=account, outcome=outcome)
            return False
        self._grants.wrote(account, outcome.versions[key])
        for bill in bills:
            if not bill.durable.done():
                bill.durable.set_result(True)
        return True

    def controller(self) -> controller.Controller:
        """Return the controller that flushes at the settings' interval."""
        interval = self._host.config.budget.bill_interval
        return controller.periodic(
            "bills", self.flush, interval=interval, final=self.flush
        )
