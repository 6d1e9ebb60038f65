"""How often hosts write account rows, so that the store's rates suffice.

The store bounds the commits a second to each part and of the whole fleet. Accounts are
spread over some parts, and hosts write the rows of one part together. Rows of hosts
that draw ahead for others come first: after a restart their age decides how much of the
tokens comes back. Bills of accounts without granted tokens may wait longest.
"""

import math
import random
import typing

PARTS = 3  # of the account rows, as many as the fleet's rate can keep busy
SPREAD = 1.5  # the most accounts of a part, against the mean
FIRST_PAUSE = 0.05  # seconds on average, after a second conflict in a row
MAX_PAUSE = 0.8  # seconds on average; the pause doubles up to it


class Rates(typing.NamedTuple):
    """The commits a second that the store takes."""

    part: float = 200.0
    fleet: float = 600.0


class Pace(typing.NamedTuple):
    """How often one kind of rows is written."""

    least: float  # seconds between two commits
    share: float  # of the store's rates


AHEAD = Pace(0.35, 0.3)  # of accounts for which a host draws for others too
OWN = Pace(0.35, 0.2)  # of accounts with granted tokens for the host's own requests
BILLS = Pace(2.0, 0.1)  # of accounts without granted tokens


def homes(*, accounts: int, regions: int, hosts: int) -> int:
    """Return the hosts that draw ahead for others in one part, an upper estimate."""
    return max(1, min(hosts, math.ceil(SPREAD * accounts * regions / PARTS)))


def interval(pace: Pace, *, writers: int, rates: Rates) -> float:
    """Return the seconds between commits of a host to a part, with `writers` hosts."""
    by_part = writers / (pace.share * rates.part)
    by_fleet = writers * PARTS / (pace.share * rates.fleet)
    return max(pace.least, by_part, by_fleet)


def slowed(rates: Rates, seconds: float) -> Rates:
    """Return the rates while a commit takes so many seconds, 0 for as usual."""
    if seconds <= 0:
        return rates
    return rates._replace(part=min(rates.part, 1 / seconds))


def conflict_pause(conflicts: int) -> float:
    """Return the seconds before a draw that met so many conflicts in a row.

    The first conflict tells the row's version, so the next try may follow at once.
    After that a draw meets those of other hosts; if all tried again at once, they would
    fill the part's queue and meet again.
    """
    if conflicts <= 1:
        return 0.0
    mean = min(MAX_PAUSE, FIRST_PAUSE * 2.0 ** min(conflicts - 2, 10))
    return mean * random.uniform(0.0, 2.0)
