"""An event loop in virtual time: it jumps to the next timer when nothing is ready."""

import asyncio
import selectors


class Loop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them; `time()` is virtual seconds."""

    def __init__(self) -> None:
        self._virtual = 1000.0
        super().__init__(_Selector(self))

    def time(self) -> float:
        """Return the virtual time."""
        return self._virtual

    def advance(self, seconds: float) -> None:
        """Advance the virtual time."""
        self._virtual += seconds

    def run_for(self, seconds: float) -> None:
        """Run everything that is due within `seconds` of virtual time."""
        self.run_until_complete(asyncio.sleep(seconds))

    def finish(self) -> None:
        """Cancel all tasks and close the loop."""
        self.run_until_complete(_cancel(asyncio.all_tasks(self)))
        self.close()


async def _cancel(tasks: set[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class _Selector(selectors.SelectSelector):
    def __init__(self, loop: Loop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("no callback is ready and no timer is set")
        if timeout > 0:
            self._loop.advance(timeout)
        return super().select(0)
