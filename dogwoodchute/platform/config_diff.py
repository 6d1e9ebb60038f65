"""What differs between two configurations, in words for an operator.

Keys of client accounts are counted, never shown.
"""

import typing
from collections import abc

from dogwoodchute.gateway import model

# Fields of entries that name them, or that need words of their own.
LEFT_OUT = frozenset({"name", "keys"})


def differences(before: model.Config, after: model.Config) -> list[str]:
    """Return a line for each difference; none if the hosts would see no change."""
    lines = []
    if after.version <= before.version:
        lines.append(f"version {after.version} is not above {before.version}: ignored")
    lines += _changed("route", _routes(before), _routes(after))
    lines += _changed("service", before.services, after.services)
    lines += _changed("tenant", before.accounts, after.accounts)
    lines += _fields("limits", before.limits, after.limits)
    return lines


def _routes(config: model.Config) -> dict[str, model.Route]:
    return {
        host + prefix: route
        for host, prefixes in config.routes.items()
        for prefix, route in prefixes.items()
    }


def _changed(
    kind: str, before: abc.Mapping[str, tuple], after: abc.Mapping[str, tuple]
) -> abc.Iterator[str]:
    """Return what was added, removed and changed of named entries."""
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield f"{kind} {name}: added"
        elif name not in after:
            yield f"{kind} {name}: removed"
        else:
            yield from _fields(f"{kind} {name}", before[name], after[name])


def _fields(entry: str, before: typing.Any, after: typing.Any) -> abc.Iterator[str]:
    for field in before._fields:
        old, new = getattr(before, field), getattr(after, field)
        if old != new and field not in LEFT_OUT:
            yield f"{entry}: {field} {_shown(old)} -> {_shown(new)}"
    if hasattr(before, "keys") and before.keys != after.keys:
        added = len(after.keys - before.keys)
        removed = len(before.keys - after.keys)
        yield f"{entry}: {added} keys added, {removed} removed"


def _shown(value: object) -> str:
    if isinstance(value, frozenset):
        return ",".join(sorted(value))
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return str(value._asdict())
    return "none" if value is None else str(value)
