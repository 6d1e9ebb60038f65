"""Divides the rate that a cold endpoint takes between hosts, without talking.

An endpoint that has just started is slow, and crashes if it gets far more requests a
second than its service names. This answers the load after a data centre was evacuated
or lost power: its endpoints come back cold, idle and at the same moment, and each host
would send them its next requests.
"""

import math

from dogwoodchute.coordination import named_limits

SPARE_HOLDERS = 3  # hosts that hold a share beyond one for each request a second
# Of the requests that an endpoint may get in one second, those that holders may send.
# The rest is for hosts whose lists of one another differ.
USED_SHARE = 0.7
MIN_SHARE = 0.25  # requests a second; a smaller share is left unused as a rule
BELOW = 0.999  # of a whole number of requests a second, so that no further one fits


def divider(*, overrun: float, slack: float) -> named_limits.Divide:
    """Return how the rate of a cold endpoint is divided.

    In one second the endpoint may get `overrun` times its rate, and `slack` requests
    more. Each holder of a share keeps one permit, so all of them may send at once.
    """

    def divide(rate: float, hosts: int) -> named_limits.Division:
        most = USED_SHARE * (overrun * rate + slack)  # requests in one second
        wanted = min(rate / MIN_SHARE, rate + SPARE_HOLDERS, most, hosts)
        holders = max(1, int(wanted))
        return named_limits.Division(holders, _share(rate, holders, most))

    return divide


def burst(share: float) -> int:
    """Return how many requests a holder of a share may send within one second."""
    kept = max(1.0, named_limits.KEPT * share)
    return max(1, math.ceil(kept - 1.0 + share))


def _share(rate: float, holders: int, most: float) -> float:
    """Return the requests a second of each holder, so that all send at most `most`."""
    share = rate / holders
    if holders * burst(share) <= max(1.0, most):
        return share
    return math.floor(most / holders) * BELOW
