"""An in-memory table service with faults on demand."""

import asyncio
from collections import abc

from dogwoodchute.platform import table


class MemoryTable:
    """Holds the rows, and the faults of the next calls.

    Faults:
        down: Makes every call `Unavailable`.
        delay: Seconds before each answer.
        lose_answers: How many of the next commits take effect and return `Unknown`.
        hold_commits: How many of the next commits return `Unknown` and are delayed
            until `deliver_held` applies them.
    """

    def __init__(self, *, sleep: abc.Callable = asyncio.sleep) -> None:
        self.rows: dict[str, table.Row] = {}
        self.sequence = 0
        self.down = False
        self.delay = 0.0
        self.lose_answers = 0
        self.hold_commits = 0
        self.held: list[tuple[str, list[table.Check], list[table.Write]]] = []
        self.commits = 0
        self.reads = 0
        self._sleep = sleep

    def client(
        self, *, reachable: abc.Callable[[], bool] = lambda: True
    ) -> table.Table:
        """Return a client of the table, disconnected while `reachable()` is false."""

        async def read(keys: list[str]) -> table.ReadOutcome:
            unavailable = await self._check_available(reachable)
            if unavailable is not None:
                return unavailable
            self.reads += 1
            return table.Rows(
                rows={key: self.rows[key] for key in keys if key in self.rows}
            )

        async def scan(prefix: str) -> table.ReadOutcome:
            unavailable = await self._check_available(reachable)
            if unavailable is not None:
                return unavailable
            self.reads += 1
            matching = {k: row for k, row in self.rows.items() if k.startswith(prefix)}
            return table.Rows(rows=matching)

        async def commit(
            commit_id: str, checks: list[table.Check], writes: list[table.Write]
        ) -> table.CommitOutcome:
            unavailable = await self._check_available(reachable)
            if unavailable is not None:
                return unavailable
            if self.hold_commits > 0:
                self.hold_commits -= 1
                self.held.append((commit_id, checks, writes))
                return table.Unknown(reason="commit delayed")
            outcome = self.apply(commit_id, checks, writes)
            if self.lose_answers > 0:
                self.lose_answers -= 1
                return table.Unknown(reason="answer lost")
            if not reachable():
                return table.Unknown(reason="disconnected before the answer")
            return outcome

        return table.Table(read=read, scan=scan, commit=commit)

    def apply(
        self, commit_id: str, checks: list[table.Check], writes: list[table.Write]
    ) -> table.Committed | table.Conflict:
        """Apply all writes of a commit, or none unless all of `checks` hold."""
        differing = {}
        for key, version in checks:
            row = self.rows.get(key)
            if (row.version if row is not None else 0) != version:
                differing[key] = row
        if differing:
            return table.Conflict(rows=differing)
        self.commits += 1
        versions = {}
        for key, value in writes:
            if value is None:
                self.rows.pop(key, None)
                versions[key] = 0
                continue
            self.sequence += 1
            self.rows[key] = table.Row(key, dict(value), self.sequence, commit_id)
            versions[key] = self.sequence
        return table.Committed(versions=versions)

    def deliver_held(self) -> int:
        """Apply the delayed commits; return how many took effect."""
        delayed, self.held = self.held, []
        applied = 0
        for commit_id, checks, writes in delayed:
            outcome = self.apply(commit_id, checks, writes)
            applied += isinstance(outcome, table.Committed)
        return applied

    async def _check_available(
        self, reachable: abc.Callable
    ) -> table.Unavailable | None:
        if self.delay:
            await self._sleep(self.delay)
        if self.down or not reachable():
            return table.Unavailable(reason="table service is down")
        return None
