"""Whether an endpoint's process has ended, as far as a connection can tell."""

import asyncio

from dogwoodchute import log

TIMEOUT = 0.2  # seconds to connect


async def has_ended(address: str) -> bool:
    """Return whether nothing listens at an address of host and port.

    Without a clear answer the process is taken to run.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(TIMEOUT):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError) as error:
        reason = str(error) or type(error).__name__
        log.info("endpoint_unclear", address=address, reason=reason)
        return False
    writer.close()
    return False
