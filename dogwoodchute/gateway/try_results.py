"""The results that one try of a call at an endpoint may have."""

import dataclasses
import typing

from dogwoodchute import outcomes
from dogwoodchute.gateway import calls, upstream


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The endpoint declared that it did not run the call."""

    status: int
    peer: str
    reason: str = "the endpoint refused"
    step: str = "answer"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Erred:
    """The endpoint answered with an error, which may be forwarded to the caller."""

    answer: upstream.Head
    body: bytes
    peer: str
    reason: str = "the endpoint failed"
    step: str = "answer"


class Taken(typing.NamedTuple):
    """An endpoint works on a call: the head of its answer was received."""

    send: calls.Send
    answer: upstream.Answer


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Abandoned:
    """The endpoint was silent, and another one has taken the call meanwhile.

    `lost` is the failure with which the silent endpoint ended, if it did.
    """

    reason: str
    peer: str
    successor: Taken
    lost: upstream.Lost | None = None
    step: str = "answer"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unrecorded:
    """The stream must not begin, as its software version couldn't be written down."""

    peer: str
    reason: str = "the software version of the stream couldn't be written down"
    step: str = "answer"


Failure = upstream.NotSent | upstream.Lost | Abandoned
TryResult = outcomes.Answered | Failure | Refused | Erred | Unrecorded
