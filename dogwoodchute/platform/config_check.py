"""Checks a configuration before it is sent, entry by entry.

A host adopts a configuration whole or not at all, and much of what is wrong in one
isn't against the format: an entry that no request can reach is adopted as it is. So
errors are what a host would refuse or what makes an entry useless, and warnings what
has no effect or contradicts something else.
"""

import collections
import typing
from collections import abc

from dogwoodchute import bounded_json
from dogwoodchute.gateway import model
from dogwoodchute.platform import decode

ERROR = "error"
WARNING = "warning"
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class Finding(typing.NamedTuple):
    """Something about one entry, or about the whole configuration."""

    severity: str  # ERROR or WARNING
    entry: str  # kind and name, such as ``route orders``
    text: str


def check(value: bytes) -> list[Finding]:
    """Return what is wrong in a configuration, JSON as the operator writes it."""
    try:
        plain = bounded_json.load_object(value)
    except bounded_json.FormatError as error:
        return [Finding(ERROR, "configuration", str(error))]
    findings: list[Finding] = []
    routes = _entries(plain, "routes", decode.route, findings)
    services = _entries(plain, "services", decode.service, findings)
    accounts = _entries(plain, "tenants", decode.account, findings)
    if not plain.get("routes"):
        findings.append(_error("configuration", "has no routes: nothing is served"))
    findings += _route_findings(routes, {each.name for each in services})
    findings += _service_findings(services, routes)
    findings += _account_findings(accounts, routes)
    findings += _limit_findings(plain)
    if not any(each.severity == ERROR for each in findings):
        try:
            decode.config(value)
        except decode.FormatError as error:
            findings.append(_error("configuration", str(error)))
    return findings


def _error(entry: str, text: str) -> Finding:
    return Finding(ERROR, entry, text)


def _warning(entry: str, text: str) -> Finding:
    return Finding(WARNING, entry, text)


def _entries(
    plain: dict,
    field: str,
    decode_entry: abc.Callable[[dict], typing.Any],
    findings: list[Finding],
) -> list[typing.Any]:
    """Return the entries of a list that can be decoded; add findings on the others."""
    listed = plain.get(field) or []
    if not isinstance(listed, list):
        findings.append(_error(field, "is no list"))
        return []
    entries = []
    for number, each in enumerate(listed):
        name = each.get("name") if isinstance(each, dict) else None
        entry = f"{field[:-1]} {name or number}"
        try:
            entries.append(decode_entry(each))
        except KeyError as error:
            findings.append(_error(entry, f"lacks or has an unknown value: {error}"))
        except DECODE_ERRORS as error:
            findings.append(_error(entry, str(error)))
    return entries


def _repeated(values: abc.Iterable[abc.Hashable]) -> set[abc.Hashable]:
    return {each for each, count in collections.Counter(values).items() if count > 1}


def _route_findings(
    routes: list[model.Route], services: set[str]
) -> abc.Iterator[Finding]:
    places = _repeated((route.host, route.prefix) for route in routes)
    last = {(route.host, route.prefix): route for route in routes}
    for route in routes:
        entry = f"route {route.name or route.host + route.prefix}"
        place = route.host, route.prefix
        if place in places and last[place] is not route:
            yield _error(entry, "never matches: a later route has its host and prefix")
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            text = f"never matches: prefix {route.prefix!r} has no slash at each end"
            yield _error(entry, text)
        if not route.host or set(route.host) & set("/: "):
            yield _error(entry, f"never matches: {route.host!r} is no host name")
        for service, weight in route.splits:
            if service not in services:
                yield _error(entry, f"names the unknown service {service!r}")
            if weight < 0:
                yield _error(entry, f"gives {service!r} a weight below 0")
        if sum(max(0, weight) for _, weight in route.splits) == 0:
            yield _error(entry, "gives no service any weight")
        yield from _route_limit_findings(entry, route)


def _route_limit_findings(entry: str, route: model.Route) -> abc.Iterator[Finding]:
    if route.timeout == 0:
        yield _error(entry, "has no time: timeoutMs is 0")
    elif route.target_latency > route.timeout:
        text = f"targetLatencyMs is beyond timeoutMs ({route.timeout:g} s)"
        yield _warning(entry, text)
    if route.kind == model.NON_IDEMPOTENT and route.max_attempts > 1:
        text = "maxAttempts has no effect once a server may have run the request"
        yield _warning(entry, text)
    if route.resumable and route.kind != model.STREAM:
        yield _warning(entry, "resumable has no effect: it is no stream")
    if route.priority < 0:
        yield _warning(entry, "has a priority below 0")


def _service_findings(
    services: list[model.Service], routes: list[model.Route]
) -> abc.Iterator[Finding]:
    for name in sorted(_repeated(each.name for each in services)):
        yield _error(f"service {name}", "is named more than once")
    used = {name for route in routes for name, _ in route.splits}
    for service in services:
        entry = f"service {service.name}"
        if service.name not in used:
            yield _warning(entry, "is not used by any route")
        if bool(service.cold_start) != bool(service.cold_rate):
            text = "names only one of coldStartS and coldPerS, which has no effect"
            yield _warning(entry, text)
        if service.engine is not None and service.engine.slots <= 0:
            yield _warning(entry, "has engines without slots")


def _account_findings(
    accounts: list[model.Account], routes: list[model.Route]
) -> abc.Iterator[Finding]:
    for name in sorted(_repeated(each.name for each in accounts)):
        yield _error(f"tenant {name}", "is named more than once")
    owners = collections.defaultdict(set)
    for account in accounts:
        for key in account.keys:
            owners[key].add(account.name)
    for names in sorted({tuple(sorted(n)) for n in owners.values() if len(n) > 1}):
        yield _error(f"tenant {names[-1]}", f"shares a key with {names[0]}")
    closed = [route for route in routes if not route.public]
    if closed and accounts and not owners:
        yield _error(
            "configuration", "no tenant has a key: closed routes can't be used"
        )
    for account in accounts:
        entry = f"tenant {account.name}"
        if not account.keys:
            yield _warning(entry, "has no key and can't send requests")
        if account.prepaid is not None and account.prepaid <= 0:
            yield _warning(entry, "has no tokens: each request to an engine gets 402")
        if account.allowed_regions is None:
            continue
        for route in closed:
            allowed = route.allowed_regions
            if allowed is not None and not allowed & account.allowed_regions:
                text = f"may use no region of route {route.name}: allowedRegions"
                yield _warning(entry, text)


def _limit_findings(plain: dict) -> abc.Iterator[Finding]:
    listed = plain.get("limits") or {}
    try:
        limits = decode.limits(listed)
    except DECODE_ERRORS as error:
        yield _error("limits", str(error))
        return
    if limits.header_bytes <= 0 or limits.body_bytes < 0:
        yield _error("limits", "let no request in")
    if limits.header_timeout > limits.idle_timeout:
        text = "headerTimeoutMs is beyond idleTimeoutMs, which ends the wait first"
        yield _warning("limits", text)
