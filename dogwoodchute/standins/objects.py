"""An in-memory object store with faults on demand."""

import asyncio
from collections import abc

from dogwoodchute.platform import objects


class MemoryObjects:
    """Holds the objects.

    Faults: `down` makes every call `Unavailable`; `delay` is the seconds before each
    answer.
    """

    def __init__(self, *, sleep: abc.Callable = asyncio.sleep) -> None:
        self.contents: dict[str, bytes] = {}
        self.down = False
        self.delay = 0.0
        self._sleep = sleep

    def client(self) -> objects.Objects:
        """Return a client of the store."""

        async def put(
            name: str, content: bytes
        ) -> objects.Stored | objects.Unavailable:
            if await self._is_down_after_delay():
                return objects.Unavailable(reason="object store is down")
            self.contents[name] = content
            return objects.Stored()

        async def get(
            name: str,
        ) -> objects.Found | objects.Absent | objects.Unavailable:
            if await self._is_down_after_delay():
                return objects.Unavailable(reason="object store is down")
            if name not in self.contents:
                return objects.Absent()
            return objects.Found(content=self.contents[name])

        async def listing(prefix: str) -> list[str] | objects.Unavailable:
            if await self._is_down_after_delay():
                return objects.Unavailable(reason="object store is down")
            return sorted(name for name in self.contents if name.startswith(prefix))

        async def delete(name: str) -> objects.Stored | objects.Unavailable:
            if await self._is_down_after_delay():
                return objects.Unavailable(reason="object store is down")
            self.contents.pop(name, None)
            return objects.Stored()

        return objects.Objects(put=put, get=get, list=listing, delete=delete)

    async def _is_down_after_delay(self) -> bool:
        if self.delay:
            await self._sleep(self.delay)
        return self.down
