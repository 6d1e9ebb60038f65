"""Helpers of several test modules."""

import asyncio
import os
from collections import abc

import hypothesis
import testtools
import uvloop

from dogwoodchute import log

SEED = os.environ.get("DOGWOODCHUTE_FUZZ_SEED")
EXAMPLES = int(os.environ.get("DOGWOODCHUTE_FUZZ_EXAMPLES", "0"))


class TestCase(testtools.TestCase):
    """Base class of all tests."""

    run_tests_with = testtools.RunTest

    def run_async(self, coroutine: abc.Coroutine, *, timeout: float = 60.0) -> object:
        """Run `coroutine` on a new uvloop event loop and return its result.

        Raises `TimeoutError` after `timeout` seconds.
        """

        async def with_timeout() -> object:
            return await asyncio.wait_for(coroutine, timeout)

        return uvloop.run(with_timeout())

    def collect_lines(self, event: str) -> list[dict[str, object]]:
        """Return a list that gets the fields of each line of `event` logged as info."""
        lines = []
        logged = log.info

        def info(name: str, **fields: object) -> None:
            logged(name, **fields)
            if name == event:
                lines.append(fields)

        self.patch(log, "info", info)
        return lines


async def until(condition: abc.Callable[[], object], *, seconds: float = 20.0) -> None:
    """Wait until `condition` returns true; fail after `seconds`."""
    for _ in range(int(seconds / 0.005)):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition stayed false")


async def until_async(
    condition: abc.Callable[[], abc.Awaitable[object]], *, seconds: float = 20.0
) -> None:
    """Wait until `condition`, awaited, returns true; fail after `seconds`."""
    for _ in range(int(seconds / 0.05)):
        if await condition():
            return
        await asyncio.sleep(0.05)
    raise AssertionError("the condition stayed false")


def fuzz_settings(examples: int, steps: int = 50) -> hypothesis.settings:
    """Return settings of `examples` examples, derandomized unless a seed is set.

    `DOGWOODCHUTE_FUZZ_SEED` and `DOGWOODCHUTE_FUZZ_EXAMPLES` set the seed and the
    number of examples.
    """
    return hypothesis.settings(
        max_examples=EXAMPLES or examples,
        stateful_step_count=steps,
        derandomize=SEED is None,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
