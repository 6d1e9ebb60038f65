"""Settings of one host of `dogwoodchuted`: an INI file, checked in full on load.

`docs/SETTINGS.md` is generated from the first line of each section's docstring and from
the descriptions of its keys.
"""

import configparser
import difflib
import ipaddress
import pathlib
import typing

import pydantic


def _ip_number(value: str) -> str:
    ipaddress.ip_address(value)
    return value


IPNumber = typing.Annotated[str, pydantic.AfterValidator(_ip_number)]
Port = typing.Annotated[int, pydantic.Field(ge=0, le=65535)]
Seconds = typing.Annotated[float, pydantic.Field(gt=0)]


def _ip_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not value:
        return value
    if not separator or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError("use IP number and port, such as 10.0.0.7:7000")
    ipaddress.ip_address(host.strip("[]"))
    return value


Address = typing.Annotated[str, pydantic.AfterValidator(_ip_address)]
Name = typing.Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
]


class Section(pydantic.BaseModel):
    """Base of all sections: they are immutable, and unknown keys are faults."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


def key(description: str, default: object = ..., **constraints: object) -> object:
    """Declare a key with its description, default and pydantic constraints."""
    return pydantic.Field(default=default, description=description, **constraints)


class Host(Section):
    """Who this host is and where it listens."""

    id: Name = key("Name of the host, unique in the fleet.")
    region: Name = key("Region of the host.")
    data_centre: Name = key("Data centre of the host.")
    address: IPNumber = key("IP number that peers and callers reach.")
    caller_port: Port = key("TCP port for callers.", 8080)
    operator_address: IPNumber = key("IP number for operators.", "127.0.0.1")
    operator_port: Port = key("TCP port for operators.", 8081)
    peer_port: Port = key("TCP port for the fleet's other hosts.", 8082)


class Platform(Section):
    """Where the platform's services are."""

    mode: typing.Literal["embedded", "http"] = key(
        "`embedded` keeps everything in this process and loses it on exit.", "http"
    )
    table_address: Address = key("IP number and port of the table service.", "")
    table_rate: float = key(
        "Calls a second that this host may make of the table service.", 50.0, gt=0
    )
    objects_address: Address = key("IP number and port of the object store.", "")
    hostlist_address: Address = key("IP number and port of the host list.", "")
    weights_address: Address = key("IP number and port of the weight store.", "")
    table_timeout: Seconds = key("Seconds to wait for one table call.", 2.0)
    objects_timeout: Seconds = key("Seconds to wait for one object call.", 10.0)

    @pydantic.model_validator(mode="after")
    def _addresses_are_set(self) -> "Platform":
        if self.mode == "embedded":
            return self
        for name in ("table_address", "objects_address", "hostlist_address"):
            if not getattr(self, name):
                raise ValueError(f"{name} is required with mode = http")
        return self


class Keys(Section):
    """Secrets of the fleet."""

    operator_sha256: str = key(
        "SHA-256 hex digest of the operators' bearer key.", pattern=r"^[0-9a-f]{64}$"
    )
    fleet_key: str = key(
        "Shared secret that authenticates peers and signs tokens.", min_length=16
    )


class TLS(Section):
    """Certificates of the listeners; without them a listener speaks plain HTTP."""

    caller_certificate: str = key("PEM file of the callers' side.", "")
    caller_key: str = key("PEM file of the key of `caller_certificate`.", "")
    operator_certificate: str = key("PEM file of the operators' side.", "")
    operator_key: str = key("PEM file of the key of `operator_certificate`.", "")
    peer_certificate: str = key("PEM file of this host towards peers.", "")
    peer_key: str = key("PEM file of the key of `peer_certificate`.", "")
    peer_authority: str = key("PEM file of the authority that signs peers.", "")

    @pydantic.model_validator(mode="after")
    def _keys_are_paired(self) -> "TLS":
        for side in ("caller", "operator", "peer"):
            certificate = getattr(self, f"{side}_certificate")
            if bool(certificate) != bool(getattr(self, f"{side}_key")):
                raise ValueError(f"set {side}_certificate and {side}_key, or neither")
        if bool(self.peer_certificate) != bool(self.peer_authority):
            raise ValueError("set peer_certificate and peer_authority, or neither")
        return self


class Limits(Section):
    """Bounds on requests."""

    body_bytes: int = key("Largest request body.", 2_000_000, gt=0)
    header_bytes: int = key("Largest request head.", 16_384, ge=1024)
    idle_timeout: Seconds = key("Seconds without a byte before a cut.", 60.0)
    total_timeout: Seconds = key("Seconds that one request may take.", 600.0)
    connect_timeout: Seconds = key("Seconds to connect to an endpoint.", 2.0)
    silence_floor: Seconds = key(
        "Least seconds without an event before a running stream counts as silent.", 2.0
    )
    silence_ceiling: Seconds = key(
        "Most seconds without an event before a running stream counts as silent.", 30.0
    )
    first_event_floor: Seconds = key(
        "Least seconds to wait for an answer's first event.", 10.0
    )
    resume_lifetime: Seconds = key(
        "Seconds for which a caller may continue a stream on another host.", 900.0
    )
    answer_bytes: int = key("Largest answer of a plain service.", 16_000_000, gt=0)
    drain_timeout: Seconds = key("Seconds that a graceful shutdown may take.", 120.0)


class Budget(Section):
    """How grants are drawn and bills are kept."""

    horizon: Seconds = key(
        "Seconds of expected use that a grant covers; longer far from the store.", 600.0
    )
    share: float = key(
        "Largest part of what remains of a budget that one draw takes beyond need.",
        0.25,
        gt=0,
        le=1,
    )
    draw_timeout: Seconds = key("Seconds that a request waits for a draw.", 2.0)
    bill_interval: Seconds = key("Seconds between group commits.", 0.25)
    bill_wait: Seconds = key(
        "Seconds that an answer's end waits for its bill on a host that is cut off.",
        3.0,
    )
    claim_wait: Seconds = key("Seconds that a call waits for its claim.", 2.0)
    lookup_wait: Seconds = key(
        "Seconds that a request with a caller's key waits to learn of earlier runs.",
        0.3,
    )
    repeat_wait: Seconds = key(
        "Seconds that the repeat of a non-idempotent call waits for the first.", 30.0
    )
    reclaim_interval: Seconds = key(
        "Seconds between two looks for grants of lost hosts.", 10.0
    )


class Peers(Section):
    """Streams to the other hosts, and membership."""

    heartbeat_interval: Seconds = key("Seconds between heartbeats.", 0.5)
    silent_after: Seconds = key("Seconds without a byte before a stream is cut.", 1.6)
    frame_bytes: int = key("Largest frame of a call or answer.", 4_000_000, ge=4096)
    queue_bytes: int = key("Most bytes that wait on one stream.", 16_000_000, ge=4096)
    region_bytes_per_second: float = key(
        "Most bytes a second that this host sends to other regions.", 250_000.0, gt=0
    )
    hint_bytes_per_second: float = key(
        "Most bytes a second of hints that this host sends.", 3_000.0, gt=0
    )
    register_interval: Seconds = key("Seconds between renewals in the store.", 60.0)
    stale_after: Seconds = key(
        "Seconds without the store before the host leaves locate answers.", 300.0
    )


class Locate(Section):
    """Which hosts callers are sent to."""

    lifetime: Seconds = key("Seconds that callers may keep an answer.", 30.0)
    near: int = key("Hosts of the own region in an answer.", 3, ge=1)
    far: int = key("Hosts of other regions in an answer.", 1, ge=0)
    capacity: int = key("Requests in flight at which a host is full.", 256, ge=1)


class Drain(Section):
    """Graceful shutdown; `limits.drain_timeout` bounds all of it."""

    linger: Seconds = key(
        "Seconds that callers are served after the host left locate answers.", 35.0
    )


class Endpoints(Section):
    """How requests are admitted to endpoints."""

    first_token_target: Seconds = key("Seconds to a chat answer's first token.", 1.2)
    token_gap_target: Seconds = key("Seconds between tokens of an answer.", 0.026)
    plain_wait: Seconds = key("Seconds that a plain call may wait for room.", 5.0)
    poll_interval: Seconds = key("Seconds between an endpoint's load reports.", 1.0)
    far_bytes_per_second: float = key(
        "Most bytes a second of answers that this host takes from other regions.",
        250_000.0,
        ge=0,
    )


class Release(Section):
    """How release notes reach this host."""

    poll_interval: Seconds = key("Seconds between reads of the newest revision.", 1.0)
    stale_after: Seconds = key(
        "Seconds without news of releases after which locate leaves the host out.",
        60.0,
    )
    refuse_after: float = key(
        "Seconds without news of releases after which requests are refused, 0 for "
        "never.",
        0.0,
        ge=0,
    )


class Log(Section):
    """What is logged."""

    level: typing.Literal["debug", "info", "warning", "error"] = key(
        "Least severe level that is logged.", "info"
    )


class Settings(Section):
    """All sections of one host's settings."""

    host: Host
    platform: Platform
    keys: Keys
    tls: TLS = TLS()
    limits: Limits = Limits()
    budget: Budget = Budget()
    peers: Peers = Peers()
    locate: Locate = Locate()
    drain: Drain = Drain()
    endpoints: Endpoints = Endpoints()
    release: Release = Release()
    log: Log = Log()


class Fault(typing.NamedTuple):
    """One fault of a settings file."""

    section: str  # "-" if the file can't be parsed
    key: str  # "-" if the fault is of the whole section
    value: str  # as written in the file, empty if absent
    allowed: str  # what is allowed, or what is wrong

    def __str__(self) -> str:
        value = "" if self.value == "" else f" = {self.value!r}"
        return f"[{self.section}] {self.key}{value}: {self.allowed}"


class SettingsError(Exception):
    """The settings have faults; `faults` lists all of them."""

    def __init__(self, *, source: str, faults: list[Fault]) -> None:
        super().__init__(f"{source}: " + "; ".join(str(f) for f in faults))
        self.source = source
        self.faults = faults


# Values of these keys are not shown in faults.
SECRET_KEYS = frozenset({"fleet_key", "operator_sha256"})


def load(path: pathlib.Path) -> Settings:
    """Read and check the settings file at `path`.

    Raises `SettingsError` with every fault, and `OSError` if it can't be read.
    """
    return parse(path.read_text(encoding="utf-8"), source=str(path))


def parse(text: str, *, source: str) -> Settings:
    """Check the text of a settings file; raise `SettingsError` with every fault."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=source)
    except configparser.Error as error:
        fault = Fault("-", "-", "", str(error).replace("\n", " "))
        raise SettingsError(source=source, faults=[fault]) from error
    plain = {name: dict(parser.items(name)) for name in parser.sections()}
    try:
        return Settings.model_validate(plain)
    except pydantic.ValidationError as error:
        faults = [_fault(detail, plain) for detail in error.errors()]
        raise SettingsError(source=source, faults=faults) from error


def _fault(detail: dict, plain: dict) -> Fault:
    """Return the fault that one detail of a pydantic error describes.

    `plain` has the file's values by section and key.
    """
    location = [str(part) for part in detail["loc"]]
    section = location[0]
    name = location[1] if len(location) > 1 else ""
    value = str(plain.get(section, {}).get(name, ""))
    if name in SECRET_KEYS:
        value = "(hidden)"
    if detail["type"] == "missing" and not name:
        return Fault(section, "-", "", "required section, but absent")
    if detail["type"] == "missing":
        return Fault(section, name, "", "required, but absent")
    if detail["type"] == "extra_forbidden":
        return Fault(section, name or "-", value, _suggest(section, name))
    return Fault(section, name or "-", value, detail["msg"])


def _suggest(section: str, name: str) -> str:
    """Return the text for an unknown key, or an unknown section if `name` is empty."""
    if not name:
        known = list(Settings.model_fields)
        wanted, kind = section, "section"
    else:
        known = list(Settings.model_fields[section].annotation.model_fields)
        wanted, kind = name, "key"
    close = difflib.get_close_matches(wanted, known, n=1)
    hint = f"did you mean {close[0]!r}?" if close else f"known: {', '.join(known)}"
    return f"unknown {kind}; {hint}"
