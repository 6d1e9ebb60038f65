"""In which order waiting requests are served, so that what waits costs callers least.

This answers the load of an account, or of an endpoint, that has too little room for
some tenths of a second: whatever the order, some requests wait in vain, and the order
decides which. More urgent ones go first. Among equally urgent ones a small request goes
before a large one that came shortly before it, as the large one's place serves several
small ones. A large one is passed only by what comes within `MAX_PASS` seconds of it, so
it reaches the head however many small ones follow, and does not starve.
"""

import typing

MAX_PASS = 0.1  # seconds; half of the shortest wait for tokens and more
# Tokens of a request that is passed by what comes within half of that.
TYPICAL_WORK = 4096


class Rank(typing.NamedTuple):
    """The place of a request; the lowest is served first."""

    priority: int  # 0 is the most urgent
    counts_from: float  # seconds; the time of arrival and an allowance for its work
    number: int  # of arrival


def rank(*, priority: int, arrived_at: float, work: int, number: int = 0) -> Rank:
    """Return the place of a request that arrived at `arrived_at` (seconds).

    `work` is what it needs of the thing that is short, in tokens.
    """
    work = max(0, work)
    allowance = MAX_PASS * work / (work + TYPICAL_WORK)
    return Rank(priority, arrived_at + allowance, number)
