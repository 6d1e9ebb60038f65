"""Disables the HTTP client library's own retries of requests."""

import aiohttp


# The name appears in messages to callers, through `type(error).__name__`.
class Broken(aiohttp.ClientError):
    """The connection failed after the request may have been sent."""


async def middleware(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request once.

    Raises `Broken` for errors after which the library would send it again on a new
    connection; errors of connecting pass unchanged.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise Broken(str(error) or type(error).__name__) from error
