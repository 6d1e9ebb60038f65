"""How often hosts write account rows, so that the store's rate limits suffice.

The store limits the commits per second to each partition ("part") and those of the
whole fleet. Accounts are spread over `PARTS` partitions. A host writes its due rows of
one partition together.

An account has a home host in each region, which draws tokens in advance for all hosts
of the region. Rows of home hosts are written most often, since their age decides how
many tokens are recovered after a restart. Bills of accounts without granted tokens may
wait longest.
"""

import math
import random
import typing

PARTS = 3  # store partitions of account rows: the fleet's rate limit fills no more
SPREAD = 1.5  # accounts of the fullest partition, relative to the mean
FIRST_PAUSE = 0.05  # mean seconds after the second conflict in a row
MAX_PAUSE = 0.8  # mean seconds; the pause doubles up to this


class Rates(typing.NamedTuple):
    """The store's rate limits, in commits per second."""

    part: float = 200.0  # to one partition
    fleet: float = 600.0  # of all hosts


class CommitRate(typing.NamedTuple):
    """How often one kind of rows is written."""

    min_interval: float  # seconds between two commits, lower bound
    rate_share: float  # of the store's rate limits


# Rows of accounts whose home host is this one.
HOME_COMMITS = CommitRate(0.35, 0.3)
# Rows with granted tokens for the host's own requests only.
OWN_COMMITS = CommitRate(0.35, 0.2)
# Rows of accounts without granted tokens.
BILL_COMMITS = CommitRate(2.0, 0.1)


def max_home_hosts(*, accounts: int, regions: int, hosts: int) -> int:
    """Return an upper estimate of the home hosts that write to one partition."""
    return max(1, min(hosts, math.ceil(SPREAD * accounts * regions / PARTS)))


def commit_interval(commit_rate: CommitRate, *, writers: int, rates: Rates) -> float:
    """Return the seconds between one host's commits to a partition.

    `writers` hosts write rows of this kind to each partition.
    """
    part_interval = writers / (commit_rate.rate_share * rates.part)
    fleet_interval = writers * PARTS / (commit_rate.rate_share * rates.fleet)
    return max(commit_rate.min_interval, part_interval, fleet_interval)


def rates_of_slow_store(rates: Rates, seconds: float) -> Rates:
    """Return the rate limits while each commit takes `seconds`.

    A value of 0 means that commits are as fast as usual.
    """
    if seconds <= 0:
        return rates
    return rates._replace(part=min(rates.part, 1 / seconds))


def conflict_pause(conflicts: int) -> float:
    """Return the seconds before a draw is retried after `conflicts` in a row.

    The answer that reports the first conflict holds the row's version, so the retry may
    follow at once. Further conflicts are with draws of other hosts. If all of them
    retried at once, they would fill the partition's queue and conflict again, so the
    pause grows exponentially and is random.
    """
    if conflicts <= 1:
        return 0.0
    mean = min(MAX_PAUSE, FIRST_PAUSE * 2.0 ** min(conflicts - 2, 10))
    return mean * random.uniform(0.0, 2.0)
