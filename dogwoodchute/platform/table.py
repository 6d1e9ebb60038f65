"""Interface of the platform's transactional table service.

A table holds rows by key. Each row has a version that no other state of any row ever
has, so a version check never passes by coincidence. Version 0 stands for "absent".

A commit's first write is its witness, the row that proves later whether the commit took
effect; `table_client` documents the rules for writers.
"""

import dataclasses
import random
import typing
from collections import abc


class Row(typing.NamedTuple):
    """One row as read."""

    key: str
    value: dict
    version: int
    commit_id: str  # the commit that wrote this version


class Check(typing.NamedTuple):
    """A condition of a commit: the row has this version, 0 for absent."""

    key: str
    version: int


class Write(typing.NamedTuple):
    """A change of a commit: the row's new value, None to delete it."""

    key: str
    value: dict | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Committed:
    """The commit took effect; `versions` maps each written key to its version."""

    versions: dict[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """A check failed and nothing was written.

    `rows` has the rows that fail their checks, None for one that is absent.
    """

    rows: dict[str, Row | None]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """The service was not reached: a commit has no effect and never will."""

    reason: str
    step: str = "table"
    peer: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """No answer arrived: the commit may have taken effect, or may do so later."""

    reason: str
    step: str = "table"
    peer: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rows:
    """The rows of a read or scan, by key; absent rows are left out."""

    rows: dict[str, Row]


CommitOutcome = Committed | Conflict | Unavailable | Unknown
ReadOutcome = Rows | Unavailable


class Table(typing.NamedTuple):
    """The operations of a table service, each atomic over its rows."""

    read: abc.Callable[[list[str]], abc.Awaitable[ReadOutcome]]
    scan: abc.Callable[[str], abc.Awaitable[ReadOutcome]]
    commit: abc.Callable[
        [str, list[Check], list[Write]], abc.Awaitable[CommitOutcome]
    ]  # arguments: commit id, checks, writes


def new_commit_id(rng: random.Random) -> str:
    """Return a new commit id."""
    return f"{rng.getrandbits(96):024x}"


def row_after_commit(key: str, value: dict, outcome: Committed) -> Row | None:
    """Return the row that a commit wrote, None if it may have been replaced since.

    The row's `commit_id` is empty.
    """
    if key not in outcome.versions:
        return None
    return Row(key, value, outcome.versions[key], "")
