"""An event loop whose time advances by itself whenever nothing is ready."""

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
        """Move the virtual time on."""
        self._virtual += seconds

    def run_for(self, seconds: float) -> None:
        """Run everything that is due within `seconds`."""
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
            raise RuntimeError("nothing is left that could ever run")
        if timeout > 0:
            self._loop.advance(timeout)
        return super().select(0)
