"""Samples an endpoint's latency from the requests in flight there."""

import dataclasses
import statistics
import typing

from dogwoodchute.coordination import ejection, limits


class Progress(typing.NamedTuple):
    """The part of an answer that has arrived; times are in monotonic seconds."""

    first_token: float | None = None
    last_token: float | None = None
    tokens: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class Watch:
    """One request in flight and its last sampled progress."""

    begin: float  # monotonic seconds of dispatch, plus the prompt's processing time
    seen: Progress = Progress()
    overdue: bool = False  # its missing first token has been sampled as late


class Means(typing.NamedTuple):
    """Mean seconds of an interval, None where there is no sample."""

    first_token: float | None
    token_gap: float | None


class Samples:
    """Samples of one endpoint since its last evaluation."""

    def __init__(self) -> None:
        self._first_tokens: list[float] = []
        self._token_gaps: list[float] = []

    def add(
        self, watch: Watch, progress: Progress, now: float, targets: limits.Targets
    ) -> None:
        """Sample one request.

        A first token or a next token that is much overdue counts as a sample of the
        time that it has taken so far.
        """
        seen = watch.seen
        if progress.first_token is None:
            max_wait = ejection.SLOW_RATIO * targets.first_token
            if not watch.overdue and now - watch.begin > max_wait:
                watch.overdue = True
                self._first_tokens.append(now - watch.begin)
            return
        watch.seen = progress
        if seen.first_token is None and not watch.overdue:
            self._first_tokens.append(max(0.0, progress.first_token - watch.begin))
        since = seen.last_token or progress.first_token
        tokens = progress.tokens - max(1, seen.tokens)
        if tokens > 0:
            self._token_gaps.append((progress.last_token - since) / tokens)
        elif now - since > ejection.SLOW_RATIO * targets.token_gap:
            self._token_gaps.append(now - since)

    def means(self) -> Means:
        """Return the means of all samples."""
        return Means(_mean(self._first_tokens), _mean(self._token_gaps))


def _mean(values: list[float]) -> float | None:
    return statistics.fmean(values) if values else None
