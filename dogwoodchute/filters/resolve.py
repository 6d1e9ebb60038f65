"""Finds the service that a request names, checks its body and bounds its tokens."""

import http
import json

from dogwoodchute import catalog, exchange as exchanges, outcomes, state

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


def make(*, host: state.HostState) -> exchanges.Filter:
    """Return the filter, which sets the fields that depend on the service."""

    async def resolve(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        request = exchange.request
        if request.service is None:
            refusal = _parse_chat(exchange)
            if refusal is not None:
                return refusal
        name = request.service or exchange.body["model"]
        service = host.current.services.get(name)
        kind = catalog.PLAIN if request.service else catalog.CHAT
        if service is None or service.kind != kind:
            return outcomes.refuse(
                http.HTTPStatus.NOT_FOUND,
                "unknown_service",
                f"No {kind} service {name!r}; see GET /v1/models.",
                step="resolve",
            )
        if name not in exchange.account.services:
            return outcomes.refuse(
                http.HTTPStatus.FORBIDDEN,
                "service_not_allowed",
                f"Ask the operators to allow {name!r} for this client account.",
                step="resolve",
            )
        exchange.service = service
        exchange.idempotent = _idempotent(request, service)
        if kind == catalog.CHAT:
            return await _bound_output(exchange, proceed)
        exchange.reserved = service.price
        return await proceed()

    return resolve


def _parse_chat(exchange: exchanges.Exchange) -> outcomes.NotRun | None:
    """Check and set the body of a chat request; return a refusal if it is invalid."""
    try:
        body = json.loads(exchange.request.body)
    except (ValueError, RecursionError) as error:
        return _bad_body(f"The body is not JSON: {error}.")
    if not isinstance(body, dict):
        return _bad_body("The body must be a JSON object.")
    if not isinstance(body.get("model"), str):
        return _bad_body("Set 'model' to a service's name; see GET /v1/models.")
    if not isinstance(body.get("messages"), list) or not body["messages"]:
        return _bad_body("Set 'messages' to a list of at least one message.")
    if not isinstance(body.get("stream", False), bool):
        return _bad_body("Set 'stream' to true or false.")
    if body.get("n") not in (None, 1):
        return _bad_body("Leave 'n' out, or set it to 1: one request, one answer.")
    if not all(_is_text(message) for message in body["messages"]):
        return _bad_body(
            "Send messages with text content only: the tokens of other content can't "
            "be bounded before it runs."
        )
    exchange.body = body
    exchange.stream = body.get("stream", False)
    return None


def _is_text(message: object) -> bool:
    if not isinstance(message, dict):
        return False
    content = message.get("content")
    if not isinstance(content, list):
        return content is None or isinstance(content, str)
    return all(isinstance(p, dict) and p.get("type") == "text" for p in content)


def _bad_body(message: str) -> outcomes.NotRun:
    return outcomes.refuse(
        http.HTTPStatus.BAD_REQUEST, "bad_request", message, step="resolve"
    )


async def _bound_output(
    exchange: exchanges.Exchange, proceed: exchanges.Proceed
) -> outcomes.Outcome:
    body = exchange.body
    limit = body.get("max_completion_tokens", body.get("max_tokens"))
    if limit is None:
        limit = exchange.service.max_output
    if not isinstance(limit, int) or isinstance(limit, bool) or limit < 1:
        return _bad_body("Set 'max_tokens' to a positive whole number.")
    exchange.output_limit = min(limit, exchange.service.max_output)
    # A token is at least one byte, so the body's size bounds the prompt's tokens.
    exchange.reserved = len(exchange.request.body) + exchange.output_limit
    return await proceed()


def _idempotent(request: exchanges.Request, service: catalog.Service) -> bool:
    if request.idempotent is not None:
        return request.idempotent
    if service.kind == catalog.CHAT:
        return True
    if service.idempotent is not None:
        return service.idempotent
    return request.method in IDEMPOTENT_METHODS
