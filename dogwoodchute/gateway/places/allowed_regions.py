"""The regions in which a request may be served and kept.

A route and a client account may each name regions. Where both do, both bind.
"""

import http
import typing
from collections import abc

import prometheus_client

from dogwoodchute import exchange, log, outcomes
from dogwoodchute.coordination import retry_after
from dogwoodchute.gateway import calls, model

# Seconds until a caller whose request may be served nowhere should return. Only another
# configuration changes that.
CONFLICT_RETRY_AFTER = 5.0
MAX_REPORTED = 200  # conflicts that are logged for one configuration

region_refusals = prometheus_client.Counter(
    "dogwoodchute_region_refusals",
    "Requests refused as no region, or no endpoint of an allowed one, may serve them.",
    ["reason"],
)

Filter = abc.Callable[[calls.Call, exchange.Proceed], abc.Awaitable[outcomes.Outcome]]
# Returns whether a service has an endpoint in some regions, usable now or not.
HasEndpoint = abc.Callable[[str, frozenset[str]], bool]


class _Reported(typing.NamedTuple):
    """What was logged for one version of the configuration."""

    version: int
    keys: set[tuple[str, str, str]]  # of reasons, routes and client accounts


def combine(
    first: frozenset[str] | None, second: frozenset[str] | None
) -> frozenset[str] | None:
    """Return the regions that two restrictions allow; None allows all."""
    if first is None:
        return second
    return first if second is None else first & second


def of_call(call: calls.Call) -> frozenset[str] | None:
    """Return the regions in which a call may be served, None for anywhere."""
    account = call.account.allowed_regions if call.account is not None else None
    return combine(call.route.allowed_regions, account)


class RegionsByName:
    """The regions in which all requests to a host name may be served.

    A caller names neither path nor key when it asks for hosts, so these are the regions
    that all routes of the name and all client accounts allow.
    """

    def __init__(self, *, config: abc.Callable[[], model.Config | None]) -> None:
        self._config = config
        self._found_for: model.Config | None = None
        self._found: dict[str, frozenset[str] | None] = {}  # by host name

    def find(self, name: str) -> frozenset[str] | None:
        """Return the regions for a host name, None for anywhere."""
        config = self._config()
        if config is None:
            return None
        if config is not self._found_for:
            self._found_for, self._found = config, {}
        if name not in config.routes:
            return None
        if name not in self._found:
            self._found[name] = _of_host_name(config, name)
        return self._found[name]


def _of_host_name(config: model.Config, name: str) -> frozenset[str] | None:
    allowed = None
    for route in config.routes[name].values():
        allowed = combine(allowed, route.allowed_regions)
    for account in config.accounts.values():
        allowed = combine(allowed, account.allowed_regions)
    return allowed


def restrict(*, has_endpoint: HasEndpoint) -> Filter:
    """Set the regions in which a call may be served; refuse it if there are none."""
    reported = _Reported(-1, set())

    def report(reason: str, call: calls.Call) -> None:
        nonlocal reported
        region_refusals.labels(reason).inc()
        if reported.version != call.config.version:
            reported = _Reported(call.config.version, set())
        account = call.account.name if call.account is not None else ""
        key = (reason, call.route.name, account)
        if key in reported.keys or len(reported.keys) >= MAX_REPORTED:
            return
        reported.keys.add(key)
        log.error(
            "regions_not_served",
            reason=reason,
            route=call.route.name,
            account=account or None,
            route_regions=_text(call.route.allowed_regions),
            account_regions=_text(call.account and call.account.allowed_regions),
            service=call.service.name,
            version=call.config.version,
        )

    async def run(call: calls.Call, proceed: exchange.Proceed) -> outcomes.Outcome:
        allowed = call.allowed_regions = of_call(call)
        if allowed is None:
            return await proceed()
        if not allowed:
            report("conflict", call)
            return _refuse(
                "no_allowed_region",
                "its route and its client account allow no region in common",
                CONFLICT_RETRY_AFTER,
            )
        if not has_endpoint(call.service.name, allowed):
            report("no_endpoint", call)
            return _refuse(
                "no_endpoint_in_region",
                "its service has no endpoint in an allowed region",
                CONFLICT_RETRY_AFTER,
            )
        return await proceed()

    return run


def _refuse(code: str, reason: str, seconds: float) -> outcomes.NotRun:
    return outcomes.refuse(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        code,
        f"The request was not run: {reason}.",
        step="regions",
        retry_after=retry_after.spread(seconds),
    )


def _text(regions: frozenset[str] | None) -> str | None:
    return None if regions is None else ",".join(sorted(regions))
