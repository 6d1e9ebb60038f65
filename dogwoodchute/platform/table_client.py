"""A table client whose commits end in a definite outcome.

`Client` adds timeouts, a rate limit, backoff and a circuit breaker to a table. It
resolves an `Unknown` outcome by sending the same commit again with the same id, so that
several copies of a commit may reach the service.

The proof that a commit took effect rests on its witness, the first row that it writes:

- the commit must check the version of its witness, so that at most one copy applies;
- while the outcome is unknown, nobody else writes the witness, except that a writer may
  replace the row if its new value keeps the replaced commit's id under `AFTER`.

Then a conflict is definite. If the witness still has the checked version, no copy took
effect, and none will, since the version that failed its check never comes back. If the
witness has the commit's id, as its own or under `AFTER`, a copy took effect. If it has
another id, another writer was first.
"""

import asyncio
import math
import random
import typing
from collections import abc

from dogwoodchute import log, metrics_money as metrics
from dogwoodchute.coordination import backoff, pacing
from dogwoodchute.platform import table

AFTER = "after"  # key in a row's value: the id of the commit that it replaced


class Limits(typing.NamedTuple):
    """Bounds of one host's use of the table service."""

    timeout: float = 2.0  # seconds for one call
    rate: float = 50.0  # calls a second
    burst: float = 100.0  # calls
    max_rate_wait: float = 1.0  # seconds that the rate limit may delay a call
    resolve_timeout: float = 8.0  # seconds, of commits that may end in `Unknown`
    max_tries: int = 3  # of a commit, while it certainly had no effect yet
    backoff_base: float = 0.05  # seconds
    backoff_limit: float = 5.0  # seconds
    breaker_threshold: int = 5  # failures in a row


DEFAULT_LIMITS = Limits()


class Client:
    """A client of the table service with retries, a rate limit and a circuit breaker.

    Calls that end in `Unavailable` are sent through `relay`, if it is given.
    """

    def __init__(
        self,
        *,
        inner: table.Table,
        now: abc.Callable[[], float],
        rng: random.Random,
        sleep: abc.Callable[[float], abc.Awaitable[None]] = asyncio.sleep,
        limits: Limits = DEFAULT_LIMITS,
        relay: table.Table | None = None,
    ) -> None:
        self._inner = inner
        self._now = now
        self._rng = rng
        self._sleep = sleep
        self._limits = limits
        self._relay = relay
        self._bucket = pacing.Bucket(rate=limits.rate, burst=limits.burst)
        self._breaker = backoff.Breaker(
            threshold=limits.breaker_threshold,
            base=limits.backoff_base,
            limit=limits.backoff_limit,
            rng=rng,
        )

    @property
    def is_reachable(self) -> bool:
        """Whether the circuit breaker of the direct path is closed."""
        return self._breaker.closed

    @property
    def definite_table(self) -> table.Table:
        """A table whose commits never end in `Unknown`, however long they take."""
        return table.Table(read=self.read, scan=self.scan, commit=self.commit)

    @property
    def bounded_table(self) -> table.Table:
        """A table whose commits may end in `Unknown` after `Limits.resolve_timeout`."""

        async def commit(
            commit_id: str, checks: list[table.Check], writes: list[table.Write]
        ) -> table.CommitOutcome:
            within = self._limits.resolve_timeout
            return await self.commit(commit_id, checks, writes, within=within)

        return table.Table(read=self.read, scan=self.scan, commit=commit)

    @property
    def single_try_table(self) -> table.Table:
        """A table that tries each call once; a commit may end in `Unknown`."""

        async def commit(
            commit_id: str, checks: list[table.Check], writes: list[table.Write]
        ) -> table.CommitOutcome:
            return await self._send(
                lambda target: target.commit(commit_id, checks, writes), table.Unknown
            )

        return table.Table(read=self.read, scan=self.scan, commit=commit)

    async def read(self, keys: list[str]) -> table.ReadOutcome:
        """Read rows by key; `Unavailable` after a timeout."""
        return await self._send(lambda target: target.read(keys), table.Unavailable)

    async def scan(self, prefix: str) -> table.ReadOutcome:
        """Read rows whose keys start with `prefix`; `Unavailable` after a timeout."""
        return await self._send(lambda target: target.scan(prefix), table.Unavailable)

    async def commit(
        self,
        commit_id: str,
        checks: list[table.Check],
        writes: list[table.Write],
        *,
        within: float = math.inf,
    ) -> table.CommitOutcome:
        """Commit; return `Committed`, `Conflict`, `Unavailable` or `Unknown`.

        Once a copy may have reached the service, the commit is retried until its
        outcome is definite, or `Unknown` after `within` seconds. If its witness had to
        prove it, `Committed.versions` has only rows that nobody has replaced since.
        """

        def call(target: table.Table) -> abc.Awaitable[table.CommitOutcome]:
            return target.commit(commit_id, checks, writes)

        uncertain = False  # whether a copy may have taken effect
        attempt = 0
        deadline = self._now() + within
        try:
            while True:
                outcome = await self._send(call, table.Unknown)
                if isinstance(outcome, table.Committed):
                    return outcome
                if isinstance(outcome, table.Conflict):
                    if not uncertain:
                        return outcome
                    return await self._resolve(commit_id, checks, writes, outcome)
                if isinstance(outcome, table.Unknown) and not uncertain:
                    uncertain = True
                    metrics.UNRESOLVED_COMMITS.inc()
                attempt += 1
                if not uncertain and attempt >= self._limits.max_tries:
                    return outcome
                if self._now() >= deadline:
                    return table.Unknown(reason=outcome.reason, peer=outcome.peer)
                await self._back_off(attempt)
        finally:
            if uncertain:
                metrics.UNRESOLVED_COMMITS.dec()

    async def _resolve(
        self,
        commit_id: str,
        checks: list[table.Check],
        writes: list[table.Write],
        conflict: table.Conflict,
    ) -> table.CommitOutcome:
        """Return the definite outcome of a commit that had an earlier `Unknown`."""
        witness = writes[0].key
        rows = conflict.rows
        if all(check.key != witness for check in checks):
            rows = {**rows, witness: await self._read_witness(witness)}
        if not proves_commit(rows.get(witness), commit_id):
            return conflict
        versions = {}
        for key, _ in writes:
            row = rows.get(key)
            if row is not None and row.commit_id == commit_id:
                versions[key] = row.version
        log.info("commit_proved", commit=commit_id, witness=witness)
        return table.Committed(versions=versions)

    async def _read_witness(self, key: str) -> table.Row | None:
        """Read the witness, with as many retries as it takes."""
        attempt = 0
        while True:
            outcome = await self.read([key])
            if isinstance(outcome, table.Rows):
                return outcome.rows.get(key)
            attempt += 1
            await self._back_off(attempt)

    async def _back_off(self, attempt: int) -> None:
        await self._sleep(
            backoff.backoff(
                attempt,
                base=self._limits.backoff_base,
                limit=self._limits.backoff_limit,
                rng=self._rng,
            )
        )

    async def _send(
        self, call: abc.Callable, timed_out: type[table.Unavailable | table.Unknown]
    ) -> table.ReadOutcome | table.CommitOutcome:
        """Send one call by the direct path, and by the relay if that is unavailable."""
        wait = self._bucket.wait(self._now())
        if wait > self._limits.max_rate_wait:
            metrics.TABLE_CALLS.labels("over_rate").inc()
            return table.Unavailable(reason="over this host's rate budget")
        self._bucket.take(1, self._now())
        if wait > 0:
            await self._sleep(wait)
        outcome = await self._send_direct(call, timed_out)
        metrics.TABLE_CALLS.labels(type(outcome).__name__.lower()).inc()
        if not isinstance(outcome, table.Unavailable) or self._relay is None:
            return outcome
        relayed = await call(self._relay)
        metrics.TABLE_CALLS.labels(f"relay_{type(relayed).__name__.lower()}").inc()
        return relayed

    async def _send_direct(
        self, call: abc.Callable, timed_out: type[table.Unavailable | table.Unknown]
    ) -> table.ReadOutcome | table.CommitOutcome:
        if not self._breaker.allows(self._now()):
            return table.Unavailable(reason="circuit breaker is open")
        try:
            async with asyncio.timeout(self._limits.timeout):
                outcome = await call(self._inner)
        except TimeoutError:
            outcome = timed_out(reason=f"no answer in {self._limits.timeout} s")
        if isinstance(outcome, table.Unavailable | table.Unknown):
            self._breaker.record_failure(self._now())
        else:
            self._breaker.record_success()
        return outcome


def proves_commit(row: table.Row | None, commit_id: str) -> bool:
    """Return whether `row`, a commit's witness, proves that the commit took effect."""
    if row is None:
        return False
    return row.commit_id == commit_id or row.value.get(AFTER) == commit_id
