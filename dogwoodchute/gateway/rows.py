"""The interface to the platform's store: rows in partitioned tables.

A partition is called `part`; all checks and puts of a commit belong to one partition.
Versions come from one counter of the whole store, so a version check never passes by
coincidence. Version 0 stands for an absent row.

A store that was away may come back from an older copy, without what was written since.
That begins a new era, whose versions are all higher than those of the eras before.
"""

import dataclasses
import typing
from collections import abc

ERA_SPAN = 10**12  # versions of one era


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version // ERA_SPAN


def number_of(version: int) -> int:
    """Return a version's number in its era; a copy and what it restores share them."""
    return version % ERA_SPAN


def version_of(era: int, number: int) -> int:
    """Return the version with a number in an era."""
    return era * ERA_SPAN + number


class Row(typing.NamedTuple):
    """One row; `value` is None where a change removed it."""

    key: str
    value: bytes | None
    version: int
    table: str = ""
    part: str = ""


class Check(typing.NamedTuple):
    """A condition of a commit: the row has this version, 0 for absent."""

    table: str
    key: str
    version: int


class Put(typing.NamedTuple):
    """A row's new value, None to remove it."""

    table: str
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rows:
    """The rows of a read or the changed rows of a feed, as of `version`.

    `now` is the time of the answer in seconds, by the store's steady clock.
    """

    rows: list[Row]
    version: int
    now: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Compacted:
    """The store no longer has the requested history."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Committed:
    """The commit took effect; all its rows have `version`."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """A check failed and nothing was written; `rows` are the checked ones."""

    rows: list[Row]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """A read without an answer, or a commit that certainly has no effect.

    `overloaded` says that the store has too many commits of the partition.
    """

    reason: str
    step: str = "store"
    peer: str | None = None
    overloaded: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """No answer came to a commit: it may have taken effect, or may yet."""

    reason: str
    step: str = "store"
    peer: str | None = None


ReadOutcome = Rows | Unavailable
FeedOutcome = Rows | Compacted | Unavailable
CommitOutcome = Committed | Conflict | Unavailable | Unknown


class Store(typing.NamedTuple):
    """The operations of a store.

    `read(table, part, first, stop)` reads a partition's rows with keys from `first`,
    inclusive, to `stop`, exclusive; None leaves an end open.
    `feed(table, since, wait)` returns what changed after version `since`, waiting up to
    `wait` seconds for a change. `commit(part, checks, puts)` is atomic.
    """

    read: abc.Callable[[str, str, str | None, str | None], abc.Awaitable[ReadOutcome]]
    feed: abc.Callable[[str, int, float], abc.Awaitable[FeedOutcome]]
    now: abc.Callable[[], float]  # seconds, never ahead of the store's steady clock
    commit: abc.Callable[[str, list[Check], list[Put]], abc.Awaitable[CommitOutcome]]
    era: abc.Callable[[], int] = lambda: 0  # the latest that an answer told
    # Whether bytes of a table's rows are arriving now.
    receiving: abc.Callable[[str], bool] = lambda table: False
