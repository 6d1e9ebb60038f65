"""The seam to the platform's host list, which names live and leaving hosts and lags."""

import dataclasses
import typing
from collections import abc


class ListedHost(typing.NamedTuple):
    """One entry of the list; `address` is an IP number, with a port for endpoints."""

    address: str
    leaving: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostList:
    """The list as of `revision`, which never decreases at one source."""

    revision: int
    hosts: dict[str, ListedHost]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """The host list gave no answer."""

    reason: str
    step: str = "hostlist"
    peer: str | None = None


class Hosts(typing.NamedTuple):
    """The operation of a host list."""

    fetch: abc.Callable[[], abc.Awaitable[HostList | Unavailable]]
