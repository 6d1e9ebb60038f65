"""Decodes the store's rows that the operator and the endpoints write.

Times in milliseconds become seconds. A row that breaks the format raises `FormatError`.
"""

import json

from dogwoodchute.gateway import model

KINDS = {
    "idempotent": model.IDEMPOTENT,
    "non_idempotent": model.NON_IDEMPOTENT,
    "streaming": model.STREAM,
}
STATES = {"ready": model.READY, "draining": model.DRAINING}


class FormatError(Exception):
    """A row does not follow the platform's format."""


def config(value: bytes) -> model.Config:
    """Return the configuration in the operator's row."""
    plain = _object(value)
    try:
        return _config(plain)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise FormatError(f"configuration: {error!r}") from error


def endpoint(name: str, value: bytes) -> model.Endpoint:
    """Return the endpoint that registered itself under `name`, from its row."""
    plain = _object(value)
    service, address = plain.get("service"), plain.get("address")
    data_centre, state = plain.get("zone"), plain.get("state")
    slots = plain.get("slots")
    for text in (service, address, data_centre, state):
        if not isinstance(text, str) or not text:
            raise FormatError("a field is missing or not a text")
    if state not in STATES:
        raise FormatError(f"unknown state {state!r}")
    if not isinstance(slots, int) or isinstance(slots, bool) or slots < 0:
        raise FormatError("slots is not a number")
    ip, separator, port = address.rpartition(":")
    if not ip or not separator or not port.isdecimal():
        raise FormatError(f"bad address {address!r}")
    return model.Endpoint(name, service, address, data_centre, STATES[state], slots)


def _object(value: bytes) -> dict:
    """Return the JSON object in a row's value."""
    try:
        plain = json.loads(value)
    except ValueError as error:
        raise FormatError(str(error)) from error
    if not isinstance(plain, dict):
        raise FormatError("not an object")
    return plain


def _config(plain: dict) -> model.Config:
    routes: dict[str, dict[str, model.Route]] = {}
    for each in plain["routes"]:
        route = _route(each)
        routes.setdefault(route.host, {})[route.prefix] = route
    services = {}
    for each in plain.get("services", ()):
        services[each["name"]] = _service(each)
    accounts = {}
    accounts_by_key = {}
    for each in plain.get("tenants") or ():
        account = _account(each)
        accounts[account.name] = account
        accounts_by_key.update((key, account.name) for key in account.keys)
    return model.Config(
        version=int(plain["version"]),
        routes=routes,
        services=services,
        accounts=accounts,
        accounts_by_key=accounts_by_key,
        limits=_limits(plain.get("limits") or {}),
    )


def _route(plain: dict) -> model.Route:
    splits = plain.get("trafficSplit")
    if splits:
        service_weights = tuple((str(s["service"]), int(s["weight"])) for s in splits)
    else:
        service_weights = ((str(plain["service"]), 1),)
    return model.Route(
        name=str(plain.get("name", "")),
        host=str(plain["hostname"]).lower(),
        prefix=str(plain["prefix"]),
        kind=KINDS[plain["kind"]],
        timeout=float(plain["timeoutMs"]) / 1000,
        target_latency=float(plain.get("targetLatencyMs") or 1000) / 1000,
        priority=int(plain.get("priority", 0)),
        splits=service_weights,
        max_attempts=max(1, int(plain.get("maxAttempts", 1))),
        public=bool(plain.get("public", False)),
        resumable=bool(plain.get("resumable", False)),
    )


def _service(plain: dict) -> model.Service:
    engine = plain.get("engine")
    if not engine:
        return model.Service(str(plain["name"]), None)
    return model.Service(
        str(plain["name"]),
        model.Engine(
            slots=int(engine.get("slots", 1)),
            memory_tokens=int(engine.get("kvCapacity", 0)),
            tokens_per_event=max(1, int(engine.get("stride", 1))),
        ),
    )


def _account(plain: dict) -> model.Account:
    prepaid, priority = plain.get("prepaid"), plain.get("priority")
    return model.Account(
        name=str(plain["name"]),
        keys=frozenset(str(key) for key in plain.get("apiKeys") or ()),
        priority=None if priority is None else int(priority),
        prepaid=None if prepaid is None else int(prepaid),
    )


def _limits(plain: dict) -> model.Limits:
    default = model.Limits()
    return model.Limits(
        header_bytes=int(plain.get("maxHeaderBytes", default.header_bytes)),
        body_bytes=int(plain.get("maxBodyBytes", default.body_bytes)),
        header_timeout=_seconds(plain, "headerTimeoutMs", default.header_timeout),
        idle_timeout=_seconds(plain, "idleTimeoutMs", default.idle_timeout),
    )


def _seconds(plain: dict, name: str, default: float) -> float:
    """Return a field that is in milliseconds as seconds, `default` without it."""
    value = plain.get(name)
    return default if value is None else float(value) / 1000
