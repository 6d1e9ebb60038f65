"""Keeps the HTTP client library from sending a request again on its own."""

import aiohttp


class Broken(aiohttp.ClientError):
    """The connection broke after the request may have been sent."""


async def middleware(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request once; raise `Broken` where the library would retry it."""
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise Broken(str(error) or type(error).__name__) from error
