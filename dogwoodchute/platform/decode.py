"""Decodes the store's rows that the operator and the endpoints write.

Times in milliseconds become seconds. A row that breaks the format raises `FormatError`.
"""

import ipaddress
import math

from dogwoodchute import bounded_json
from dogwoodchute.coordination import texts
from dogwoodchute.gateway import model
from dogwoodchute.platform import names

KINDS = {
    "idempotent": model.IDEMPOTENT,
    "non_idempotent": model.NON_IDEMPOTENT,
    "streaming": model.STREAM,
}
STATES = {"ready": model.READY, "draining": model.DRAINING}
MAX_SLOTS = 1_000_000  # of one endpoint
MAX_COUNT = 10**15  # of tokens, weights and other counts
MAX_MILLISECONDS = 86_400_000  # a day


class FormatError(Exception):
    """A row does not follow the platform's format."""


def config(value: bytes) -> model.Config:
    """Return the configuration in the operator's row."""
    plain = _object(value)
    try:
        return _config(plain)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise FormatError(f"configuration: {error!r}") from error


def endpoint(name: str, value: bytes) -> model.Endpoint:
    """Return the endpoint that registered itself under `name`, from its row."""
    plain = _object(value)
    if not texts.is_name(name):
        raise FormatError("the key is no name")
    for field in ("service", "address", "zone", "state"):
        if not texts.is_name(plain.get(field)):
            raise FormatError(f"{field} is missing or no name")
    if plain["state"] not in STATES:
        raise FormatError(f"unknown state {plain['state']!r}")
    return model.Endpoint(
        id=name,
        service=plain["service"],
        address=_address(plain["address"]),
        data_centre=plain["zone"],
        state=STATES[plain["state"]],
        slots=_whole(plain.get("slots"), "slots", MAX_SLOTS),
        started_at_ms=_whole(plain.get("born", 0), "born", MAX_COUNT),
        sequence=_whole(plain.get("sequence", 0), "sequence", MAX_COUNT),
        software=_software(plain),
        cold_for=_cold_for(plain),
    )


def _software(plain: dict) -> str:
    """Return the software version in an endpoint's row, "" if it names none.

    A whole number counts as the text of its digits.
    """
    if "version" not in plain:
        return ""
    value = plain["version"]
    if not isinstance(value, str):
        return str(_whole(value, "version", MAX_COUNT))
    if not texts.is_name(value):
        raise FormatError("version is no name")
    return value


def _cold_for(plain: dict) -> float:
    """Return the seconds for which an endpoint's row says that it stays cold."""
    value = plain.get("coldLeftMs", 0)
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise FormatError("coldLeftMs is no number")
    try:
        return _to_seconds(value)
    except (ValueError, OverflowError) as error:
        raise FormatError(f"coldLeftMs: {error}") from error


def evacuated_data_centre(key: str) -> str | None:
    """Return the data centre that a row of the operator's evacuates, None if none.

    The operator writes such a row beside the configuration, and removes it when the
    data centre is taken back. Its value holds nothing.
    """
    if not key.startswith(names.EVACUATION_PREFIX):
        return None
    return key.removeprefix(names.EVACUATION_PREFIX)


def _object(value: bytes) -> dict:
    """Return the JSON object in a row's value."""
    try:
        return bounded_json.load_object(value)
    except bounded_json.FormatError as error:
        raise FormatError(str(error)) from error


def _address(text: str) -> str:
    """Return an address of IP number and port; raise `FormatError` if it is none."""
    ip, _, port = text.rpartition(":")
    try:
        number = ipaddress.IPv4Address(ip)
    except ValueError as error:
        raise FormatError(f"bad address {text!r}") from error
    if number.is_unspecified or number.is_multicast:
        raise FormatError(f"address {text!r} is no endpoint's")
    if not texts.is_port(port):
        raise FormatError(f"bad port in {text!r}")
    return text


def _whole(value: object, name: str, most: int) -> int:
    """Return a whole number from 0 to `most`; raise `FormatError` if it is none."""
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= most:
        raise FormatError(f"{name} is no whole number from 0 to {most}")
    return value


def _config(plain: dict) -> model.Config:
    routes: dict[str, dict[str, model.Route]] = {}
    for each in plain["routes"]:
        found = route(each)
        routes.setdefault(found.host, {})[found.prefix] = found
    services = {}
    for each in plain.get("services", ()):
        services[each["name"]] = service(each)
    accounts = {}
    accounts_by_key = {}
    for each in plain.get("tenants") or ():
        owner = account(each)
        accounts[owner.name] = owner
        accounts_by_key.update((key, owner.name) for key in owner.keys)
    return model.Config(
        version=_whole(plain["version"], "version", MAX_COUNT),
        routes=routes,
        services=services,
        accounts=accounts,
        accounts_by_key=accounts_by_key,
        limits=limits(plain.get("limits") or {}),
    )


def route(plain: dict) -> model.Route:
    """Return one route; raise `KeyError`, `TypeError` or `ValueError` if it is none."""
    splits = plain.get("trafficSplit")
    if splits:
        service_weights = tuple(
            (str(s["service"]), _count(s["weight"])) for s in splits
        )
    else:
        service_weights = ((str(plain["service"]), 1),)
    return model.Route(
        name=str(plain.get("name", "")),
        host=str(plain["hostname"]).lower(),
        prefix=str(plain["prefix"]),
        kind=KINDS[plain["kind"]],
        timeout=_to_seconds(plain["timeoutMs"]),
        target_latency=_to_seconds(plain.get("targetLatencyMs") or 1000),
        priority=_count(plain.get("priority", 0)),
        splits=service_weights,
        max_attempts=max(1, _count(plain.get("maxAttempts", 1))),
        public=bool(plain.get("public", False)),
        resumable=bool(plain.get("resumable", False)),
        allowed_regions=_regions(plain),
    )


def service(plain: dict) -> model.Service:
    """Return one service; raises as `route` does."""
    return model.Service(
        str(plain["name"]),
        _engine(plain.get("engine")),
        cold_start=_to_seconds((plain.get("coldStartS") or 0) * 1000),
        cold_rate=_rate(plain.get("coldPerS") or 0),
    )


def _engine(plain: dict | None) -> model.Engine | None:
    if not plain:
        return None
    return model.Engine(
        slots=_count(plain.get("slots", 1)),
        memory_tokens=_count(plain.get("kvCapacity", 0)),
        tokens_per_event=max(1, _count(plain.get("stride", 1))),
    )


def account(plain: dict) -> model.Account:
    """Return one client account; raises as `route` does."""
    prepaid, priority = plain.get("prepaid"), plain.get("priority")
    return model.Account(
        name=str(plain["name"]),
        keys=frozenset(str(key) for key in plain.get("apiKeys") or ()),
        priority=None if priority is None else _count(priority),
        prepaid=None if prepaid is None else _count(prepaid),
        allowed_regions=_regions(plain),
    )


def _regions(plain: dict) -> frozenset[str] | None:
    """Return the regions that a route or client account names, None without any."""
    regions = plain.get("allowedRegions")
    if not regions:
        return None
    if not isinstance(regions, list) or not all(isinstance(r, str) for r in regions):
        raise ValueError("allowedRegions is no list of names")
    return frozenset(regions)


def limits(plain: dict) -> model.Limits:
    """Return the limits of requests; raises as `route` does."""
    default = model.Limits()
    return model.Limits(
        header_bytes=_count(plain.get("maxHeaderBytes", default.header_bytes)),
        body_bytes=_count(plain.get("maxBodyBytes", default.body_bytes)),
        header_timeout=_seconds(plain, "headerTimeoutMs", default.header_timeout),
        idle_timeout=_seconds(plain, "idleTimeoutMs", default.idle_timeout),
    )


def _seconds(plain: dict, name: str, default: float) -> float:
    """Return a field that is in milliseconds as seconds, `default` without it."""
    value = plain.get(name)
    return default if value is None else _to_seconds(value)


def _to_seconds(milliseconds: object) -> float:
    number = float(milliseconds)
    if not 0 <= number <= MAX_MILLISECONDS:  # NaN too fails both comparisons
        raise ValueError(f"a time of {number} ms")
    return number / 1000


def _rate(value: object) -> float:
    number = float(value)
    if not 0 <= number <= MAX_COUNT:  # NaN too fails both comparisons
        raise ValueError(f"a rate of {number} a second")
    return number


def _count(value: object) -> int:
    number = float(value)
    if not math.isfinite(number) or abs(number) > MAX_COUNT:
        raise ValueError(f"a count of {number}")
    return int(value)
