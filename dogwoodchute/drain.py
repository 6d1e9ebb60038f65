"""Graceful shutdown: leave, finish what is in flight, settle the money, then exit."""

import asyncio
import typing
from collections import abc

import prometheus_client

from dogwoodchute import log, state

SETTLE_SHARE = 0.1  # of the bound, kept for bills and grants
HAND_OVER_BOUND = 5.0  # seconds
POLL = 0.05  # seconds between looks at what is in flight
DRAINING = prometheus_client.Gauge("dogwoodchute_draining", "1 while the host drains.")


Step = abc.Callable[[], abc.Awaitable[object]]


class Steps(typing.NamedTuple):
    """What a drain does to the host, in this order, and what it waits for."""

    leave: Step  # out of locate answers
    close: Step  # no new connections; awaited again and again
    busy: abc.Callable[[], int]  # requests and connections that are not done
    settle: dict[str, Step]  # by name, in order: bills into the store, grants back
    hand_over: dict[str, Step]  # by name: to peers, what the store did not take


class Drain:
    """The one drain of a host's life."""

    def __init__(
        self,
        *,
        host: state.HostState,
        steps: Steps,
        sleep: abc.Callable[[float], abc.Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.done = asyncio.Event()
        self._host = host
        self._steps = steps
        self._sleep = sleep
        self._task: asyncio.Task | None = None
        self._hurried = False
        self._began = 0.0

    @property
    def phase(self) -> str:
        """`serving`, `draining` or `drained`."""
        if self.done.is_set():
            return "drained"
        return "serving" if self._task is None else "draining"

    def begin(self, reason: str) -> None:
        """Begin to drain; a repeat changes nothing."""
        if self._task is not None:
            return
        log.info("drain_begun", reason=reason, in_flight=self._host.in_flight)
        DRAINING.set(1)
        self._host.draining = True
        self._began = self._host.now()
        self._task = asyncio.create_task(self._run())

    def hurry(self, reason: str) -> None:
        """End the drain now, without waiting for what is in flight."""
        self.begin(reason)
        log.warning("drain_hurried", reason=reason, in_flight=self._host.in_flight)
        self._hurried = True

    async def _run(self) -> None:
        config = self._host.config
        await self._try("leave", self._steps.leave)
        await self._wait(config.drain.linger, until_idle=False)
        await self._wait(config.limits.drain_timeout, until_idle=True)
        await self._settle()
        log.info(
            "drain_done",
            in_flight=self._host.in_flight,
            seconds=f"{self._host.now() - self._began:.1f}",
        )
        self.done.set()

    async def _wait(self, bound: float, *, until_idle: bool) -> None:
        """Wait for `bound` seconds from the drain's start, for less if hurried."""
        most = (1 - SETTLE_SHARE) * self._host.config.limits.drain_timeout
        bound = min(bound, most)
        while not self._hurried and self._host.now() - self._began < bound:
            if until_idle:
                await self._try("close", self._steps.close)
            if until_idle and self._steps.busy() == 0:
                return
            await self._sleep(POLL)

    async def _settle(self) -> None:
        """Write bills and return grants; hand over what the store does not take."""
        left = self._host.config.limits.drain_timeout
        left -= self._host.now() - self._began
        if left > 0 and not self._hurried:
            settling = asyncio.create_task(self._try_all(self._steps.settle))
            while not settling.done() and not self._hurried and left > 0:
                await asyncio.wait([settling], timeout=POLL)
                left -= POLL
            settling.cancel()
            await asyncio.gather(settling, return_exceptions=True)
        handing = asyncio.create_task(self._try_all(self._steps.hand_over))
        await asyncio.wait([handing], timeout=HAND_OVER_BOUND)
        handing.cancel()

    async def _try_all(self, steps: dict[str, Step]) -> None:
        for name, step in steps.items():
            await self._try(name, step)

    async def _try(self, name: str, step: Step) -> None:
        try:
            await step()
        except Exception:
            log.exception("drain_step_failed", drain_step=name)
