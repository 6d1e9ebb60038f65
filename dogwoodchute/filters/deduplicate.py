"""Lets a repeat of a request join, replay or redo the first run."""

import asyncio
import collections
import http

from dogwoodchute import exchange as exchanges, metrics_money as metrics, outcomes
from dogwoodchute.controllers import lookups

MAX_BYTES = 16_000_000  # of kept answers
MAX_ANSWER = 262_144  # bytes of one kept answer
MAX_RUNS = 20_000  # ended runs that are known
RUN_BYTES = 512  # of a run without its answer, as counted
MAX_RERUNS = 3  # unbilled runs of one key


class Run:
    """The first run of a request key on this host and, once it ended, its answer."""

    def __init__(self, *, digest: str) -> None:
        self.digest = digest
        self.ended = asyncio.get_running_loop().create_future()
        self.answer: list[bytes] | None = []  # None: not kept
        self.headers: dict[str, str] = {}
        self.size = RUN_BYTES
        self.reruns = 0

    def add(self, data: bytes) -> None:
        """Keep a part of the answer, or nothing of it once it is too large."""
        if self.answer is None:
            return
        self.answer.append(data)
        self.size += len(data)
        if self.size > RUN_BYTES + MAX_ANSWER:
            self.answer = None
            self.size = RUN_BYTES


class Runs:
    """The runs in progress and the recent ones, bounded in bytes."""

    def __init__(self, *, max_bytes: int = MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._running: dict[tuple[str, str], Run] = {}
        self._kept: collections.OrderedDict[tuple[str, str], Run]
        self._kept = collections.OrderedDict()
        self._bytes = 0

    @property
    def bytes(self) -> int:
        """Bytes of the kept runs, as counted."""
        return self._bytes

    def get(self, account: str, request_key: str) -> Run | None:
        """Return the run of a key, None if this host knows none."""
        key = (account, request_key)
        return self._running.get(key) or self._kept.get(key)

    def start(self, account: str, request_key: str, digest: str) -> Run:
        """Remember a run that starts now."""
        run = self._running[account, request_key] = Run(digest=digest)
        return run

    def end(
        self, account: str, request_key: str, outcome: outcomes.Outcome | None
    ) -> None:
        """Record a run's outcome and keep it if it was answered."""
        run = self._running.pop((account, request_key))
        run.ended.set_result(outcome)
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


def make(*, runs: Runs, known: lookups.Lookups) -> exchanges.Filter:
    """Return the filter."""

    async def deduplicate(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        account, key = exchange.account.name, exchange.request_key
        first = runs.get(account, key)
        while first is not None:
            if first.digest != exchange.digest and not exchange.idempotent:
                # Only the claim's row proves that this request did not run elsewhere.
                return await proceed()
            if first.digest != exchange.digest:
                metrics.REFUSALS.labels("key_reused").inc()
                return outcomes.key_reused(step="deduplicate")
            joined = not first.ended.done()
            outcome = await asyncio.shield(first.ended)
            if not isinstance(outcome, outcomes.Answered):
                return outcome or outcomes.router_failed(step="deduplicate")
            if first.answer is not None:
                return _replay(exchange, first, outcome)
            if not joined:
                break
            # Another repeat may have started to run it again meanwhile.
            first = runs.get(account, key)
        run = runs.start(account, key, exchange.digest)
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
        """Mark a run whose key is billed already; refuse it beyond the bound."""
        if not exchange.idempotent:
            return None
        if first is not None:
            run.reruns = first.reruns + 1
        elif not exchange.request.first_attempt:
            row = await known.bill(exchange.account.name, exchange.request_key)
            if row is None:
                return None
            if row.value["fingerprint"] != exchange.digest:
                metrics.REFUSALS.labels("key_reused").inc()
                return outcomes.key_reused(step="deduplicate")
            if not row.value.get("whole", True):
                return None
            run.reruns = 1
        else:
            return None
        if run.reruns > MAX_RERUNS:
            return _too_many()
        exchange.unbilled = True
        return None

    return deduplicate


async def _record(
    exchange: exchanges.Exchange, run: Run, proceed: exchanges.Proceed
) -> outcomes.Outcome:
    reply = exchange.reply

    async def chunk(data: bytes) -> None:
        run.add(data)
        await reply.chunk(data)

    exchange.reply = reply._replace(chunk=chunk)
    outcome = await proceed()
    for data in exchange.held:
        run.add(data)
    run.headers = dict(exchange.reply_headers)
    return outcome


def _replay(
    exchange: exchanges.Exchange, run: Run, outcome: outcomes.Answered
) -> outcomes.Outcome:
    exchange.status = outcome.status
    exchange.reply_headers = dict(run.headers)
    exchange.held = list(run.answer)
    return outcomes.Answered(
        status=outcome.status, tokens=0, endpoint=outcome.endpoint, replayed=True
    )


def _too_many() -> outcomes.Unknown:
    metrics.REFUSALS.labels("too_many_repeats").inc()
    return outcomes.Unknown(
        status=int(http.HTTPStatus.CONFLICT),
        code="too_many_repeats",
        message="This request was answered and billed, its answer is no longer kept, "
        "and it was run again too often; use a new key.",
        step="deduplicate",
    )
