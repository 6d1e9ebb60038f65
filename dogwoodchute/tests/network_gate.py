"""A gate between one host of a test and everything outside it."""

import asyncio


class NetworkGate:
    """What a host's every word to the outside passes."""

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
        await self._open.wait()
        if self.dead:
            await asyncio.Event().wait()

    def guard(self, operation):
        async def gated(*arguments):
            await self.wait_until_open()
            result = await operation(*arguments)
            await self.wait_until_open()
            return result

        return gated
