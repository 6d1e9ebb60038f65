"""Outcomes of a request, as reported to its caller.

A request ends in exactly one of `Answered`, `NotRun` and `Unknown`. `NotRun` is used
only where the request cannot have taken effect at an endpoint.
"""

import dataclasses
import http

FINAL_STATUSES = range(200, 600)  # that an endpoint's answer may have: RFC 9110, 15


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """The answer is complete, and what is left of it may be sent to the caller."""

    status: int
    tokens: int  # used
    endpoint: str
    replayed: bool = False  # the stored answer of an earlier run


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The request certainly had no effect and was not billed."""

    status: int
    code: str
    message: str
    step: str  # where in the chain the request ended
    peer: str | None = None  # the endpoint, host or store that caused it
    retry_after: float | None = None  # seconds


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The request may have run, partly or completely."""

    status: int
    code: str
    message: str
    step: str  # where in the chain the request ended
    peer: str | None = None  # the endpoint, host or store that caused it
    tokens: int = 0  # used
    retry_after: float | None = None  # seconds
    may_rerun: bool = False  # idempotent, and no part of an answer was sent


Outcome = Answered | NotRun | Unknown


def label(outcome: Outcome) -> str:
    """Return the name of an outcome in replies, log lines and metrics."""
    if isinstance(outcome, Answered):
        return "answered"
    if isinstance(outcome, NotRun):
        return "not_run"
    return "unknown"


def refuse(
    status: http.HTTPStatus,
    code: str,
    message: str,
    *,
    step: str,
    peer: str | None = None,
    retry_after: float | None = None,
) -> NotRun:
    """Return a `NotRun`; `message` tells the caller what to do."""
    return NotRun(
        status=int(status),
        code=code,
        message=message,
        step=step,
        peer=peer,
        retry_after=retry_after,
    )


def key_reused(*, step: str) -> NotRun:
    """Return the refusal of a request key that was used with another request."""
    return refuse(
        http.HTTPStatus.UNPROCESSABLE_ENTITY,
        "key_reused",
        "The Idempotency-Key was used with another request; use a new key.",
        step=step,
    )


def router_failed(*, step: str) -> Unknown:
    """Return the outcome of a request that failed by an error in this host."""
    return Unknown(
        status=int(http.HTTPStatus.INTERNAL_SERVER_ERROR),
        code="internal_error",
        message="The router failed; retry with the same Idempotency-Key.",
        step=step,
    )
