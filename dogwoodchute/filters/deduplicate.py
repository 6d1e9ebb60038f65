"""Recognises repeated requests on this host.

A repeated request waits for the first run if that is in progress, or gets its answer if
that was kept. Otherwise it runs again, unbilled and a bounded number of times.
"""

import asyncio
import collections
import http

from dogwoodchute import exchange as exchanges, metrics_money as metrics, outcomes
from dogwoodchute.controllers import lookups

MAX_BYTES = 16_000_000  # of all ended runs, with their answers
MAX_ANSWER = 262_144  # bytes of one kept answer
MAX_RUNS = 20_000  # ended runs that are remembered
RUN_BYTES = 512  # counted for a run without its answer
MAX_RERUNS = 3  # unbilled runs of one key


class Run:
    """The first run of a request key on this host; has the answer once it has ended."""

    def __init__(self, *, fingerprint: str) -> None:
        self.fingerprint = fingerprint
        self.outcome_future = asyncio.get_running_loop().create_future()
        self.answer: list[bytes] | None = []  # None if it is not kept
        self.headers: dict[str, str] = {}
        self.size = RUN_BYTES
        self.reruns = 0

    def add(self, data: bytes) -> None:
        """Add a part of the answer; discards all of it once it is too large."""
        if self.answer is None:
            return
        self.answer.append(data)
        self.size += len(data)
        if self.size > RUN_BYTES + MAX_ANSWER:
            self.answer = None
            self.size = RUN_BYTES


class Runs:
    """The runs in progress and recently ended ones, bounded in number and bytes."""

    def __init__(self, *, max_bytes: int = MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._running: dict[tuple[str, str], Run] = {}
        self._kept: collections.OrderedDict[tuple[str, str], Run]
        self._kept = collections.OrderedDict()
        self._bytes = 0

    @property
    def bytes(self) -> int:
        """Bytes counted for the ended runs that are remembered."""
        return self._bytes

    def get(self, account: str, request_key: str) -> Run | None:
        """Return the run of a request key, None if this host remembers none."""
        key = (account, request_key)
        return self._running.get(key) or self._kept.get(key)

    def start(self, account: str, request_key: str, fingerprint: str) -> Run:
        """Add a run that starts now and return it."""
        run = self._running[account, request_key] = Run(fingerprint=fingerprint)
        return run

    def end(
        self, account: str, request_key: str, outcome: outcomes.Outcome | None
    ) -> None:
        """Set a run's outcome; remembers the run if it was answered.

        `outcome` is None if the run ended in an error.
        """
        run = self._running.pop((account, request_key))
        run.outcome_future.set_result(outcome)
        if not isinstance(outcome, outcomes.Answered):
            return
        replaced = self._kept.pop((account, request_key), None)
        if replaced is not None:
            self._bytes -= replaced.size
        self._kept[account, request_key] = run
        self._bytes += run.size
        while self._bytes > self._max_bytes or len(self._kept) > MAX_RUNS:
            _, oldest = self._kept.popitem(last=False)
            self._bytes -= oldest.size


def make(*, runs: Runs, bill_lookups: lookups.BillLookups) -> exchanges.Filter:
    """Return the filter; `bill_lookups` finds bills of other hosts."""

    async def deduplicate(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        account, key = exchange.account.name, exchange.request_key
        first = runs.get(account, key)
        while first is not None:
            if first.fingerprint != exchange.fingerprint and not exchange.idempotent:
                # Only its claim proves that this request did not run at another host.
                return await proceed()
            if first.fingerprint != exchange.fingerprint:
                metrics.REFUSALS.labels("key_reused").inc()
                return outcomes.key_reused(step="deduplicate")
            was_running = not first.outcome_future.done()
            outcome = await asyncio.shield(first.outcome_future)
            if not isinstance(outcome, outcomes.Answered):
                return outcome or outcomes.router_failed(step="deduplicate")
            if first.answer is not None:
                return _replay(exchange, first, outcome)
            if not was_running:
                break
            # Another repeated request may have started a run meanwhile.
            first = runs.get(account, key)
        run = runs.start(account, key, exchange.fingerprint)
        outcome = None
        try:
            refusal = await _bound_reruns(exchange, run, first)
            outcome = refusal or await _record(exchange, run, proceed)
        finally:
            runs.end(account, key, outcome)
        return outcome

    async def _bound_reruns(
        exchange: exchanges.Exchange, run: Run, first: Run | None
    ) -> outcomes.Outcome | None:
        """Mark a run whose key has been billed; refuse it beyond `MAX_RERUNS`."""
        if not exchange.idempotent:
            return None
        if first is not None:
            run.reruns = first.reruns + 1
        elif not exchange.request.first_attempt:
            row = await bill_lookups.find_bill(
                exchange.account.name, exchange.request_key
            )
            if row is None:
                return None
            if row.value["fingerprint"] != exchange.fingerprint:
                metrics.REFUSALS.labels("key_reused").inc()
                return outcomes.key_reused(step="deduplicate")
            if not row.value.get("whole", True):
                return None
            run.reruns = 1
        else:
            return None
        if run.reruns > MAX_RERUNS:
            return _too_many_repeats()
        exchange.already_billed = True
        return None

    return deduplicate


async def _record(
    exchange: exchanges.Exchange, run: Run, proceed: exchanges.Proceed
) -> outcomes.Outcome:
    """Run the request and record its answer in `run`."""
    reply = exchange.reply

    async def chunk(data: bytes) -> None:
        run.add(data)
        await reply.chunk(data)

    exchange.reply = reply._replace(chunk=chunk)
    outcome = await proceed()
    for data in exchange.deferred_body:
        run.add(data)
    run.headers = dict(exchange.reply_headers)
    return outcome


def _replay(
    exchange: exchanges.Exchange, run: Run, outcome: outcomes.Answered
) -> outcomes.Outcome:
    exchange.status = outcome.status
    exchange.reply_headers = dict(run.headers)
    exchange.deferred_body = list(run.answer)
    return outcomes.Answered(
        status=outcome.status, tokens=0, endpoint=outcome.endpoint, replayed=True
    )


def _too_many_repeats() -> outcomes.Unknown:
    metrics.REFUSALS.labels("too_many_repeats").inc()
    return outcomes.Unknown(
        status=int(http.HTTPStatus.CONFLICT),
        code="too_many_repeats",
        message="This request was answered and billed, its answer is no longer kept, "
        "and it was run again too often; use a new key.",
        step="deduplicate",
    )
