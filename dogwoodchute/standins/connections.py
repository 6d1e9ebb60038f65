"""Connection faults that the HTTP stand-ins share."""

import asyncio

from aiohttp import web

FOREVER = 3600.0  # seconds


class Connections:
    """The connections of a stand-in, and the faults of its connections.

    If `down` is set, each new request has its connection reset.
    """

    def __init__(self) -> None:
        self.down = False
        self._seen: set[tuple] = set()
        self._silenced: set[tuple] = set()

    def silence(self) -> None:
        """Send nothing more on the present connections; new ones work."""
        self._silenced |= self._seen

    async def accept(self, request: web.Request) -> None:
        """Accept a new request, or reset or silence its connection."""
        if self.down:
            self.reset(request)
        self._seen.add(_remote(request))
        await self.wait_if_silenced(request)

    async def wait_if_silenced(self, request: web.Request) -> None:
        """Return at once, but never on a silenced connection."""
        if _remote(request) in self._silenced:
            await asyncio.sleep(FOREVER)

    def reset(self, request: web.Request) -> None:
        """Reset the connection of `request`; raises `ConnectionResetError`."""
        if request.transport is not None:
            request.transport.abort()
        raise ConnectionResetError("reset by the stand-in")


def _remote(request: web.Request) -> tuple:
    if request.transport is None:
        return ()
    return tuple(request.transport.get_extra_info("peername") or ())
