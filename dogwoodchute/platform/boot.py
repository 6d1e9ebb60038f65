"""Reads the settings file that the platform gives to a gateway process.

The settings of `dogwoodchuted`, which are of another format, are in
`dogwoodchute.settings`.
"""

import math
import os
import pathlib
import tomllib

from dogwoodchute.coordination import texts
from dogwoodchute.gateway import model
from dogwoodchute.intake import limits as machine
from dogwoodchute.platform import names


class SettingsError(Exception):
    """The settings file can't be used."""


def settings_path() -> pathlib.Path:
    """Return the path of the settings file, which an environment variable names.

    Raise `SettingsError` if the variable is not set.
    """
    value = os.environ.get(names.SETTINGS_VARIABLE)
    if not value:
        raise SettingsError(f"the variable {names.SETTINGS_VARIABLE} is not set")
    return pathlib.Path(value)


def load(source: pathlib.Path) -> model.Deployment:
    """Return the settings in the file `source`.

    Raise `SettingsError` if it can't be read or has a fault.
    """
    try:
        plain = tomllib.loads(source.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{source}: {error.strerror}") from error
    except ValueError as error:
        raise SettingsError(f"{source}: {error}") from error
    try:
        return decode(plain)
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise SettingsError(f"{source}: bad or missing key: {error}") from error


def decode(plain: dict) -> model.Deployment:
    """Return the settings in a parsed TOML file; unknown keys are ignored.

    Raise `KeyError`, `IndexError`, `TypeError` or `ValueError` on a fault.
    """
    listen = plain["listen"]
    platform = plain["platform"]
    plain_bounds = plain.get("bounds", {})
    limits = plain.get("limits", {})
    default = model.Bounds()
    bounds = model.Bounds(
        grace=float(plain_bounds.get("graceS", default.grace)),
        retry_ratio=float(plain_bounds.get("retryRatio", default.retry_ratio)),
        retry_slack=float(plain_bounds.get("retrySlack", default.retry_slack)),
        max_directory_ttl=float(
            plain_bounds.get("ttl_max_s", default.max_directory_ttl)
        ),
        cold_overrun=_amount(plain_bounds.get("coldOverrun", default.cold_overrun)),
        cold_slack=_amount(plain_bounds.get("coldSlack", default.cold_slack)),
    )
    zone = str(plain["zone"])
    regions = {str(k): str(v) for k, v in plain.get("zones", {}).items()}
    region = str(plain.get("region") or regions[zone])
    first_port, last_port = (int(port) for port in plain["portRange"])
    if not 0 < first_port < last_port <= texts.MAX_PORT:
        raise ValueError("portRange has no two ports for datagrams")
    return model.Deployment(
        host=str(plain["node"]),
        data_centre=zone,
        region=region,
        regions={**regions, zone: region},
        callers=str(listen["front"]),
        readiness=str(listen["ready"]),
        control=str(listen["control"]),
        gossip=f"{plain['ip']}:{first_port}",
        heartbeats=f"{plain['ip']}:{first_port + 1}",
        directory=str(listen["directory"]),
        seeds=tuple(str(seed) for seed in plain.get("seeds", ())),
        store=str(platform["address"]),
        bounds=bounds,
        row_bytes=int(platform.get("rowBytes", 65536)),
        link_mbps=float(limits.get("linkMbps", 1000.0)),
        memory=_memory(limits),
        descriptors=int(limits.get("maxFds") or machine.DEFAULT_DESCRIPTORS),
        commits=_rate(platform.get("writesPerS", 600)),
        part_commits=_rate(platform.get("partWritesPerS", 200)),
    )


def _memory(limits: dict) -> int:
    """Return the bytes that the process may use; the settings name megabytes."""
    megabytes = _amount(limits.get("memoryMb") or 0)
    return int(megabytes * (1 << 20)) or machine.DEFAULT_MEMORY


def _amount(value: object) -> float:
    """Return a number of at least 0; raise `ValueError` unless it is one."""
    number = float(value)
    if not 0 <= number < math.inf:
        raise ValueError(f"{value} is no number of at least 0")
    return number


def _rate(value: object) -> float:
    """Return a rate a second; raise `ValueError` unless it is positive and finite."""
    rate = float(value)
    if not 0 < rate < math.inf:
        raise ValueError(f"a rate of {value} a second")
    return rate
