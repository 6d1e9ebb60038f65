"""Reads the bodies of answers up to a limit, whatever their sender does."""

import json

import aiohttp

MAX_REPORT = 1 << 20  # bytes of what an endpoint tells of itself


async def read(response: aiohttp.ClientResponse, *, limit: int) -> bytes:
    """Return the whole body of an answer.

    Raises `aiohttp.ClientPayloadError` if it exceeds `limit` bytes, and the errors of
    the connection.
    """
    parts = []
    size = 0
    async for data in response.content.iter_any():
        parts.append(data)
        size += len(data)
        if size > limit:
            raise aiohttp.ClientPayloadError(f"the answer exceeds {limit} bytes")
    return b"".join(parts)


async def read_report(response: aiohttp.ClientResponse) -> object:
    """Return the decoded JSON of an endpoint's answer about itself.

    Raises `ValueError` if it can't be decoded, and otherwise as `read` does.
    """
    return json.loads(await read(response, limit=MAX_REPORT))
