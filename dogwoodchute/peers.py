"""The interface through which a host calls the other hosts of its fleet."""

import dataclasses
import typing
from collections import abc


class Peer(typing.NamedTuple):
    """Another host, as its heartbeats and its row in the register describe it."""

    host: str
    incarnation: str
    region: str
    data_centre: str
    address: str  # IP number and port of its peer listener
    caller_address: str  # IP number and port of its caller listener
    alive: bool  # its heartbeats arrive
    leaving: bool
    hints: dict  # what it last reported of itself; may be outdated, so never relied on


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """A peer's answer to a call."""

    body: dict


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotSent:
    """The call certainly never reached the peer."""

    reason: str
    peer: str
    step: str = "peer"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoAnswer:
    """The call may have reached the peer; no answer came in time."""

    reason: str
    peer: str
    step: str = "peer"


CallOutcome = Answer | NotSent | NoAnswer
Handler = abc.Callable[[str, dict], abc.Awaitable[dict]]  # sending host, body


class Peers(typing.NamedTuple):
    """The operations of the peer layer. Bodies are maps that msgpack can encode."""

    call: abc.Callable[[str, str, dict, float], abc.Awaitable[CallOutcome]]
    # arguments: host, kind, body, timeout in seconds
    handle: abc.Callable[[str, Handler], None]  # registers the handler of a kind
    known: abc.Callable[[], list[Peer]]  # all other hosts, live or not
    set_hint: abc.Callable[[str, object], None]  # sets a hint that this host reports


def without_peers() -> Peers:
    """Return the peer layer of a host that has no peers."""

    async def call(host: str, kind: str, body: dict, timeout: float) -> CallOutcome:
        return NotSent(reason="no peers", peer=host)

    return Peers(
        call=call,
        handle=lambda kind, handler: None,
        known=list,
        set_hint=lambda name, value: None,
    )
