"""The rates that endpoints in need name in answers, and what is logged of them."""

from collections import abc

import prometheus_client

from dogwoodchute import log
from dogwoodchute.gateway import model

OWN_ANSWER = "answer"  # the endpoint named it in an answer to this host

limited_endpoints = prometheus_client.Gauge(
    "dogwoodchute_limited_endpoints", "Endpoints that name a limit to their requests."
)
named_limits = prometheus_client.Counter(
    "dogwoodchute_named_limits",
    "Limits of endpoints that began, changed, ended or were ignored as no number.",
    ["event"],
)


class _Word:
    """What an endpoint named last, and when, in monotonic seconds."""

    def __init__(self, *, rate: float, said_at: float) -> None:
        self.rate = rate  # requests a second
        self.said_at = said_at


class EndpointLimits:
    """The endpoints that name a limit now."""

    def __init__(self, *, now: abc.Callable[[], float]) -> None:
        self._now = now
        self._words: dict[str, _Word] = {}  # by endpoint
        self._reported: set[str] = set()  # endpoints with a logged bad value

    def hear(
        self, endpoint: model.Endpoint, rate: float | None, *, sent_at: float
    ) -> None:
        """Heed an answer to a request that was sent at `sent_at` (monotonic seconds).

        `rate` is None if the answer names no limit, which ends one.
        """
        word = self._words.get(endpoint.id)
        if rate is None:
            # An answer may have been made before the one that named the limit.
            if word is not None and sent_at > word.said_at:
                self._end(endpoint.id)
            return
        self._set(endpoint.id, rate, self._now(), OWN_ANSWER)

    def ignore(self, endpoint: model.Endpoint, text: str) -> None:
        """Log, once for each endpoint, that it named a limit that is no number."""
        named_limits.labels("ignored").inc()
        if endpoint.id in self._reported:
            return
        self._reported.add(endpoint.id)
        log.warning("endpoint_limit_ignored", endpoint=endpoint.id, value=text[:80])

    def forget(self, name: str) -> None:
        """Drop what an endpoint named, as it is gone or was restarted."""
        self._reported.discard(name)
        if name in self._words:
            self._end(name)

    def _set(self, name: str, rate: float, said_at: float, source: str) -> None:
        word = self._words.get(name)
        before = None if word is None else word.rate
        if word is None:
            word = self._words[name] = _Word(rate=rate, said_at=said_at)
            limited_endpoints.set(len(self._words))
        word.rate, word.said_at = rate, said_at
        if rate == before:
            return
        named_limits.labels("began" if before is None else "changed").inc()
        age = self._now() - said_at
        log.info(
            "endpoint_limit",
            endpoint=name,
            rate=f"{rate:g}",
            before=None if before is None else f"{before:g}",
            source=source,
            age=f"{age:.3f}",
        )

    def _end(self, name: str) -> None:
        word = self._words.pop(name)
        limited_endpoints.set(len(self._words))
        named_limits.labels("ended").inc()
        log.info("endpoint_limit_ended", endpoint=name, rate=f"{word.rate:g}")
