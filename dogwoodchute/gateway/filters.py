"""The filters that a caller's request passes before it is sent to an endpoint."""

import http
import typing
from collections import abc

import xxhash

from dogwoodchute import exchange, outcomes
from dogwoodchute.coordination import quarantine, retry_after
from dogwoodchute.gateway import calls, dispatch, failed_calls, model
from dogwoodchute.gateway.accounts import account_rows, accounts, reservations
from dogwoodchute.gateway.streams import stream_origins

ANSWER_MARGIN = 0.2  # seconds to write an answer that comes at its deadline
STARTING_RETRY_AFTER = 0.3  # seconds
STOPPING_RETRY_AFTER = 0.05  # seconds; other hosts can answer at once
DEFAULT_WAIT = 30.0  # seconds for a caller that sends no deadline

Filter = abc.Callable[[calls.Call, exchange.Proceed], abc.Awaitable[outcomes.Outcome]]


class Closing(typing.NamedTuple):
    """How a stopping host treats requests that may outlast it."""

    closes_at: float  # monotonic seconds: connections are closed
    # Whether callers may not have learned of the stop yet, so that all requests which
    # may be sent again are taken.
    takes_repeatable: bool


def admit(
    *,
    config: abc.Callable[[], model.Config | None],
    ready: abc.Callable[[], bool],
) -> Filter:
    """Refuse calls until this host has read the configuration and the endpoints."""

    async def run(call: calls.Call, proceed: exchange.Proceed) -> outcomes.Outcome:
        current = config()
        if current is None or not ready():
            return outcomes.refuse(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                "starting",
                "This host is starting; ask another one.",
                step="admit",
                retry_after=STARTING_RETRY_AFTER,
            )
        call.config = current
        return await proceed()

    return run


def route() -> Filter:
    """Set the route of a call, its service, priority and deadline."""

    async def run(call: calls.Call, proceed: exchange.Proceed) -> outcomes.Outcome:
        request = call.request
        matched = model.route_of(call.config, request.host, request.path)
        if matched is None:
            return outcomes.refuse(
                http.HTTPStatus.NOT_FOUND,
                "no_route",
                "No route serves this host and path.",
                step="route",
            )
        call.route = matched
        call.priority = matched.priority
        # The stream that is taken up was begun by the service of its first attempt.
        takes_up = request.last_event_id is not None and request.resumes is not None
        began_as = request.resumes if takes_up else request.attempt_id
        name = choose_service(matched, began_as)
        call.service = call.config.services.get(name) or model.Service(name, None)
        wait = DEFAULT_WAIT if request.wait is None else request.wait
        call.deadline = call.received + min(wait, matched.timeout)
        return await proceed()

    return run


def check_closing(*, closing: abc.Callable[[], Closing | None]) -> Filter:
    """Refuse calls that may not end before this host closes its connections.

    Those that may run once only are refused from the start of the stop, as nobody could
    send them again. `closing` returns None while the host isn't stopping.
    """

    async def run(call: calls.Call, proceed: exchange.Proceed) -> outcomes.Outcome:
        stop = closing()
        if stop is None or (stop.takes_repeatable and call.is_retryable):
            return await proceed()
        if call.deadline + ANSWER_MARGIN > stop.closes_at:
            return outcomes.refuse(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                "stopping",
                "This host stops; ask another one.",
                step="finish",
                retry_after=STOPPING_RETRY_AFTER,
            )
        return await proceed()

    return run


def authenticate() -> Filter:
    """Set the client account that the request's key belongs to."""

    async def run(call: calls.Call, proceed: exchange.Proceed) -> outcomes.Outcome:
        if call.route.public or not call.config.needs_keys:
            return await proceed()
        name = call.config.accounts_by_key.get(call.request.key or "")
        if name is None:
            return outcomes.refuse(
                http.HTTPStatus.UNAUTHORIZED,
                "unknown_key",
                "Send a client account's key.",
                step="authenticate",
            )
        call.account = call.config.accounts[name]
        if call.account.priority is not None:
            call.priority = call.account.priority
        return await proceed()

    return run


def check_quarantine(
    *, find: abc.Callable[[model.Prompt | None], quarantine.Found | None]
) -> Filter:
    """Refuse calls with a part of a prompt that crashes endpoints.

    `find` returns a quarantined part of a prompt.
    """

    async def run(call: calls.Call, proceed: exchange.Proceed) -> outcomes.Outcome:
        found = find(call.request.prompt)
        if found is not None:
            return failed_calls.quarantined(call, found)
        return await proceed()

    return run


def take_up(*, origins: stream_origins.Origins) -> Filter:
    """Set the software version at which a stream that a caller takes up goes on."""

    async def run(call: calls.Call, proceed: exchange.Proceed) -> outcomes.Outcome:
        if not call.is_resumable or call.request.last_event_id is None:
            return await proceed()
        found = await origins.find(call)
        if isinstance(found, stream_origins.Unclear):
            return outcomes.refuse(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                found.code,
                f"The request was not run: {found.reason}.",
                step="take_up",
                retry_after=retry_after.spread(found.retry_after),
            )
        call.software = found
        return await proceed()

    return run


def reserve(*, budgets: accounts.Accounts) -> Filter:
    """Reserve the maximum of tokens that a request may use, and bill what it used."""

    async def run(call: calls.Call, proceed: exchange.Proceed) -> outcomes.Outcome:
        prompt = call.request.prompt
        if prompt is None or call.account is None:
            return await proceed()
        name = call.account.name
        wait = reservations.max_wait(call.route.target_latency)
        reserved = await budgets.reserve(
            name, prompt.max_tokens, wait=wait, priority=call.priority
        )
        if isinstance(reserved, reservations.Exhausted):
            return outcomes.refuse(
                http.HTTPStatus.PAYMENT_REQUIRED,
                "budget_exhausted",
                f"{reserved.remaining} tokens are left, "
                f"{prompt.max_tokens} may be needed.",
                step="reserve",
            )
        if isinstance(reserved, reservations.OutOfReach):
            return outcomes.refuse(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                "budget_out_of_reach",
                f"No tokens could be reserved now: {reserved.reason}.",
                step="reserve",
                retry_after=reserved.retry_after,
            )
        call.reserved = prompt.max_tokens

        def count_input() -> None:
            if not call.spent:
                call.spent = prompt.input_tokens
                budgets.spend(name, call.spent)

        call.on_chunk = count_input
        try:
            return await proceed()
        finally:
            bill = _bill(call, prompt)
            budgets.settle(name, prompt.max_tokens, bill, spent=call.spent)

    return run


def send(*, dispatcher: dispatch.Dispatcher) -> Filter:
    """Send the call to an endpoint; the last filter of the chain."""

    async def run(call: calls.Call, proceed: exchange.Proceed) -> outcomes.Outcome:
        return await dispatcher.run(call)

    return run


def choose_service(route: model.Route, attempt_id: str) -> str:
    """Choose the service of a request, by the weights of its route.

    The choice depends on the attempt's id only, so it is the same on each host.
    """
    if len(route.splits) == 1:
        return route.splits[0][0]
    total = sum(weight for _, weight in route.splits)
    point = xxhash.xxh3_64_intdigest(attempt_id.encode()) % max(1, total)
    for name, weight in route.splits:
        if point < weight:
            return name
        point -= weight
    return route.splits[-1][0]


def _bill(call: calls.Call, prompt: model.Prompt) -> account_rows.Bill | None:
    if not call.run_started:
        return None
    output_tokens = call.tokens_used - prompt.input_tokens
    return account_rows.Bill(
        call.request.attempt_id, prompt.input_tokens, output_tokens
    )
