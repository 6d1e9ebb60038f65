"""Shares of the rate that an endpoint in need takes from all hosts together.

Hosts divide a rate without talking. Rendezvous hashing ranks them for each endpoint;
the first ones hold equal shares, the others leave the endpoint out. The lower the rate,
the fewer hosts hold a share, so that each share lets a request pass now and then, and
what all hosts may send at once stays below what the rate allows in some seconds.

Hosts' lists of one another differ for moments. A share that grows is therefore used
some time later than one that shrinks is given up.
"""

import math
import typing
from collections import abc

from dogwoodchute.coordination import ranking

MIN_SHARE = 0.25  # requests a second
# Hosts that hold shares beyond one for each request a second. Each may send one request
# at any moment, whatever its share.
SPARE_HOLDERS = 3
GROWTH_DELAY = 2.0  # seconds; hosts learn of each other's changes sooner
KEPT = 0.2  # seconds: unused permits of that time are kept, and at least one
# Requests a second to an endpoint that takes none, so that the end of that is heard.
PROBE_RATE = 0.1
ROUNDING = 1e-6  # requests


class Division(typing.NamedTuple):
    """How a rate is divided between hosts."""

    holders: int  # hosts that hold a share
    share: float  # requests a second of each


# Divides a rate, in requests a second, between a number of hosts.
Divide = abc.Callable[[float, int], Division]


def holder_count(rate: float, hosts: int) -> int:
    """Return how many of `hosts` hold a share of `rate` requests a second."""
    wanted = min(rate / MIN_SHARE, rate + SPARE_HOLDERS, hosts)
    return max(1, int(wanted))


def divide(rate: float, hosts: int) -> Division:
    """Divide a rate that an endpoint names; one that takes nothing is still probed."""
    rate = max(rate, PROBE_RATE)
    holders = holder_count(rate, hosts)
    return Division(holders, rate / holders)


class Share:
    """What one host may send of one endpoint's rate, as permits for single requests.

    Times are monotonic seconds.
    """

    def __init__(
        self,
        *,
        endpoint: str,
        host: str,
        now: float,
        divide: Divide = divide,
    ) -> None:
        self._divide = divide
        self._endpoint = endpoint
        self._host = host
        self._rate = 0.0  # in use now, requests a second
        self._granted = 0.0  # the rate that this host holds by what it knows
        self._grows_at = math.inf  # when `_granted`, if it is larger, comes into use
        self._first_permit = 0.0  # seconds after that until the first permit
        self._permits = 0.0
        self._counted_at = now

    @property
    def granted(self) -> float:
        """Requests a second that this host holds, or will hold in a moment."""
        return self._granted

    def update(
        self,
        rate: float,
        others: abc.Collection[str],
        now: float,
        *,
        growth_delay: float = GROWTH_DELAY,
    ) -> None:
        """Divide `rate` between this host and `others`.

        A share that has grown is used after `growth_delay` seconds.
        """
        self._count(now)
        holders, share = self._divide(rate, 1 + len(others))
        own = ranking.score(self._endpoint, self._host, 1.0)
        place = sum(ranking.score(self._endpoint, each, 1.0) > own for each in others)
        self._granted = share if place < holders else 0.0
        self._first_permit = (place + 1) / (holders * share)
        if not self._granted:
            self._permits = 0.0
        if self._granted <= self._rate:
            self._rate = self._granted
            self._grows_at = math.inf
        elif math.isinf(self._grows_at):
            self._grows_at = now + growth_delay

    def wait(self, now: float) -> float:
        """Return the seconds until a request may be sent, infinity if others may."""
        self._count(now)
        missing = 1.0 - self._permits
        if missing <= ROUNDING:
            return 0.0
        if self._rate:
            return missing / self._rate
        return max(0.0, self._grows_at - now) + self._first_permit

    def take(self, now: float) -> None:
        """Use a permit for a request that is sent."""
        self._count(now)
        self._permits -= 1.0

    def _count(self, now: float) -> None:
        if now >= self._grows_at:
            self._add_permits(self._grows_at)
            if not self._rate:
                # Hosts that begin together get their first permits one after another.
                self._permits = 1.0 - self._granted * self._first_permit
            self._rate, self._grows_at = self._granted, math.inf
        self._add_permits(now)

    def _add_permits(self, now: float) -> None:
        """Add the permits since the last count, of which some are kept."""
        new = self._rate * (now - self._counted_at)
        self._permits = min(max(1.0, KEPT * self._rate), self._permits + new)
        self._counted_at = now
