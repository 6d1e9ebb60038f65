"""Counts the commits of account rows, for the log and the metrics."""

import collections
from collections import abc

import prometheus_client

from dogwoodchute import log, metrics

LOG_INTERVAL = 5.0  # seconds between two log lines
CHECKPOINT = "checkpoint"
DRAW = "draw"
LIMIT = "limit"  # only raises the limit up to which tokens may be used
BILLS = "bills"  # of accounts that hold no granted tokens

commits = prometheus_client.Counter(
    "dogwoodchute_account_commits",
    "Commits of account rows, by kind and how they ended.",
    ["kind", "outcome"],
)
commit_seconds = prometheus_client.Histogram(
    "dogwoodchute_account_commit_seconds",
    "Seconds until it was certain how a commit of account rows ended.",
    ["kind"],
    buckets=metrics.SECONDS_BUCKETS,
)


class Counts:
    """Counts of commits since the last log line."""

    def __init__(self, *, now: abc.Callable[[], float]) -> None:
        self._now = now
        self._logged_at = now()
        self._kinds: collections.Counter[str] = collections.Counter()
        self._parts: collections.Counter[str] = collections.Counter()
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._slowest = 0.0  # seconds

    def record(self, kind: str, part: str, outcome: str, seconds: float) -> None:
        """Count one commit that ended after `seconds`."""
        commits.labels(kind, outcome).inc()
        commit_seconds.labels(kind).observe(seconds)
        self._kinds[kind] += 1
        self._parts[part] += 1
        self._outcomes[outcome] += 1
        self._slowest = max(self._slowest, seconds)
        if self._now() - self._logged_at >= LOG_INTERVAL:
            self._log()

    def _log(self) -> None:
        log.info(
            "account_commits",
            seconds=f"{self._now() - self._logged_at:.1f}",
            kinds=_format_counts(self._kinds),
            parts=_format_counts(self._parts),
            outcomes=_format_counts(self._outcomes),
            slowest=f"{self._slowest:.3f}",
        )
        self._logged_at = self._now()
        self._slowest = 0.0
        for counter in (self._kinds, self._parts, self._outcomes):
            counter.clear()


def _format_counts(counter: collections.Counter[str]) -> str:
    return ",".join(f"{name}:{count}" for name, count in sorted(counter.items()))
