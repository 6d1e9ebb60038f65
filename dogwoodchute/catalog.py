"""What release notes have put in force: client accounts, services, endpoints."""

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

    Each objective is a target share, 0 for none; those on times also have a bound in
    seconds, which that share of the requests must keep.
    """

    name: str
    kind: str  # CHAT or PLAIN
    price: int = 0  # tokens billed for one call of a plain service
    idempotent: bool | None = None  # None: by HTTP method
    max_output: int = 4096  # tokens, upper bound of one chat answer
    availability: float = 0.0  # share of requests that are answered
    first_token_share: float = 0.0
    first_token_seconds: float = 0.0
    between_tokens_share: float = 0.0
    between_tokens_seconds: float = 0.0
    false_refusals: float = 0.0  # share of requests that are not refused by mistake


class Endpoint(typing.NamedTuple):
    """An endpoint; `address` is an IP number and port.

    `model`, `adapters`, `version` and `role` are the state that its engine is ordered
    to have; empty ones are left to the engine.
    """

    name: str
    service: str
    address: str
    region: str
    data_centre: str
    checks_fence: bool = False  # refuses orders with an old fencing number
    capacity: int = 8  # requests that it serves at once, as a first guess
    model: str = ""
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""


class Index(typing.NamedTuple):
    """What is looked up for each request."""

    accounts_by_key: dict[str, str]  # account name by digest of a bearer key
    endpoints_by_service: dict[str, list[Endpoint]]  # sorted by name


class Catalog(typing.NamedTuple):
    """The full state at one revision. Revision 0 is empty."""

    revision: int
    accounts: dict[str, ClientAccount]
    services: dict[str, Service]
    endpoints: dict[str, Endpoint]
    digest: str = ""  # of the chain of changes up to this revision
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
    """Return the indexed catalog that `to_plain` was given."""
    accounts = {f["name"]: build_item("account", f) for f in plain["accounts"]}
    services = {f["name"]: build_item("service", f) for f in plain["services"]}
    endpoints = {f["name"]: build_item("endpoint", f) for f in plain["endpoints"]}
    digest = plain.get("digest", "")
    return indexed(Catalog(plain["revision"], accounts, services, endpoints, digest))


def build_item(kind: str, fields: dict) -> ClientAccount | Service | Endpoint:
    """Return the item of `kind` with these fields; lists become tuples.

    Fields that this version of the daemon does not know are left out.
    """
    known = KINDS[kind]._fields
    fixed = {}
    for key, value in fields.items():
        if key in known:
            fixed[key] = tuple(value) if isinstance(value, list) else value
    return KINDS[kind](**fixed)


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
    the kind and name of those withdrawn. The cost grows with the change, except for
    copying the maps.
    """
    maps = {kind: dict(items_of_kind(catalog, kind)) for kind in KINDS}
    keys = dict(_index(catalog).accounts_by_key)
    touched = set()
    for kind, name in removes:
        gone = maps[kind].pop(name, None)
        _unlink(kind, gone, keys, touched)
    for kind, fields in puts:
        item = build_item(kind, fields)
        _unlink(kind, maps[kind].get(item.name), keys, touched)
        maps[kind][item.name] = item
        if kind == "endpoint":
            touched.add(item.service)
    for kind, fields in puts:
        if kind == "account":
            keys.update((digest_, fields["name"]) for digest_ in fields["keys"])
    by_service = dict(_index(catalog).endpoints_by_service)
    for service in touched:
        by_service[service] = _serving(maps["endpoint"], service)
    return Catalog(revision, *maps.values(), digest, Index(keys, by_service))


def _unlink(kind: str, old: tuple | None, keys: dict, touched: set[str]) -> None:
    if old is None:
        return
    if kind == "account":
        for digest in old.keys:
            keys.pop(digest, None)
    if kind == "endpoint":
        touched.add(old.service)


def _serving(endpoints: dict[str, Endpoint], service: str) -> list[Endpoint]:
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
    """Return the SHA-256 hex digest under which a bearer key is stored."""
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

    The look-up is by digest, so its time tells nothing of stored keys; the digests
    are compared once more in constant time.
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
    return _serving(catalog.endpoints, service)
