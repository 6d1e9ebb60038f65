"""Outcomes of a request, as told to its caller.

A request ends in exactly one of `Answered`, `NotRun` and `Unknown`. `NotRun` is used
only where no byte of the request can have taken effect at an endpoint.
"""

import dataclasses
import http


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """The caller got, or may now be sent the end of, the whole answer."""

    status: int
    tokens: int
    endpoint: str
    replayed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The request certainly had no effect and was not billed."""

    status: int
    code: str
    message: str
    step: str
    peer: str | None = None
    retry_after: float | None = None  # seconds


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The request may have run, in part or in whole."""

    status: int
    code: str
    message: str
    step: str
    peer: str | None = None
    tokens: int = 0
    retry_after: float | None = None  # seconds
    may_rerun: bool = False  # idempotent, and the caller has seen none of an answer


Outcome = Answered | NotRun | Unknown


def label(outcome: Outcome) -> str:
    """Return the name of an outcome as callers see it."""
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
    """Build a `NotRun`; `message` says what the caller should do."""
    return NotRun(
        status=int(status),
        code=code,
        message=message,
        step=step,
        peer=peer,
        retry_after=retry_after,
    )


def key_reused(*, step: str) -> NotRun:
    """Build the refusal of a request key that was used with another request."""
    return refuse(
        http.HTTPStatus.UNPROCESSABLE_ENTITY,
        "key_reused",
        "The Idempotency-Key was used with another request; use a new key.",
        step=step,
    )


def router_failed(*, step: str) -> Unknown:
    """Build the outcome of a request that a fault of the router ended."""
    return Unknown(
        status=int(http.HTTPStatus.INTERNAL_SERVER_ERROR),
        code="internal_error",
        message="The router failed; retry with the same Idempotency-Key.",
        step=step,
    )
