"""The seam to the platform's object store: immutable large values by name."""

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
    """The store gave no answer."""

    reason: str
    step: str = "objects"
    peer: str | None = None


class Objects(typing.NamedTuple):
    """The operations of an object store. Names may hold slashes."""

    put: abc.Callable[[str, bytes], abc.Awaitable[Stored | Unavailable]]
    get: abc.Callable[[str], abc.Awaitable[Found | Absent | Unavailable]]
    list: abc.Callable[[str], abc.Awaitable[list[str] | Unavailable]]
    delete: abc.Callable[[str], abc.Awaitable[Stored | Unavailable]]
