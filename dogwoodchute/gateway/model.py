"""The settings of a host, the configuration, the endpoints, and the size of prompts."""

import typing

from dogwoodchute.intake import limits

IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"
STREAM = "stream"
READY = "ready"
DRAINING = "draining"


class Bounds(typing.NamedTuple):
    """Limits that the deployment sets; times are in seconds."""

    grace: float = 8.0  # from SIGTERM to SIGKILL
    retry_ratio: float = 0.2  # retries per request to a service in a window
    retry_slack: float = 50.0  # further retries in a window, of all hosts together
    max_directory_ttl: float = 5.0
    # Requests that a cold endpoint may get in one second, as a multiple of the rate
    # that its service names, and further ones.
    cold_overrun: float = 1.5
    cold_slack: float = 5.0


class Deployment(typing.NamedTuple):
    """The settings of one host's process. Addresses are IP number and port."""

    host: str  # name of the host
    data_centre: str
    region: str
    regions: dict[str, str]  # region by data centre
    callers: str  # listens for callers' requests
    readiness: str  # listens for the platform's readiness checks
    control: str  # listens for requests of other hosts
    gossip: str  # listens for load reports of other hosts, by datagrams
    heartbeats: str  # listens for heartbeats of other hosts, by datagrams
    directory: str  # listens for callers that ask which hosts to use
    seeds: tuple[str, ...]  # control addresses of a few hosts, may be out of date
    store: str  # address of the platform's store
    bounds: Bounds
    row_bytes: int = 65536  # largest value of a row in the store
    link_mbps: float = 1000.0  # megabits a second of this host's own link
    memory: int = limits.DEFAULT_MEMORY  # bytes that the process may use
    descriptors: int = limits.DEFAULT_DESCRIPTORS  # that it may have open
    commits: float = 600.0  # per second that the store accepts from the whole fleet
    part_commits: float = 200.0  # per second that the store accepts to one partition


class Route(typing.NamedTuple):
    """The destination of requests for a host name and path prefix.

    Times are in seconds.
    """

    name: str
    host: str
    prefix: str
    kind: str  # IDEMPOTENT, NON_IDEMPOTENT or STREAM
    timeout: float
    target_latency: float
    priority: int  # 0 is the most urgent
    splits: tuple[tuple[str, int], ...]  # services and their weights
    max_attempts: int  # endpoints that one request may be sent to
    public: bool  # callers need no key
    resumable: bool  # a stream may resume at another endpoint
    # Where requests may be served and kept, None for anywhere.
    allowed_regions: frozenset[str] | None = None


class Engine(typing.NamedTuple):
    """The capacity of each model engine of a service."""

    slots: int  # requests that run at the same time
    memory_tokens: int  # capacity of the cache
    tokens_per_event: int  # of a stream


class Service(typing.NamedTuple):
    """A group of endpoints. `engine` is None if these aren't model engines."""

    name: str
    engine: Engine | None
    cold_start: float = 0.0  # seconds for which an endpoint is cold after its start
    # Requests a second that a cold endpoint takes from all hosts, 0 if none is named.
    cold_rate: float = 0.0


class Account(typing.NamedTuple):
    """A client account. `prepaid` is its budget in tokens, None for no limit."""

    name: str
    keys: frozenset[str]
    priority: int | None
    prepaid: int | None
    # Where its requests may be served and kept, None for anywhere.
    allowed_regions: frozenset[str] | None = None


class Limits(typing.NamedTuple):
    """Limits of callers' requests, in bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class Config(typing.NamedTuple):
    """The configuration of one version."""

    version: int
    routes: dict[str, dict[str, Route]]  # by host name, then by prefix
    services: dict[str, Service]
    accounts: dict[str, Account]
    accounts_by_key: dict[str, str]
    limits: Limits

    @property
    def needs_keys(self) -> bool:
        """Whether requests to routes that aren't public need a client account's key."""
        return bool(self.accounts)


class Endpoint(typing.NamedTuple):
    """An endpoint as it registered itself, for one run of its process."""

    id: str
    service: str
    address: str
    data_centre: str
    state: str  # READY or DRAINING
    slots: int
    # Unix milliseconds of the start of its process, 0 if unknown. A process that starts
    # anew under the same id has another one.
    started_at_ms: int = 0
    # Rises with each row that the process writes, 0 if unknown.
    sequence: int = 0
    # Version of the software that the process runs, "" if unknown. Versions have no
    # order, and a process that starts anew under the same id may have another one.
    software: str = ""
    # Seconds for which it stays cold after it wrote this. A cold endpoint is slow, and
    # crashes if it gets far more requests than its service names.
    cold_for: float = 0.0


class Part(typing.NamedTuple):
    """A part of a prompt's prefix that other requests may share."""

    id: str
    tokens: int


class Prompt(typing.NamedTuple):
    """The size of a request to a model engine, in tokens."""

    input_tokens: int
    max_output: int
    parts: tuple[Part, ...]

    @property
    def max_tokens(self) -> int:
        """The maximum of tokens that the request may use."""
        return self.input_tokens + self.max_output

    @property
    def shared_parts(self) -> tuple[Part, ...]:
        """The parts that other requests may hold; the last one is the request's own."""
        return self.parts[:-1]


def resumable_services(config: Config) -> set[str]:
    """Return the names of services with streams that may be resumed."""
    return {
        service
        for prefixes in config.routes.values()
        for route in prefixes.values()
        if route.kind == STREAM and route.resumable
        for service, _ in route.splits
    }


def route_of(config: Config, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix of `path`, None if there is none.

    Prefixes end with a slash.
    """
    prefixes = config.routes.get(host)
    if not prefixes:
        return None
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
    return None
