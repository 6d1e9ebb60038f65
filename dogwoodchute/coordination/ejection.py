"""Ejects endpoints that fail or are far slower than the others, and readmits them.

After the outlier detection of Envoy: consecutive failures or an outlying latency eject
an endpoint for a time that doubles with each ejection. At most a share `MAX_SHARE` of a
service's endpoints is ejected at once. A readmitted endpoint gets requests in a slow
start.
"""

import math
import statistics
import typing

FAILURES = 3  # consecutive
MIN_SAMPLES = 5
SLOW_RATIO = 3.0  # times the median of the service's endpoints
SLOW_STREAK = 3  # consecutive slow samples that eject an endpoint
SMOOTHING = 0.3  # weight of the newest sample
BASE_TIME = 5.0  # seconds of a first ejection
MAX_TIME = 60.0  # seconds
FORGET_TIME = 120.0  # seconds in service after which earlier ejections no longer count
MAX_SHARE = 0.34  # of a service's endpoints
SLOW_START = 10.0  # seconds
MIN_WEIGHT = 0.1  # at the beginning of a slow start


class Floors(typing.NamedTuple):
    """Latencies in seconds up to which an endpoint never counts as slow."""

    first_token: float = 0.6
    token_gap: float = 0.026


class _Record:
    """The state of one endpoint."""

    def __init__(self) -> None:
        self.failures = 0  # consecutive
        self.samples = 0
        self.slow = 0  # consecutive slow samples
        self.first_token: float | None = None  # smoothed seconds
        self.token_gap: float | None = None  # smoothed seconds
        self.ejections = 0  # that still count
        self.ejected_until = -math.inf
        self.reason = ""

    def reset(self) -> None:
        self.failures = 0
        self.samples = 0
        self.slow = 0
        self.first_token = None
        self.token_gap = None


class Ejector:
    """The endpoints of one service and which of them are ejected."""

    def __init__(self, *, floors: Floors) -> None:
        self.ejections = 0
        self._floors = floors
        self._records: dict[str, _Record] = {}

    def configure(self, endpoints: list[str]) -> None:
        """Set the endpoints; the state of those that were known is kept."""
        self._records = {n: self._records.get(n) or _Record() for n in endpoints}

    def weight(self, endpoint: str, now: float) -> float:
        """Return the share of its usual load that an endpoint gets now.

        0 while it is ejected, less than 1 in a slow start, otherwise 1.
        """
        record = self._records.get(endpoint)
        if record is None or record.ejections == 0:
            return 1.0
        if now < record.ejected_until:
            return 0.0
        return min(1.0, max(MIN_WEIGHT, (now - record.ejected_until) / SLOW_START))

    def reason(self, endpoint: str, now: float) -> str:
        """Return why an endpoint is ejected, empty if it is not."""
        record = self._records.get(endpoint)
        return (
            record.reason if record is not None and now < record.ejected_until else ""
        )

    def record_failure(self, endpoint: str, now: float) -> bool:
        """Count a failed connection or call; return whether that ejected it."""
        record = self._records.get(endpoint)
        if record is None:
            return False
        record.failures += 1
        # During a slow start a single failure ejects the endpoint again.
        returning = record.ejections > 0 and now - record.ejected_until < SLOW_START
        if record.failures < FAILURES and not returning:
            return False
        return self._eject(record, now, "failures")

    def record_success(self, endpoint: str) -> None:
        """Count a successful connection, which ends a run of failures."""
        record = self._records.get(endpoint)
        if record is not None:
            record.failures = 0

    def observe(
        self,
        endpoint: str,
        now: float,
        *,
        first_token: float | None,
        token_gap: float | None,
    ) -> bool:
        """Record the mean latencies of a short interval.

        Both are in seconds, None without a sample. Return whether they ejected the
        endpoint.
        """
        record = self._records.get(endpoint)
        if record is None:
            return False
        record.failures = 0
        record.samples += 1
        record.first_token = _smooth(record.first_token, first_token)
        record.token_gap = _smooth(record.token_gap, token_gap)
        if now - record.ejected_until > FORGET_TIME:
            record.ejections = 0
        if record.samples < MIN_SAMPLES or not self._is_slow(record):
            record.slow = 0
            return False
        # When all endpoints slow down at once, the median follows within a few samples.
        record.slow += 1
        if record.slow < SLOW_STREAK:
            return False
        return self._eject(record, now, "slow")

    def _is_slow(self, record: _Record) -> bool:
        first = self._median(record, "first_token")
        if first is not None and record.first_token is not None:
            bound = max(self._floors.first_token, SLOW_RATIO * first)
            if record.first_token > bound:
                return True
        gap = self._median(record, "token_gap")
        if gap is None or record.token_gap is None:
            return False
        return record.token_gap > max(self._floors.token_gap, SLOW_RATIO * gap)

    def _median(self, record: _Record, field: str) -> float | None:
        """Return the median of a field of the other endpoints.

        None if none of them has enough samples.
        """
        known = []
        for other in self._records.values():
            value = getattr(other, field)
            if other is record or other.samples < MIN_SAMPLES or value is None:
                continue
            known.append(value)
        return statistics.median(known) if known else None

    def _eject(self, record: _Record, now: float, reason: str) -> bool:
        if now < record.ejected_until:
            return False
        ejected = sum(now < other.ejected_until for other in self._records.values())
        if ejected + 1 > MAX_SHARE * len(self._records):
            return False
        record.ejections += 1
        record.ejected_until = now + min(
            MAX_TIME, BASE_TIME * 2 ** (record.ejections - 1)
        )
        record.reason = reason
        record.reset()
        self.ejections += 1
        return True


def _smooth(mean: float | None, sample: float | None) -> float | None:
    if sample is None or mean is None:
        return mean if sample is None else sample
    return mean + SMOOTHING * (sample - mean)
