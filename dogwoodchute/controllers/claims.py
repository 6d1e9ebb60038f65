"""Inserts, abandons and reads the claims of non-idempotent calls.

A claim is a durable row that a host writes before it runs a non-idempotent call, so
that no other host runs the same call.
"""

import asyncio
import dataclasses
import typing

from dogwoodchute import log, metrics_money as metrics, peers, state
from dogwoodchute.coordination import backoff, claims, rows
from dogwoodchute.platform import table, table_client

KIND = "claim"
HOLDER_WAIT = 2.0  # seconds that a claim's holder waits for its end before it answers
CALL_TIMEOUT = 4.0  # seconds
RETRY_BASE = 0.1  # seconds
RETRY_LIMIT = 5.0  # seconds


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Claimed:
    """This host's claim is durable: this host alone may run the request."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyInUse:
    """The request key already has a claim or a bill; `row` is the claim's, if any."""

    row: table.Row | None
    billed: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimUncertain:
    """Whether the claim was written is not known; the request must not run."""

    reason: str
    peer: str | None = None


class RunningClaim(typing.NamedTuple):
    """A claim of this host that is not in its final state yet."""

    ended: asyncio.Event


class Claims:
    """The claims that this host holds and that are not in their final state."""

    def __init__(self, *, host: state.HostState) -> None:
        self._host = host
        self._running: dict[str, RunningClaim] = {}
        self._tasks: set[asyncio.Task] = set()
        host.peers.handle(KIND, self._handle_call)

    async def insert(
        self,
        account: str,
        request_key: str,
        fingerprint: str,
        replaced: table.Row | None = None,
    ) -> Claimed | KeyInUse | ClaimUncertain:
        """Claim a request, within the settings' `claim_wait`.

        `replaced` is the row of an abandoned claim of the same key. A claim whose
        commit succeeds after that time is abandoned.
        """
        key = rows.claim(account, request_key)
        if key in self._running:
            await self._wait_for_end(key)
            return await self._read_claim(account, request_key)
        self._running[key] = RunningClaim(asyncio.Event())
        task = asyncio.create_task(
            self._insert(account, request_key, fingerprint, replaced)
        )
        timeout = self._host.config.budget.claim_wait
        await asyncio.wait({task}, timeout=timeout)
        if not task.done():
            self._run_in_background(
                self._abandon_if_claimed(task, account, request_key)
            )
            return ClaimUncertain(reason=f"no certain claim in {timeout} s")
        result = task.result()
        if not isinstance(result, Claimed):
            self.mark_ended(account, request_key)
        return result

    def mark_ended(self, account: str, request_key: str) -> None:
        """Record that a claim's row is in its final state."""
        running = self._running.pop(rows.claim(account, request_key), None)
        if running is not None:
            running.ended.set()

    def abandon(self, account: str, request_key: str, version: int) -> None:
        """Mark a claim as abandoned in the background; its request has not run."""
        self._run_in_background(self._abandon(account, request_key, version))

    async def wait_for_holder(self, account: str, request_key: str) -> bool:
        """Wait a few seconds for a claim of this host or a peer to end.

        Return whether it may still end: False if its holder is gone.
        """
        found = await self._read_claim(account, request_key)
        if isinstance(found, ClaimUncertain):
            await asyncio.sleep(RETRY_BASE)
            return True
        if found.row is None or found.row.value["state"] != claims.CLAIMED:
            return True
        claim = claims.claim_of(found.row.value)
        body = {"account": account, "request_key": request_key}
        if claim.incarnation == self._host.incarnation:
            answer = await self._handle_call(claim.host, body)
        else:
            outcome = await self._host.peers.call(claim.host, KIND, body, CALL_TIMEOUT)
            if not isinstance(outcome, peers.Answer):
                await asyncio.sleep(RETRY_BASE)
                return True
            answer = outcome.body
        if answer["incarnation"] != claim.incarnation:
            return False
        if answer["running"]:
            return True
        # The claim may have ended between the read and the answer.
        found = await self._read_claim(account, request_key)
        if isinstance(found, ClaimUncertain) or found.row is None:
            return True
        return found.row.value["state"] != claims.CLAIMED

    async def _handle_call(self, sender: str, body: dict) -> dict:
        key = rows.claim(body["account"], body["request_key"])
        await self._wait_for_end(key)
        running = key in self._running
        return {"incarnation": self._host.incarnation, "running": running}

    async def _wait_for_end(self, key: str) -> None:
        """Wait up to `HOLDER_WAIT` for the end of a claim of this host."""
        running = self._running.get(key)
        if running is None:
            return
        ended = asyncio.create_task(running.ended.wait())
        await asyncio.wait({ended}, timeout=HOLDER_WAIT)
        ended.cancel()

    async def _read_claim(
        self, account: str, request_key: str
    ) -> KeyInUse | ClaimUncertain:
        claim_key = rows.claim(account, request_key)
        bill_key = rows.bill(account, request_key)
        found = await self._host.store.read([claim_key, bill_key])
        if isinstance(found, table.Unavailable):
            return ClaimUncertain(reason=found.reason, peer=found.peer)
        return KeyInUse(row=found.rows.get(claim_key), billed=bill_key in found.rows)

    async def _insert(
        self,
        account: str,
        request_key: str,
        fingerprint: str,
        replaced: table.Row | None,
    ) -> Claimed | KeyInUse | ClaimUncertain:
        key = rows.claim(account, request_key)
        bill_key = rows.bill(account, request_key)
        claim = claims.Claim(
            claims.CLAIMED,
            self._host.config.host.id,
            self._host.incarnation,
            fingerprint,
        )
        value = claims.claim_value(claim)
        if replaced is not None:
            value[table_client.AFTER] = replaced.commit_id
        version = replaced.version if replaced is not None else 0
        outcome = await self._host.definite_store.commit(
            table.new_commit_id(self._host.rng),
            [table.Check(key, version), table.Check(bill_key, 0)],
            [table.Write(key, value)],
        )
        if isinstance(outcome, table.Committed):
            return Claimed(version=outcome.versions[key])
        if isinstance(outcome, table.Conflict):
            row = outcome.rows.get(key, replaced)
            billed = outcome.rows.get(bill_key) is not None
            return KeyInUse(row=row, billed=billed)
        return ClaimUncertain(reason=outcome.reason, peer=outcome.peer)

    async def _abandon_if_claimed(
        self, task: asyncio.Task, account: str, request_key: str
    ) -> None:
        result = await task
        if isinstance(result, Claimed):
            await self._abandon(account, request_key, result.version)
        else:
            self.mark_ended(account, request_key)

    async def _abandon(self, account: str, request_key: str, version: int) -> None:
        key = rows.claim(account, request_key)
        attempt = 0
        while True:
            found = await self._host.store.read([key])
            if isinstance(found, table.Rows):
                row = found.rows.get(key)
                if row is None or row.version != version:
                    break
                abandoned = {**row.value, "state": claims.ABANDONED}
                abandoned[table_client.AFTER] = row.commit_id
                outcome = await self._host.definite_store.commit(
                    table.new_commit_id(self._host.rng),
                    [table.Check(key, version)],
                    [table.Write(key, abandoned)],
                )
                if not isinstance(outcome, table.Unavailable):
                    break
            attempt += 1
            await asyncio.sleep(
                backoff.backoff(
                    attempt, base=RETRY_BASE, limit=RETRY_LIMIT, rng=self._host.rng
                )
            )
        metrics.CLAIMS.labels(claims.ABANDONED).inc()
        log.info("claim_abandoned", account=account, request=request_key)
        self.mark_ended(account, request_key)

    def _run_in_background(self, coroutine: object) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
