"""The seam to the platform's weight store, whose rate limit paces loads."""

import dataclasses
import typing
from collections import abc


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Permitted:
    """One load may start now."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Wait:
    """The rate limit is used up; ask again after `seconds`."""

    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """The weight store gave no answer."""

    reason: str
    step: str = "weights"
    peer: str | None = None


class Weights(typing.NamedTuple):
    """The operation of a weight store: asks to start a load, by a name for it."""

    permit: abc.Callable[[str], abc.Awaitable[Permitted | Wait | Unavailable]]


def unlimited() -> Weights:
    """Return the seam of a deployment that names no weight store."""

    async def permit(name: str) -> Permitted:
        return Permitted()

    return Weights(permit=permit)
