"""Graceful shutdown: withdraw the host, finish requests, write bills, return grants."""

import asyncio
import typing
from collections import abc

import prometheus_client

from dogwoodchute import log, state

SETTLE_SHARE = 0.1  # of the drain timeout, reserved for bills and grants
HAND_OVER_BOUND = 5.0  # seconds
POLL = 0.05  # seconds between checks for requests in flight
DRAINING = prometheus_client.Gauge("dogwoodchute_draining", "1 while the host drains.")


Step = abc.Callable[[], abc.Awaitable[object]]


class Steps(typing.NamedTuple):
    """The steps of a drain, in this order."""

    leave: Step  # withdraws the host from locate answers
    close: Step  # refuses new connections; awaited at each check
    count_pending: abc.Callable[[], int]  # requests in flight and open connections
    settle: dict[str, Step]  # by name: write bills to the store, then return grants
    hand_over: dict[str, Step]  # by name: give peers what the store did not accept


class Drain:
    """Drains a host, once in the life of its process."""

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
        self._must_finish_now = False
        self._started_at = 0.0

    @property
    def phase(self) -> str:
        """`serving`, `draining` or `drained`."""
        if self.done.is_set():
            return "drained"
        return "serving" if self._task is None else "draining"

    def begin(self, reason: str) -> None:
        """Begin to drain; further calls do nothing."""
        if self._task is not None:
            return
        log.info("drain_begun", reason=reason, in_flight=self._host.in_flight)
        DRAINING.set(1)
        self._host.draining = True
        self._started_at = self._host.now()
        self._task = asyncio.create_task(self._run())

    def finish_now(self, reason: str) -> None:
        """Finish the drain without waiting for requests in flight or for the store."""
        self.begin(reason)
        log.warning("drain_hurried", reason=reason, in_flight=self._host.in_flight)
        self._must_finish_now = True

    async def _run(self) -> None:
        config = self._host.config
        await self._try("leave", self._steps.leave)
        await self._wait(config.drain.linger, until_idle=False)
        await self._wait(config.limits.drain_timeout, until_idle=True)
        await self._settle()
        log.info(
            "drain_done",
            in_flight=self._host.in_flight,
            seconds=f"{self._host.now() - self._started_at:.1f}",
        )
        self.done.set()

    async def _wait(self, bound: float, *, until_idle: bool) -> None:
        """Wait until `bound` seconds after the drain's start, or until `finish_now`.

        With `until_idle`, closes connections and ends early once no request is left.
        """
        longest = (1 - SETTLE_SHARE) * self._host.config.limits.drain_timeout
        bound = min(bound, longest)
        while not self._must_finish_now and self._host.now() - self._started_at < bound:
            if until_idle:
                await self._try("close", self._steps.close)
            if until_idle and self._steps.count_pending() == 0:
                return
            await self._sleep(POLL)

    async def _settle(self) -> None:
        """Write bills and return grants; hand over what the store does not accept."""
        seconds_left = self._host.config.limits.drain_timeout
        seconds_left -= self._host.now() - self._started_at
        if seconds_left > 0 and not self._must_finish_now:
            settling = asyncio.create_task(self._try_all(self._steps.settle))
            while (
                not settling.done() and not self._must_finish_now and seconds_left > 0
            ):
                await asyncio.wait([settling], timeout=POLL)
                seconds_left -= POLL
            settling.cancel()
            await asyncio.gather(settling, return_exceptions=True)
        handing_over = asyncio.create_task(self._try_all(self._steps.hand_over))
        await asyncio.wait([handing_over], timeout=HAND_OVER_BOUND)
        handing_over.cancel()

    async def _try_all(self, steps: dict[str, Step]) -> None:
        for name, step in steps.items():
            await self._try(name, step)

    async def _try(self, name: str, step: Step) -> None:
        try:
            await step()
        except Exception:
            log.exception("drain_step_failed", drain_step=name)
