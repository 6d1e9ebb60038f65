"""Endpoints that are cold, and this host's share of the rate that each of them takes.

An endpoint is cold for some seconds after its start, and may become so again at any
moment. It says so in its row and in answers. Those of a data centre that was evacuated
count as cold when it is taken back, as their rows may be older than that.
"""

import math
import typing
from collections import abc

import prometheus_client

from dogwoodchute import log
from dogwoodchute.coordination import named_limits, warmup
from dogwoodchute.gateway import model
from dogwoodchute.gateway.places import evacuations
from dogwoodchute.gateway.warmup import recent_hosts

cold_endpoints = prometheus_client.Gauge(
    "dogwoodchute_cold_endpoints", "Endpoints that take few requests, as they are cold."
)
cold_sends = prometheus_client.Counter(
    "dogwoodchute_cold_sends", "Requests that were sent to cold endpoints."
)


class _Cold(typing.NamedTuple):
    """A phase in which an endpoint is cold."""

    until: float  # monotonic seconds
    rate: float  # requests a second from all hosts
    share: named_limits.Share  # of this host
    hosts: tuple[str, ...]  # the others between which the rate is divided


class ColdEndpoints:
    """The endpoints that are cold now.

    `service_of` returns a service of the configuration.
    """

    def __init__(
        self,
        *,
        host: str,
        others: recent_hosts.RecentHosts,
        service_of: abc.Callable[[str], model.Service | None],
        evacuated: evacuations.Evacuations,
        bounds: model.Bounds,
        now: abc.Callable[[], float],
    ) -> None:
        self._host = host
        self._others = others
        self._service_of = service_of
        self._evacuated = evacuated
        self._divide = warmup.divider(
            overrun=bounds.cold_overrun, slack=bounds.cold_slack
        )
        self._now = now
        # Monotonic seconds until which endpoints said that they are cold.
        self._said_until: dict[str, float] = {}
        self._cold: dict[str, _Cold] = {}

    @property
    def may_have_any(self) -> bool:
        """Whether an endpoint may be cold; cheap to ask for each request."""
        return bool(self._said_until or self._cold) or self._evacuated.has_ended_lately

    def hear(self, endpoint: str, cold_for: float) -> None:
        """Heed that an endpoint says for how many seconds it stays cold."""
        if cold_for <= 0:
            self._said_until.pop(endpoint, None)
            return
        self._said_until[endpoint] = self._now() + cold_for

    def is_cold(self, endpoint: model.Endpoint) -> bool:
        """Return whether an endpoint is slow, and takes few requests."""
        return self._phase(endpoint) is not None

    def wait(self, endpoint: model.Endpoint) -> float:
        """Return the seconds until this host may send to an endpoint.

        This is at most the time until the endpoint isn't cold any more.
        """
        cold = self._phase(endpoint)
        if cold is None:
            return 0.0
        now = self._now()
        left = cold.until - now
        return min(cold.share.wait(now), left) if self._others.is_settled else left

    def take(self, endpoint: model.Endpoint) -> None:
        """Count a request that is sent to an endpoint."""
        cold = self._phase(endpoint)
        if cold is not None:
            cold_sends.inc()
            cold.share.take(self._now())

    def granted(self, endpoints: abc.Iterable[model.Endpoint]) -> float:
        """Return the requests a second that this host may send to cold endpoints."""
        phases = (self._phase(each) for each in endpoints)
        return sum(cold.share.granted for cold in phases if cold is not None)

    def forget(self, endpoint: str) -> None:
        """Drop what an endpoint said, as it is gone or was restarted."""
        self._said_until.pop(endpoint, None)
        if endpoint in self._cold:
            self._end(endpoint, "endpoint gone")

    def _phase(self, endpoint: model.Endpoint) -> _Cold | None:
        """Return the phase in which an endpoint is cold, None if it isn't."""
        service = self._service_of(endpoint.service)
        until = self._cold_until(endpoint, service)
        if until <= self._now():
            self._said_until.pop(endpoint.id, None)
            if endpoint.id in self._cold:
                self._end(endpoint.id, "warm")
            return None
        cold = self._cold.get(endpoint.id)
        if cold is None:
            return self._begin(endpoint, service.cold_rate, until)
        hosts = self._others.names
        if cold.rate != service.cold_rate or cold.hosts is not hosts:
            cold.share.update(service.cold_rate, hosts, self._now())
        if cold[:2] != (until, service.cold_rate) or cold.hosts is not hosts:
            cold = _Cold(until, service.cold_rate, cold.share, hosts)
            self._cold[endpoint.id] = cold
        return cold

    def _cold_until(
        self, endpoint: model.Endpoint, service: model.Service | None
    ) -> float:
        """Return the monotonic seconds at which an endpoint is warm."""
        if service is None or service.cold_rate <= 0:
            return -math.inf
        until = self._said_until.get(endpoint.id, -math.inf)
        returned_at = self._evacuated.ended_at(endpoint.data_centre)
        if returned_at is not None:
            until = max(until, returned_at + service.cold_start)
        return until

    def _begin(self, endpoint: model.Endpoint, rate: float, until: float) -> _Cold:
        now = self._now()
        hosts = self._others.names
        # Hosts know one another before the endpoint is cold, so shares hold at once.
        share = named_limits.Share(
            endpoint=endpoint.id, host=self._host, now=now, divide=self._divide
        )
        share.update(rate, hosts, now, growth_delay=0.0)
        cold = self._cold[endpoint.id] = _Cold(until, rate, share, hosts)
        cold_endpoints.set(len(self._cold))
        log.info(
            "endpoint_cold",
            endpoint=endpoint.id,
            data_centre=endpoint.data_centre,
            seconds=f"{until - now:.3f}",
            rate=f"{rate:g}",
            share=f"{share.granted:.3f}",
            hosts=1 + len(hosts),
        )
        return cold

    def _end(self, endpoint: str, reason: str) -> None:
        del self._cold[endpoint]
        cold_endpoints.set(len(self._cold))
        log.info("endpoint_warm", endpoint=endpoint, reason=reason)
