"""Burn rates of service-level objectives: how fast error budgets are spent, and where.

Follows the multi-window, multi-burn-rate method of the Google SRE Workbook, chapter
"Alerting on SLOs": an objective alerts if its burn rate is above a threshold over both
a long and a short window. The long window makes the alert significant, the short one
ends it soon after its cause. At a burn rate of 1, events are bad exactly as often as
the objective allows.
"""

import typing
from collections import abc

AVAILABILITY = "availability"
FALSE_REFUSALS = "false_refusals"
FIRST_TOKEN = "first_token"
BETWEEN_TOKENS = "between_tokens"
MEASURES = (AVAILABILITY, FALSE_REFUSALS, FIRST_TOKEN, BETWEEN_TOKENS)


class Window(typing.NamedTuple):
    """A pair of windows and the burn rate that they alert on."""

    long: float  # seconds
    short: float  # seconds
    rate: float
    urgency: str


WINDOWS = (
    Window(3600.0, 300.0, 14.4, "page"),
    Window(21_600.0, 1800.0, 6.0, "page"),
    Window(259_200.0, 21_600.0, 1.0, "ticket"),
)


class Count(typing.NamedTuple):
    """The number of events, and of bad ones among them."""

    total: int
    bad: int


class Bucket(typing.NamedTuple):
    """The events of one measure at one place in a span of time."""

    start: float  # epoch seconds
    width: float  # seconds
    place: str  # region/data centre of the endpoints
    count: Count


class Alert(typing.NamedTuple):
    """An objective whose burn rate is too high."""

    window: Window
    long_rate: float
    short_rate: float
    since: float  # epoch seconds
    places: list[
        tuple[str, float]
    ]  # place and its share of the bad events, worst first


def burn_rate(count: Count, target: float) -> float:
    """Return how many times faster than allowed the error budget is used.

    `target` is the share of events that must be good, below 1.
    """
    if count.total == 0:
        return 0.0
    return count.bad / count.total / (1.0 - target)


def within(buckets: abc.Iterable[Bucket], now: float, seconds: float) -> Count:
    """Return the sum of the buckets that start in the last `seconds`."""
    total = bad = 0
    for bucket in buckets:
        if now - seconds <= bucket.start <= now:
            total += bucket.count.total
            bad += bucket.count.bad
    return Count(total, bad)


def alert(buckets: list[Bucket], target: float, now: float) -> Alert | None:
    """Return the most urgent alert of one objective, None if there is none."""
    for window in WINDOWS:
        long_rate = burn_rate(within(buckets, now, window.long), target)
        short_rate = burn_rate(within(buckets, now, window.short), target)
        if long_rate < window.rate or short_rate < window.rate:
            continue
        since = burning_since(buckets, target, now - window.long)
        places = places_of(buckets, now - window.long)
        return Alert(window, long_rate, short_rate, since, places)
    return None


def burning_since(buckets: list[Bucket], target: float, start: float) -> float:
    """Return when the current burn began, in epoch seconds, not before `start`.

    Goes back from the newest bucket with events as long as the burn rate of each bucket
    is at least 1.
    """
    by_start: dict[float, Count] = {}
    for bucket in buckets:
        if bucket.start < start:
            continue
        so_far = by_start.get(bucket.start, Count(0, 0))
        total = so_far.total + bucket.count.total
        by_start[bucket.start] = Count(total, so_far.bad + bucket.count.bad)
    since = max(by_start, default=start)
    for began in sorted(by_start, reverse=True):
        count = by_start[began]
        if count.total == 0:
            continue
        if burn_rate(count, target) < 1.0:
            break
        since = began
    return since


def places_of(buckets: list[Bucket], start: float) -> list[tuple[str, float]]:
    """Return each place's share of the bad events since `start`, worst first."""
    bad: dict[str, int] = {}
    for bucket in buckets:
        if bucket.start >= start and bucket.count.bad:
            bad[bucket.place] = bad.get(bucket.place, 0) + bucket.count.bad
    total = sum(bad.values())
    shares = [(place, count / total) for place, count in bad.items()]
    return sorted(shares, key=lambda share: (-share[1], share[0]))


def merge(into: dict, other: dict) -> dict:
    """Add the counts of nested dicts with ``[total, bad]`` leaves to `into`."""
    for key, value in other.items():
        if isinstance(value, dict):
            merge(into.setdefault(key, {}), value)
            continue
        total, bad = into.get(key, (0, 0))
        into[key] = [total + value[0], bad + value[1]]
    return into
