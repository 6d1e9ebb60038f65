"""Helpers that several test modules use."""

import asyncio
import os
from collections import abc

import hypothesis
import testtools
import uvloop

SEED = os.environ.get("DOGWOODCHUTE_FUZZ_SEED")
EXAMPLES = int(os.environ.get("DOGWOODCHUTE_FUZZ_EXAMPLES", "0"))


class TestCase(testtools.TestCase):
    """Base of all tests; `run_async` runs a coroutine on a loop of its own."""

    run_tests_with = testtools.RunTest

    def run_async(self, coroutine: abc.Coroutine, *, timeout: float = 60.0) -> object:
        """Run `coroutine` on uvloop and return its result."""

        async def bounded() -> object:
            return await asyncio.wait_for(coroutine, timeout)

        return uvloop.run(bounded())


async def until(condition: abc.Callable[[], object], *, seconds: float = 20.0) -> None:
    """Wait until `condition` holds; fail after `seconds`."""
    for _ in range(int(seconds / 0.005)):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition did not come to hold")


async def until_async(
    condition: abc.Callable[[], abc.Awaitable[object]], *, seconds: float = 20.0
) -> None:
    """Wait until the coroutine function `condition` returns true."""
    for _ in range(int(seconds / 0.05)):
        if await condition():
            return
        await asyncio.sleep(0.05)
    raise AssertionError("the condition did not come to hold")


def fuzz_settings(examples: int, steps: int = 50) -> hypothesis.settings:
    """Return settings that are derandomized unless a fuzz seed is set."""
    return hypothesis.settings(
        max_examples=EXAMPLES or examples,
        stateful_step_count=steps,
        derandomize=SEED is None,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
