"""Lets a repeat of a request join or replay the first run."""

import asyncio
import collections
import hashlib
import http
from typing import NamedTuple

from dogwoodchute import exchange as exchanges, outcomes

MAX_KEPT = 10_000  # runs


class Run(NamedTuple):
    """The first run of a request key and, once it ended, its answer."""

    fingerprint: bytes
    ended: asyncio.Future
    answer: list[bytes]
    headers: dict[str, str]


class Runs:
    """The recent runs by client account and request key."""

    def __init__(self) -> None:
        self._runs: collections.OrderedDict[tuple[str, str], Run]
        self._runs = collections.OrderedDict()

    def get(self, account: str, request_key: str) -> Run | None:
        """Return the run of a key, None if this host knows none."""
        return self._runs.get((account, request_key))

    def add(self, account: str, request_key: str, run: Run) -> None:
        """Remember a run, dropping the oldest beyond `MAX_KEPT`."""
        self._runs[account, request_key] = run
        while len(self._runs) > MAX_KEPT:
            self._runs.popitem(last=False)

    def drop(self, account: str, request_key: str) -> None:
        """Forget a run, so that its key may run again."""
        self._runs.pop((account, request_key), None)


def make(*, runs: Runs) -> exchanges.Filter:
    """Return the filter."""

    async def deduplicate(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        account = exchange.account.name
        fingerprint = hashlib.sha256(exchange.fingerprint).digest()
        run = runs.get(account, exchange.request_key)
        if run is not None and run.fingerprint != fingerprint:
            return outcomes.refuse(
                http.HTTPStatus.UNPROCESSABLE_ENTITY,
                "key_reused",
                "The Idempotency-Key was used with another request; use a new key.",
                step="deduplicate",
            )
        if run is not None:
            return await _replay(exchange, run)
        ended = asyncio.get_running_loop().create_future()
        run = Run(fingerprint, ended, [], {})
        runs.add(account, exchange.request_key, run)
        _record(exchange, run)
        outcome = None
        try:
            outcome = await proceed()
        finally:
            if not isinstance(outcome, outcomes.Answered):
                runs.drop(account, exchange.request_key)
            else:
                run.answer.extend(exchange.held)
                run.headers.update(exchange.reply_headers)
            ended.set_result(outcome)
        return outcome

    return deduplicate


def _record(exchange: exchanges.Exchange, run: Run) -> None:
    reply = exchange.reply

    async def chunk(data: bytes) -> None:
        run.answer.append(data)
        await reply.chunk(data)

    exchange.reply = reply._replace(chunk=chunk)


async def _replay(exchange: exchanges.Exchange, run: Run) -> outcomes.Outcome:
    outcome = await asyncio.shield(run.ended)
    if not isinstance(outcome, outcomes.Answered):
        return outcomes.refuse(
            http.HTTPStatus.CONFLICT,
            "first_run_failed",
            "The run that this repeat joined got no answer; retry with the same key.",
            step="deduplicate",
        )
    exchange.status = outcome.status
    exchange.reply_headers = dict(run.headers)
    exchange.held = list(run.answer)
    return outcomes.Answered(
        status=outcome.status, tokens=0, endpoint=outcome.endpoint, replayed=True
    )
