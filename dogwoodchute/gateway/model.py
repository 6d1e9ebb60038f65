"""What a deployment consists of: settings of a host, configuration, endpoints."""

import typing

IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"
STREAM = "stream"
READY = "ready"
DRAINING = "draining"


class Bounds(typing.NamedTuple):
    """Bounds that the deployment sets; times are in seconds."""

    grace: float = 8.0  # from SIGTERM to SIGKILL
    retry_ratio: float = 0.2  # of a service's requests in a window
    retry_slack: float = 50.0  # repeats in a window, of all hosts together
    max_directory_ttl: float = 5.0


class Deployment(typing.NamedTuple):
    """The settings of one host's process. Addresses are IP number and port."""

    host: str  # name of the host
    data_centre: str
    region: str
    regions: dict[str, str]  # region by data centre
    callers: str  # address for requests
    readiness: str  # address for the platform's readiness checks
    control: str  # address for other hosts
    gossip: str  # address for other hosts' datagrams
    directory: str  # address for callers that ask which host to use
    seeds: tuple[str, ...]  # control addresses of a few hosts, perhaps stale
    store: str  # address of the platform's store
    bounds: Bounds
    row_bytes: int = 65536  # largest value of a row in the store
    link_mbps: float = 1000.0  # megabits a second of this host's own link
    commits: float = 600.0  # a second that the store takes of the whole fleet
    part_commits: float = 200.0  # a second that the store takes to one part


class Route(typing.NamedTuple):
    """Where requests for a host name and path prefix go; times are in seconds."""

    name: str
    host: str
    prefix: str
    kind: str  # IDEMPOTENT, NON_IDEMPOTENT or STREAM
    timeout: float
    target_latency: float
    priority: int  # 0 is the most urgent
    splits: tuple[tuple[str, int], ...]  # services and their weights
    max_attempts: int  # endpoints that one request may be sent to
    public: bool  # needs no key
    resumable: bool  # a stream that may go on at another endpoint


class Engine(typing.NamedTuple):
    """The figures of a service's model engines."""

    slots: int
    memory_tokens: int
    tokens_per_event: int


class Service(typing.NamedTuple):
    """A group of endpoints; `engine` is None for a plain service."""

    name: str
    engine: Engine | None


class Account(typing.NamedTuple):
    """A client account. `prepaid` is its total in tokens, None for no limit."""

    name: str
    keys: frozenset[str]
    priority: int | None
    prepaid: int | None


class Limits(typing.NamedTuple):
    """What a caller may send, and how long it may take; in bytes and seconds."""

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
        """Whether requests carry a client account's key."""
        return bool(self.accounts)


class Endpoint(typing.NamedTuple):
    """One lifetime of an endpoint, as it registered itself."""

    id: str
    service: str
    address: str
    data_centre: str
    state: str  # READY or DRAINING
    slots: int


class Part(typing.NamedTuple):
    """A piece of a prompt that other requests may share."""

    id: str
    tokens: int


class Prompt(typing.NamedTuple):
    """The size of a request to a model engine, in tokens."""

    input_tokens: int
    max_output: int
    parts: tuple[Part, ...]

    @property
    def most(self) -> int:
        """Tokens that the request uses at most."""
        return self.input_tokens + self.max_output


def route_of(config: Config, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that begins `path`, None without one."""
    prefixes = config.routes.get(host)
    if not prefixes:
        return None
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
    return None
