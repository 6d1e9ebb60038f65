"""Interface of the platform's host list.

It names live and leaving hosts and may be out of date.
"""

import dataclasses
import typing
from collections import abc


class ListedHost(typing.NamedTuple):
    """One entry of the list."""

    address: str  # IP number, with a port for endpoints
    leaving: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostList:
    """The list as of `revision`, which never decreases at one source."""

    revision: int
    hosts: dict[str, ListedHost]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """The host list did not answer."""

    reason: str
    step: str = "hostlist"
    peer: str | None = None


class Hosts(typing.NamedTuple):
    """The one operation of a host list: fetch all of it."""

    fetch: abc.Callable[[], abc.Awaitable[HostList | Unavailable]]
