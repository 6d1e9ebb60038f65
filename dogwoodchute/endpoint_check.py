"""Whether an endpoint's process runs, as far as a new connection can tell."""

import asyncio

from dogwoodchute import log

TIMEOUT = 0.2  # seconds to connect


async def has_ended(address: str) -> bool:
    """Return whether nothing listens at an address of host and port.

    Without a clear answer the process is taken to run.
    """
    return isinstance(await _connect(address), ConnectionRefusedError)


async def accepts(address: str) -> bool:
    """Return whether an address of host and port accepts a connection in time."""
    return await _connect(address) is None


async def _connect(address: str) -> OSError | TimeoutError | None:
    """Open a connection and close it; return the error if that fails."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(TIMEOUT):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError as error:
        return error
    except (OSError, TimeoutError) as error:
        reason = str(error) or type(error).__name__
        log.info("endpoint_unclear", address=address, reason=reason)
        return error
    writer.close()
    return None
