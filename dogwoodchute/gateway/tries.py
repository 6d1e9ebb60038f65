"""How one try of a call at one endpoint may end."""

import dataclasses

from dogwoodchute import outcomes
from dogwoodchute.gateway import upstream


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The endpoint said that it did not run the call."""

    status: int
    peer: str
    reason: str = "the endpoint refused"
    step: str = "answer"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Erred:
    """The endpoint answered with a failure of its own, which may be passed on."""

    answer: upstream.Head
    body: bytes
    peer: str
    reason: str = "the endpoint failed"
    step: str = "answer"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Abandoned:
    """The endpoint was too slow, and the budget has paid for another try."""

    reason: str
    peer: str
    step: str = "answer"


Failure = upstream.NotSent | upstream.Lost | Abandoned
Try = outcomes.Answered | Failure | Refused | Erred
