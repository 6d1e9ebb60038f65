"""The results that one try of a call at an endpoint may have."""

import dataclasses

from dogwoodchute import outcomes
from dogwoodchute.gateway import upstream


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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Abandoned:
    """The endpoint was too slow, and a retry was taken from the budget."""

    reason: str
    peer: str
    step: str = "answer"


Failure = upstream.NotSent | upstream.Lost | Abandoned
TryResult = outcomes.Answered | Failure | Refused | Erred
