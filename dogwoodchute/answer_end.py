"""Whether an answer of an endpoint or a host is whole, or was broken off.

The kernel of a process that is killed closes its connections in the same way as the
process does after its last byte. So the end of a connection proves nothing, and an
answer that has no other end is whole only if its content shows it.
"""

import json

import aiohttp

from dogwoodchute import endpoint_connection


def check_whole(response: aiohttp.ClientResponse, body: bytes) -> None:
    """Raise `aiohttp.ClientPayloadError` unless `body` is the whole of an answer.

    That of an answer with a length or in chunks is, once it has been read.
    """
    if tells_its_end(response):
        return
    # The response has dropped its connection by now, its reader has not.
    connection = getattr(response.content, "_protocol", None)
    if connection is None or connection.was_reset:
        raise aiohttp.ClientPayloadError("reset before the end of the answer")
    if not _has_closed_json(response, body):
        raise aiohttp.ClientPayloadError("nothing but its connection's end ended it")


def tells_its_end(response: aiohttp.ClientResponse) -> bool:
    """Return whether the head of an answer tells where its body ends."""
    return endpoint_connection.framing(response) != endpoint_connection.NO_FRAMING


def is_closed_json(body: bytes) -> bool:
    """Return whether a body is JSON of which no shorter part would be JSON too."""
    try:
        content = json.loads(body)
    except (ValueError, RecursionError):
        return False
    return isinstance(content, dict | list | str)


def _has_closed_json(response: aiohttp.ClientResponse, body: bytes) -> bool:
    """Return whether the head tells of JSON and the body is closed."""
    is_json = response.content_type.endswith(("/json", "+json"))
    is_encoded = "Content-Encoding" in response.headers
    return is_json and not is_encoded and is_closed_json(body)
