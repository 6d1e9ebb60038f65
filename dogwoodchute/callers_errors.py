"""JSON replies to requests that fail before the filter chain."""

import sanic
from sanic import exceptions

from dogwoodchute import callers, log, outcomes

ADVICE = {
    400: ("bad_request", "Send a well-formed HTTP request."),
    404: ("unknown_path", "See docs/callers.md for the paths served here."),
    405: ("method_not_allowed", "Use a method that this path serves."),
    408: ("request_timeout", "Send the whole request without long pauses."),
    413: ("body_too_large", "Send a smaller body, or split the request."),
    417: ("expectation_failed", "Send no Expect header but '100-continue'."),
    431: ("head_too_large", "Send fewer or shorter headers."),
}
READ_STEP = "read"


def add_handlers(app: sanic.Sanic) -> None:
    """Register a handler that answers HTTP errors with the callers' JSON error body.

    None of these requests has run anything.
    """

    async def answer(
        request: sanic.Request, error: exceptions.SanicException
    ) -> sanic.HTTPResponse:
        status = error.status_code or 500
        if status == 413 and "header" in str(error):
            status = 431  # Sanic raises the same error for headers and body
        code, message = ADVICE.get(status, ("http_error", str(error)))
        refusal = outcomes.refuse(status, code, message, step=READ_STEP)
        log.info("request_refused", status=status, code=code, step=READ_STEP)
        body = callers.error_body(refusal, "")
        return sanic.json(body, status=status, headers=dict(error.headers or {}))

    app.error_handler.add(exceptions.SanicException, answer)
