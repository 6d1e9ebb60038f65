"""Signed tokens: payloads that only holders of the fleet key can make.

A token is ``<payload>.<tag>``, both in URL-safe base64. The payload is JSON. The tag is
the HMAC-SHA256 (RFC 2104) of the payload under a key that is derived from the fleet key
for one purpose, so a token made for one purpose is invalid for another.
"""

import base64
import binascii
import hashlib
import hmac
import json


def sign(payload: list, *, purpose: str, fleet_key: str) -> str:
    """Return the token for a payload, a list that JSON can hold."""
    data = json.dumps(payload, separators=(",", ":")).encode()
    return f"{_encode(data)}.{_encode(_tag(data, purpose, fleet_key))}"


def verify(token: str, *, purpose: str, fleet_key: str) -> list | None:
    """Return the payload of a token, None if it is not valid for this purpose."""
    head, _, tail = token.partition(".")
    try:
        data, tag = _decode(head), _decode(tail)
    except (binascii.Error, ValueError):
        return None
    if not hmac.compare_digest(tag, _tag(data, purpose, fleet_key)):
        return None
    return json.loads(data)


def _tag(data: bytes, purpose: str, fleet_key: str) -> bytes:
    label = f"dogwoodchute {purpose} token v1".encode()
    key = hmac.digest(fleet_key.encode(), label, hashlib.sha256)
    return hmac.digest(key, data, hashlib.sha256)


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(text: str) -> bytes:
    padded = text + "=" * (-len(text) % 4)
    return base64.b64decode(padded.encode(), altchars=b"-_", validate=True)
