"""Signed tokens by which a caller continues a stream on another host."""

import dataclasses
import typing

from dogwoodchute.coordination import signed_tokens

PURPOSE = "resume"


class Ticket(typing.NamedTuple):
    """The payload of a resume token: the run that the token continues."""

    account: str
    request_key: str
    endpoint: str
    reserved: int  # tokens
    fingerprint: str  # of the request, which must be sent again unchanged
    expires: int  # wall-clock seconds
    # Of the engine when the stream began, empty if unknown: its address, and a digest
    # of its software.
    address: str = ""
    software: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Invalid:
    """The token was not made by this fleet, or it has expired."""

    code: str  # "bad_resume_token" or "resume_token_expired"
    step: str = "resume"


def sign(ticket: Ticket, *, fleet_key: str) -> str:
    """Return the token of `ticket`."""
    return signed_tokens.sign(list(ticket), purpose=PURPOSE, fleet_key=fleet_key)


def verify(token: str, *, fleet_key: str, now: float) -> Ticket | Invalid:
    """Return the ticket of a token; `now` is in wall-clock seconds."""
    payload = signed_tokens.verify(token, purpose=PURPOSE, fleet_key=fleet_key)
    if payload is None:
        return Invalid(code="bad_resume_token")
    # A host of a later version may have added fields.
    ticket = Ticket(*payload[: len(Ticket._fields)])
    if now >= ticket.expires:
        return Invalid(code="resume_token_expired")
    return ticket
