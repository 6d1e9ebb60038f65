"""Records for each request whether it met its service's objectives."""

import itertools

from dogwoodchute import catalog, clock, exchange as exchanges, outcomes
from dogwoodchute.controllers import burn
from dogwoodchute.coordination import burn as measures

FALSE_REFUSALS = frozenset({"budget_out_of_reach"})
GAP_SAMPLE = 8  # the time between tokens is measured for one request in so many
CALLER_FAULTS = frozenset(
    {400, 401, 402, 403, 404, 405, 409, 411, 413, 415, 422, 431}
)  # HTTP statuses of refusals that count against no objective


def make(*, recorder: burn.Recorder) -> exchanges.Filter:
    """Return the filter, the first of the chain, so that it sees every outcome."""
    sample_positions = itertools.cycle(range(GAP_SAMPLE))

    async def observe(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        chunk_times: list[float] = []
        if next(sample_positions) == 0:
            _record_chunk_times(exchange, chunk_times)
        outcome = await proceed()
        if exchange.service is not None:
            _record(recorder, exchange, outcome, chunk_times)
        return outcome

    return observe


def _record_chunk_times(exchange: exchanges.Exchange, chunk_times: list[float]) -> None:
    """Append to `chunk_times` when each chunk of the reply is written."""
    reply = exchange.reply

    async def chunk(data: bytes) -> None:
        chunk_times.append(clock.monotonic())
        await reply.chunk(data)

    exchange.reply = reply._replace(chunk=chunk)


def _record(
    recorder: burn.Recorder,
    exchange: exchanges.Exchange,
    outcome: outcomes.Outcome,
    chunk_times: list[float],
) -> None:
    service = exchange.service
    place = burn.place_of(exchange.endpoint)
    is_refused = isinstance(outcome, outcomes.NotRun)
    if is_refused and outcome.status in CALLER_FAULTS:
        recorder.count(service.name, place, measures.FALSE_REFUSALS, 1, 0)
        return
    is_false_refusal = is_refused and outcome.code in FALSE_REFUSALS
    recorder.count(
        service.name, place, measures.FALSE_REFUSALS, 1, int(is_false_refusal)
    )
    has_failed = not isinstance(outcome, outcomes.Answered) or outcome.status >= 500
    recorder.count(service.name, place, measures.AVAILABILITY, 1, int(has_failed))
    if service.kind != catalog.CHAT or exchange.already_billed:
        return
    if exchange.first_token is not None:
        wait = exchange.first_token - exchange.received
        is_late = 0 < service.first_token_seconds < wait
        recorder.count(service.name, place, measures.FIRST_TOKEN, 1, int(is_late))
        recorder.record_time(service.name, measures.FIRST_TOKEN, wait)
    if len(chunk_times) > 1:
        bound = service.between_tokens_seconds or float("inf")
        slow_gaps = 0
        for position in range(1, len(chunk_times)):
            slow_gaps += chunk_times[position] - chunk_times[position - 1] > bound
        gaps = len(chunk_times) - 1
        recorder.count(service.name, place, measures.BETWEEN_TOKENS, gaps, slow_gaps)
        mean_gap = (chunk_times[-1] - chunk_times[0]) / gaps
        recorder.record_time(service.name, measures.BETWEEN_TOKENS, mean_gap)
