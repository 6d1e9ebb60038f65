"""Controllers: long-running tasks of the daemon, registered explicitly."""

import asyncio
import typing
from collections import abc

from dogwoodchute import log

STOP_BOUND = 5.0  # seconds for one controller


class Controller(typing.NamedTuple):
    """One controller. `stop` flushes what must last before the host exits."""

    name: str
    start: abc.Callable[[], abc.Awaitable[None]]
    stop: abc.Callable[[], abc.Awaitable[None]]


async def start_all(controllers: list[Controller]) -> None:
    """Start controllers in order."""
    for controller in controllers:
        await controller.start()
        log.info("controller_started", controller=controller.name)


async def stop_all(controllers: list[Controller]) -> None:
    """Stop controllers in reverse order, going on past a failure or `STOP_BOUND`."""
    for controller in reversed(controllers):
        try:
            async with asyncio.timeout(STOP_BOUND):
                await controller.stop()
        except Exception:
            log.exception("controller_stop_failed", controller=controller.name)


def periodic(
    name: str,
    step: abc.Callable[[], abc.Awaitable[None]],
    *,
    interval: float | abc.Callable[[], float],
    final: abc.Callable[[], abc.Awaitable[None]] | None = None,
) -> Controller:
    """Return a controller that awaits `step` every `interval` seconds.

    A failed step is logged and tried again at the next interval. `final` runs on stop.
    """
    tasks: list[asyncio.Task] = []

    async def run() -> None:
        while True:
            try:
                await step()
            except Exception:
                log.exception("controller_step_failed", controller=name)
            await asyncio.sleep(interval() if callable(interval) else interval)

    async def start() -> None:
        tasks.append(asyncio.create_task(run(), name=name))

    async def stop() -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        tasks.clear()
        if final is not None:
            await final()

    return Controller(name, start, stop)
