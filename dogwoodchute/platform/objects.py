"""Interface of the platform's object store, which holds large immutable values."""

import dataclasses
import typing
from collections import abc


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stored:
    """The object is in the store."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Found:
    """The content of an object."""

    content: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Absent:
    """The store has no such object."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """The store did not answer."""

    reason: str
    step: str = "objects"
    peer: str | None = None


class Objects(typing.NamedTuple):
    """The operations of an object store; names of objects may have slashes."""

    put: abc.Callable[[str, bytes], abc.Awaitable[Stored | Unavailable]]
    get: abc.Callable[[str], abc.Awaitable[Found | Absent | Unavailable]]
    list: abc.Callable[[str], abc.Awaitable[list[str] | Unavailable]]
    delete: abc.Callable[[str], abc.Awaitable[Stored | Unavailable]]
