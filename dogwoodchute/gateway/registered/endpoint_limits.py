"""The rates that endpoints in need name in answers, and this host's share of them."""

import typing
from collections import abc

import prometheus_client

from dogwoodchute import log
from dogwoodchute.coordination import named_limits
from dogwoodchute.gateway import host_rows, model
from dogwoodchute.gateway.registered import endpoint_words

# Seconds after the last word on a limit. As long as requests are sent to the endpoint
# by any host, all of them hear of it more often.
LIFETIME = 60.0

limited_endpoints = prometheus_client.Gauge(
    "dogwoodchute_limited_endpoints", "Endpoints that name a limit to their requests."
)
limit_events = prometheus_client.Counter(
    "dogwoodchute_named_limits",
    "Limits of endpoints that began, changed, ended or were ignored as no number.",
    ["event"],
)


class _Limit(typing.NamedTuple):
    """A limit that an endpoint names."""

    rate: float  # requests a second from all hosts
    said_at: float  # monotonic seconds at which it was named last
    share: named_limits.Share  # of this host


class EndpointLimits:
    """The endpoints that name a limit now, or did until a moment ago."""

    def __init__(
        self,
        *,
        host: str,
        others: abc.Callable[[], tuple[host_rows.Host, ...]],
        now: abc.Callable[[], float],
    ) -> None:
        self._host = host
        self._others = others  # returns the same tuple until a host changes
        self._now = now
        self._last_others: tuple[host_rows.Host, ...] = ()
        self._names: list[str] = []  # of the other hosts
        self._limits: dict[str, _Limit] = {}  # by endpoint
        # Monotonic seconds at which endpoints named none any more, by endpoint.
        self._ended: dict[str, float] = {}
        self._reported: set[str] = set()  # endpoints with a logged bad value

    @property
    def has_any(self) -> bool:
        """Whether any endpoint names a limit."""
        return bool(self._limits)

    def hear(
        self, endpoint: model.Endpoint, rate: float | None, *, sent_at: float
    ) -> None:
        """Heed an answer to a request that was sent at `sent_at` (monotonic seconds).

        `rate` is None if the answer names no limit, which ends one.
        """
        if rate is not None:
            self._set(endpoint.id, rate, self._now(), endpoint_words.OWN_ANSWER)
            return
        limit = self._limits.get(endpoint.id)
        # An answer may have been made before the one that named the limit.
        if limit is not None and sent_at > limit.said_at:
            self._end(endpoint.id, self._now(), endpoint_words.OWN_ANSWER)

    def learn(self, name: str, rate: float | None, said_at: float) -> None:
        """Heed what another host heard at `said_at`, unless younger words are known."""
        limit = self._limits.get(name)
        known_at = limit.said_at if limit is not None else self._ended.get(name)
        if known_at is not None and said_at <= known_at:
            return
        if rate is not None:
            self._set(name, rate, said_at, endpoint_words.OTHER_HOST)
        elif limit is not None:
            self._end(name, said_at, endpoint_words.OTHER_HOST)
        else:
            self._ended[name] = said_at

    def said(self) -> list[tuple[str, float | None, float]]:
        """Return endpoints, the rates they named last (or None), and when."""
        named = [(name, each.rate, each.said_at) for name, each in self._limits.items()]
        return named + [(name, None, at) for name, at in self._ended.items()]

    def wait(self, name: str) -> float:
        """Return the seconds until this host may send to an endpoint.

        This is infinite if only other hosts may.
        """
        limit = self._limits.get(name)
        if limit is None:
            return 0.0
        if self._now() - limit.said_at > LIFETIME:
            self._end(name, limit.said_at, "expired")
            return 0.0
        self._follow_hosts()
        return limit.share.wait(self._now())

    def take(self, name: str) -> None:
        """Count a request that is sent to an endpoint."""
        limit = self._limits.get(name)
        if limit is not None:
            limit.share.take(self._now())

    def granted(self, names: abc.Iterable[str]) -> float:
        """Return the requests a second that this host may send to limited endpoints."""
        found = (self._limits.get(name) for name in names)
        return sum(limit.share.granted for limit in found if limit is not None)

    def ignore(self, endpoint: model.Endpoint, text: str) -> None:
        """Log, once for each endpoint, that it named a limit that is no number."""
        limit_events.labels("ignored").inc()
        if endpoint.id in self._reported:
            return
        self._reported.add(endpoint.id)
        log.warning("endpoint_limit_ignored", endpoint=endpoint.id, value=text[:80])

    def forget(self, name: str) -> None:
        """Drop what an endpoint named, as it is gone or was restarted."""
        self._reported.discard(name)
        if name in self._limits:
            self._end(name, self._now(), "endpoint gone")
        self._ended.pop(name, None)

    def _follow_hosts(self) -> None:
        """Divide all limits anew if the hosts have changed."""
        others = self._others()
        if others is self._last_others:
            return
        self._last_others = others
        self._names = [host.name for host in others]
        for limit in self._limits.values():
            limit.share.update(limit.rate, self._names, self._now())

    def _set(self, name: str, rate: float, said_at: float, source: str) -> None:
        self._follow_hosts()
        before = self._limits.get(name)
        if before is not None and before.rate == rate:
            self._limits[name] = before._replace(said_at=max(said_at, before.said_at))
            return
        now = self._now()
        share = before.share if before is not None else self._new_share(name, now)
        share.update(rate, self._names, now)
        self._limits[name] = _Limit(rate, said_at, share)
        self._ended.pop(name, None)
        limited_endpoints.set(len(self._limits))
        limit_events.labels("began" if before is None else "changed").inc()
        log.info(
            "endpoint_limit",
            endpoint=name,
            rate=f"{rate:g}",
            before=None if before is None else f"{before.rate:g}",
            share=f"{share.granted:.3f}",
            hosts=1 + len(self._names),
            source=source,
            age=f"{now - said_at:.3f}",
        )

    def _new_share(self, name: str, now: float) -> named_limits.Share:
        return named_limits.Share(endpoint=name, host=self._host, now=now)

    def _end(self, name: str, ended_at: float, source: str) -> None:
        limit = self._limits.pop(name)
        self._ended[name] = ended_at
        limited_endpoints.set(len(self._limits))
        limit_events.labels("ended").inc()
        log.info(
            "endpoint_limit_ended",
            endpoint=name,
            rate=f"{limit.rate:g}",
            source=source,
            age=f"{self._now() - ended_at:.3f}",
        )
