"""The state that release notes define: client accounts, services and endpoints."""

import hashlib
import hmac
import typing
from collections import abc

CHAT = "chat"
PLAIN = "plain"


class ClientAccount(typing.NamedTuple):
    """A client account; `keys` are SHA-256 hex digests of its bearer keys."""

    name: str
    keys: tuple[str, ...]
    services: tuple[str, ...]
    weight: int = 1  # share of a queue, and of hosts in locate answers
    budget: int = 0  # tokens paid with the account's creation


class Service(typing.NamedTuple):
    """A service; a chat service's name is the model's name in requests.

    Each objective is a target share of the requests, 0 for none. Objectives on times
    also have a bound in seconds, which that share of the requests must not exceed.
    """

    name: str
    kind: str  # CHAT or PLAIN
    price: int = 0  # tokens billed for one call of a plain service
    idempotent: bool | None = None  # None: depends on the HTTP method
    max_output: int = 4096  # tokens, upper bound of one chat answer
    availability: float = 0.0  # share of requests that are answered
    first_token_share: float = 0.0
    first_token_seconds: float = 0.0
    between_tokens_share: float = 0.0
    between_tokens_seconds: float = 0.0
    false_refusals: float = 0.0  # share of requests that are not refused wrongly


class Endpoint(typing.NamedTuple):
    """An endpoint; `address` is an IP number and port.

    `model`, `adapters`, `version` and `role` are the state that its engine is ordered
    to have. What is empty is left to the engine.
    """

    name: str
    service: str
    address: str
    region: str
    data_centre: str
    checks_fence: bool = False  # refuses orders with an outdated fencing number
    capacity: int = 8  # requests that it serves at once, as an initial estimate
    model: str = ""
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""


class Index(typing.NamedTuple):
    """Maps for the look-ups of each request."""

    accounts_by_key: dict[str, str]  # account name by digest of a bearer key
    endpoints_by_service: dict[str, list[Endpoint]]  # sorted by name


class Catalog(typing.NamedTuple):
    """The complete state at one revision. Revision 0 is empty."""

    revision: int
    accounts: dict[str, ClientAccount]
    services: dict[str, Service]
    endpoints: dict[str, Endpoint]
    digest: str = ""  # of the chain of all changes up to this revision
    index: Index | None = None


EMPTY = Catalog(0, {}, {}, {})
KINDS = {"account": ClientAccount, "service": Service, "endpoint": Endpoint}


def to_plain(catalog: Catalog) -> dict:
    """Return the catalog as maps, lists, strings and numbers."""
    return {
        "revision": catalog.revision,
        "digest": catalog.digest,
        "accounts": [a._asdict() for a in catalog.accounts.values()],
        "services": [s._asdict() for s in catalog.services.values()],
        "endpoints": [e._asdict() for e in catalog.endpoints.values()],
    }


def from_plain(plain: dict) -> Catalog:
    """Return the indexed catalog from the result of `to_plain`."""
    accounts = {f["name"]: build_item("account", f) for f in plain["accounts"]}
    services = {f["name"]: build_item("service", f) for f in plain["services"]}
    endpoints = {f["name"]: build_item("endpoint", f) for f in plain["endpoints"]}
    digest = plain.get("digest", "")
    return indexed(Catalog(plain["revision"], accounts, services, endpoints, digest))


def build_item(kind: str, fields: dict) -> ClientAccount | Service | Endpoint:
    """Return the item of `kind` with these fields; lists become tuples.

    Fields that this version of the daemon doesn't know are ignored.
    """
    known = KINDS[kind]._fields
    values = {}
    for key, value in fields.items():
        if key in known:
            values[key] = tuple(value) if isinstance(value, list) else value
    return KINDS[kind](**values)


def items_of_kind(catalog: Catalog, kind: str) -> dict:
    """Return the catalog's items of one kind by name."""
    if kind == "account":
        return catalog.accounts
    return catalog.services if kind == "service" else catalog.endpoints


def apply_changes(
    catalog: Catalog,
    *,
    revision: int,
    digest: str,
    puts: abc.Iterable[tuple[str, dict]],
    removes: abc.Iterable[tuple[str, str]],
) -> Catalog:
    """Return the catalog at a later revision.

    `puts` holds the kind and all fields of items that are new or changed, `removes`
    the kind and name of those withdrawn. Apart from copying the maps, the cost is in
    proportion to the number of changes.
    """
    items = {kind: dict(items_of_kind(catalog, kind)) for kind in KINDS}
    accounts_by_key = dict(_index(catalog).accounts_by_key)
    services = set()  # whose endpoints changed
    for kind, name in removes:
        removed = items[kind].pop(name, None)
        _remove_from_index(kind, removed, accounts_by_key, services)
    for kind, fields in puts:
        item = build_item(kind, fields)
        _remove_from_index(kind, items[kind].get(item.name), accounts_by_key, services)
        items[kind][item.name] = item
        if kind == "endpoint":
            services.add(item.service)
    for kind, fields in puts:
        if kind == "account":
            accounts_by_key.update((key, fields["name"]) for key in fields["keys"])
    by_service = dict(_index(catalog).endpoints_by_service)
    for service in services:
        by_service[service] = _endpoints_serving(items["endpoint"], service)
    return Catalog(
        revision, *items.values(), digest, Index(accounts_by_key, by_service)
    )


def _remove_from_index(
    kind: str, item: tuple | None, accounts_by_key: dict, services: set[str]
) -> None:
    """Remove an account's keys, or add an endpoint's service to `services`."""
    if item is None:
        return
    if kind == "account":
        for digest in item.keys:
            accounts_by_key.pop(digest, None)
    if kind == "endpoint":
        services.add(item.service)


def _endpoints_serving(endpoints: dict[str, Endpoint], service: str) -> list[Endpoint]:
    return sorted(e for e in endpoints.values() if e.service == service)


def _index(catalog: Catalog) -> Index:
    return catalog.index or indexed(catalog).index


def indexed(catalog: Catalog) -> Catalog:
    """Return the catalog with its index."""
    by_service: dict[str, list[Endpoint]] = {}
    for endpoint in sorted(catalog.endpoints.values()):
        by_service.setdefault(endpoint.service, []).append(endpoint)
    return catalog._replace(index=Index(index_keys(catalog), by_service))


def hash_key(key: str) -> str:
    """Return the SHA-256 hex digest as which a bearer key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def index_keys(catalog: Catalog) -> dict[str, str]:
    """Return the client account's name by the digest of each bearer key."""
    index = {}
    for account in catalog.accounts.values():
        for digest in account.keys:
            index[digest] = account.name
    return index


def account_of_key(
    catalog: Catalog, index: dict[str, str], key: str
) -> ClientAccount | None:
    """Return the client account that a bearer key belongs to.

    `index` maps digests of keys to account names. The look-up is by digest, so its
    duration reveals nothing about stored keys; the digests are compared once more in
    constant time.
    """
    digest = hash_key(key)
    name = index.get(digest)
    if name is None:
        return None
    account = catalog.accounts.get(name)
    if account is None:
        return None
    for stored in account.keys:
        if hmac.compare_digest(stored, digest):
            return account
    return None


def endpoints_of(catalog: Catalog, service: str) -> list[Endpoint]:
    """Return the endpoints that serve `service`, by name."""
    if catalog.index is not None:
        return list(catalog.index.endpoints_by_service.get(service, ()))
    return _endpoints_serving(catalog.endpoints, service)
