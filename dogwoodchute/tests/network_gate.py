"""A gate on all communication of one host of a test."""

import asyncio


class NetworkGate:
    """Holds back what a host sends and receives while it is paused or dead."""

    def __init__(self):
        self.dead = False
        self._open = asyncio.Event()
        self._open.set()

    @property
    def paused(self):
        return not self._open.is_set()

    def pause(self):
        self._open.clear()

    def resume(self):
        self._open.set()

    async def wait_until_open(self):
        """Wait while the host is paused, and forever if it is dead."""
        await self._open.wait()
        if self.dead:
            await asyncio.Event().wait()

    def guard(self, operation):
        """Return a coroutine function that passes the gate before and after."""

        async def gated(*arguments):
            await self.wait_until_open()
            result = await operation(*arguments)
            await self.wait_until_open()
            return result

        return gated
