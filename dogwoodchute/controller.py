"""Controllers: background tasks of the daemon, which lists them explicitly."""

import asyncio
import typing
from collections import abc

from dogwoodchute import log

STOP_TIMEOUT = 5.0  # seconds for one controller


class Controller(typing.NamedTuple):
    """One controller. `stop` saves what must outlast the process."""

    name: str
    start: abc.Callable[[], abc.Awaitable[None]]
    stop: abc.Callable[[], abc.Awaitable[None]]


async def start_all(controllers: list[Controller]) -> None:
    """Start controllers in order."""
    for controller in controllers:
        await controller.start()
        log.info("controller_started", controller=controller.name)


async def stop_all(controllers: list[Controller]) -> None:
    """Stop controllers in reverse order.

    Logs one that fails or exceeds `STOP_TIMEOUT` and goes on with the next.
    """
    for controller in reversed(controllers):
        try:
            async with asyncio.timeout(STOP_TIMEOUT):
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

    A failed step is logged and run again after the next interval. `final` runs on stop.
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
