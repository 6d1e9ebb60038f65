"""Makes a report on the burn rates of service-level objectives from summaries."""

import typing

from hdrh import histogram

from dogwoodchute import catalog
from dogwoodchute.coordination import burn

MAX_ENDPOINTS = 3  # named for one objective
SERIES_WIDTH = 300  # seconds


class Objective(typing.TypedDict):
    """How well one objective of one service is met."""

    service: str
    measure: str
    target: float  # share
    bound: float  # seconds, 0 if the measure has none
    total: int
    bad: int
    p50: float | None  # seconds
    p95: float | None  # seconds
    rates: list[list[float]]  # [long window, short window, long rate, short rate]
    burning: str  # urgency, empty if nothing burns
    since: float | None  # epoch seconds
    places: list[list[object]]  # [place, share of the bad events]
    endpoints: list[list[object]]  # [endpoint, bad, total]
    series: list[list[float]]  # [epoch seconds, burn rate]


def objectives_of(service: catalog.Service) -> list[tuple[str, float, float]]:
    """Return the measure, target share and bound in seconds of each objective.

    Objectives without a target are left out.
    """
    found = [
        (burn.AVAILABILITY, service.availability, 0.0),
        (burn.FALSE_REFUSALS, service.false_refusals, 0.0),
        (burn.FIRST_TOKEN, service.first_token_share, service.first_token_seconds),
        (
            burn.BETWEEN_TOKENS,
            service.between_tokens_share,
            service.between_tokens_seconds,
        ),
    ]
    return [objective for objective in found if objective[1] > 0]


def make(
    services: dict[str, catalog.Service], summaries: list[dict], now: float
) -> list[Objective]:
    """Return how all objectives are met, those with an alert first."""
    report = []
    for service in services.values():
        for measure, target, bound in objectives_of(service):
            buckets = buckets_of(summaries, service.name, measure)
            found = _objective(service.name, measure, target, bound, buckets, now)
            found["endpoints"] = _worst_endpoints(summaries, service.name, measure)
            found["p50"], found["p95"] = _percentiles(summaries, service.name, measure)
            report.append(found)
    report.sort(key=lambda o: (not o["burning"], -o["rates"][0][2], o["service"]))
    return report


def buckets_of(summaries: list[dict], service: str, measure: str) -> list[burn.Bucket]:
    """Return the buckets of one measure in all summaries."""
    buckets = []
    for summary in summaries:
        places = summary["buckets"].get(service, {}).get(measure, {})
        for place, leaves in places.items():
            for start, (total, bad) in leaves.items():
                count = burn.Count(total, bad)
                width = float(summary["width"])
                buckets.append(burn.Bucket(float(start), width, place, count))
    return buckets


def _objective(
    service: str,
    measure: str,
    target: float,
    bound: float,
    buckets: list[burn.Bucket],
    now: float,
) -> Objective:
    count = burn.within(buckets, now, burn.WINDOWS[-1].long)
    rates = []
    for window in burn.WINDOWS:
        long_rate = burn.burn_rate(burn.within(buckets, now, window.long), target)
        short_rate = burn.burn_rate(burn.within(buckets, now, window.short), target)
        rates.append([window.long, window.short, long_rate, short_rate])
    alert = burn.alert(buckets, target, now)
    return Objective(
        service=service,
        measure=measure,
        target=target,
        bound=bound,
        total=count.total,
        bad=count.bad,
        p50=None,
        p95=None,
        rates=rates,
        burning=alert.window.urgency if alert is not None else "",
        since=alert.since if alert is not None else None,
        places=[list(place) for place in alert.places] if alert is not None else [],
        endpoints=[],
        series=_burn_series(buckets, target),
    )


def _burn_series(buckets: list[burn.Bucket], target: float) -> list[list[float]]:
    counts: dict[float, burn.Count] = {}
    for bucket in buckets:
        start = bucket.start // SERIES_WIDTH * SERIES_WIDTH
        total, bad = counts.get(start, burn.Count(0, 0))
        count = bucket.count
        counts[start] = burn.Count(total + count.total, bad + count.bad)
    return [[t, burn.burn_rate(counts[t], target)] for t in sorted(counts)]


def _worst_endpoints(
    summaries: list[dict], service: str, measure: str
) -> list[list[object]]:
    counts: dict = {}
    for summary in summaries:
        burn.merge(counts, summary["endpoints"].get(service, {}).get(measure, {}))
    worst = [[name, bad, total] for name, (total, bad) in counts.items() if bad]
    worst.sort(key=lambda row: (-row[1], row[0]))
    return worst[:MAX_ENDPOINTS]


def _percentiles(
    summaries: list[dict], service: str, measure: str
) -> tuple[float | None, float | None]:
    merged = None
    for summary in summaries:
        encoded = summary["times"].get(service, {}).get(measure)
        if encoded is None:
            continue
        if merged is None:
            merged = histogram.HdrHistogram.decode(encoded)
        else:
            merged.decode_and_add(encoded)
    if merged is None:
        return None, None
    percentiles = [merged.get_value_at_percentile(p) / 1000 for p in (50, 95)]
    return percentiles[0], percentiles[1]
