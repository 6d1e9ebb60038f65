"""Signed tokens that let a caller continue a stream on another host.

A token is ``<payload>.<tag>``, both in URL-safe base64: the payload is JSON, the tag is
HMAC-SHA256 (RFC 2104) of the payload under a key derived from the fleet key.
"""

import base64
import binascii
import dataclasses
import hashlib
import hmac
import json
from typing import NamedTuple

PURPOSE = b"dogwoodchute stream token v1"


class Ticket(NamedTuple):
    """What a token tells of the run that it continues."""

    account: str
    request_key: str
    endpoint: str
    reserved: int  # tokens
    fingerprint: str  # of the request, which must be sent again unchanged
    expires: int  # wall-clock seconds


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Invalid:
    """The token is not one of this fleet, or is no longer good."""

    code: str  # "bad_resume_token" or "resume_token_expired"
    step: str = "resume"


def sign(ticket: Ticket, *, fleet_key: str) -> str:
    """Return the token of `ticket`."""
    payload = json.dumps(ticket, separators=(",", ":")).encode()
    return f"{_encode(payload)}.{_encode(_tag(payload, fleet_key))}"


def verify(token: str, *, fleet_key: str, now: float) -> Ticket | Invalid:
    """Return the ticket of a token; `now` is in wall-clock seconds."""
    head, _, tail = token.partition(".")
    try:
        payload, tag = _decode(head), _decode(tail)
    except (binascii.Error, ValueError):
        return Invalid(code="bad_resume_token")
    if not hmac.compare_digest(tag, _tag(payload, fleet_key)):
        return Invalid(code="bad_resume_token")
    ticket = Ticket(*json.loads(payload))
    if now >= ticket.expires:
        return Invalid(code="resume_token_expired")
    return ticket


def _tag(payload: bytes, fleet_key: str) -> bytes:
    key = hmac.digest(fleet_key.encode(), PURPOSE, hashlib.sha256)
    return hmac.digest(key, payload, hashlib.sha256)


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(text: str) -> bytes:
    padded = text + "=" * (-len(text) % 4)
    return base64.b64decode(padded.encode(), altchars=b"-_", validate=True)
