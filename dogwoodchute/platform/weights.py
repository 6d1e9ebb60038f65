"""Interface of the platform's weight store, which limits the rate of weight loads."""

import dataclasses
import typing
from collections import abc


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Permitted:
    """The load may start now."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Wait:
    """The rate limit is exhausted; request again after `seconds`."""

    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """The weight store did not answer."""

    reason: str
    step: str = "weights"
    peer: str | None = None


class Weights(typing.NamedTuple):
    """The one operation of a weight store: request to start the load `name`."""

    permit: abc.Callable[[str], abc.Awaitable[Permitted | Wait | Unavailable]]


def unlimited() -> Weights:
    """Return a weight store without a rate limit, for a deployment that has none."""

    async def permit(name: str) -> Permitted:
        return Permitted()

    return Weights(permit=permit)
