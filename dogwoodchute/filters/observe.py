"""Records for each request how its service's objectives were met."""

import itertools

from dogwoodchute import catalog, clock, exchange as exchanges, outcomes
from dogwoodchute.controllers import burn
from dogwoodchute.coordination import burn as measures

FALSE_REFUSALS = frozenset({"budget_out_of_reach"})
GAP_SAMPLE = 8  # requests, of which one has the time between its tokens counted
CALLER_FAULTS = frozenset(
    {400, 401, 402, 403, 404, 405, 409, 411, 413, 415, 422, 431}
)  # HTTP statuses of refusals that no objective counts


def make(*, recorder: burn.Recorder) -> exchanges.Filter:
    """Return the filter; it stands outside of all that may refuse or fail."""
    turns = itertools.cycle(range(GAP_SAMPLE))

    async def observe(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        times: list[float] = []
        if next(turns) == 0:
            _watch(exchange, times)
        outcome = await proceed()
        if exchange.service is not None:
            _record(recorder, exchange, outcome, times)
        return outcome

    return observe


def _watch(exchange: exchanges.Exchange, times: list[float]) -> None:
    """Make the reply note when each chunk was written."""
    reply = exchange.reply

    async def chunk(data: bytes) -> None:
        times.append(clock.monotonic())
        await reply.chunk(data)

    exchange.reply = reply._replace(chunk=chunk)


def _record(
    recorder: burn.Recorder,
    exchange: exchanges.Exchange,
    outcome: outcomes.Outcome,
    times: list[float],
) -> None:
    service = exchange.service
    place = burn.place_of(exchange.endpoint)
    refused = isinstance(outcome, outcomes.NotRun)
    if refused and outcome.status in CALLER_FAULTS:
        recorder.add(service.name, place, measures.FALSE_REFUSALS, 1, 0)
        return
    false = refused and outcome.code in FALSE_REFUSALS
    recorder.add(service.name, place, measures.FALSE_REFUSALS, 1, int(false))
    bad = not isinstance(outcome, outcomes.Answered) or outcome.status >= 500
    recorder.add(service.name, place, measures.AVAILABILITY, 1, int(bad))
    if service.kind != catalog.CHAT or exchange.unbilled:
        return
    if exchange.first_token is not None:
        wait = exchange.first_token - exchange.received
        late = 0 < service.first_token_seconds < wait
        recorder.add(service.name, place, measures.FIRST_TOKEN, 1, int(late))
        recorder.time(service.name, measures.FIRST_TOKEN, wait)
    if len(times) > 1:
        bound = service.between_tokens_seconds or float("inf")
        slow = 0
        for position in range(1, len(times)):
            slow += times[position] - times[position - 1] > bound
        gaps = len(times) - 1
        recorder.add(service.name, place, measures.BETWEEN_TOKENS, gaps, slow)
        mean = (times[-1] - times[0]) / gaps
        recorder.time(service.name, measures.BETWEEN_TOKENS, mean)
