"""What release notes have put in force: client accounts, services, endpoints."""

import hashlib
import hmac
from typing import NamedTuple

CHAT = "chat"
PLAIN = "plain"


class ClientAccount(NamedTuple):
    """A client account; `keys` are SHA-256 hex digests of its bearer keys."""

    name: str
    keys: tuple[str, ...]
    services: tuple[str, ...]
    weight: int = 1  # share of a queue, and of hosts in locate answers
    budget: int = 0  # tokens paid with the account's creation


class Service(NamedTuple):
    """A service; a chat service's name is the model's name in requests."""

    name: str
    kind: str  # CHAT or PLAIN
    price: int = 0  # tokens billed for one call of a plain service
    idempotent: bool | None = None  # None: by HTTP method
    max_output: int = 4096  # tokens, upper bound of one chat answer


class Endpoint(NamedTuple):
    """An endpoint; `address` is an IP number and port."""

    name: str
    service: str
    address: str
    region: str
    data_centre: str
    checks_fence: bool = False  # refuses orders with an old fencing number
    capacity: int = 8  # requests that it serves at once, as a first guess


class Catalog(NamedTuple):
    """The full state at one revision. Revision 0 is empty."""

    revision: int
    accounts: dict[str, ClientAccount]
    services: dict[str, Service]
    endpoints: dict[str, Endpoint]


EMPTY = Catalog(0, {}, {}, {})


def to_plain(catalog: Catalog) -> dict:
    """Return the catalog as maps, lists, strings and numbers."""
    return {
        "revision": catalog.revision,
        "accounts": [a._asdict() for a in catalog.accounts.values()],
        "services": [s._asdict() for s in catalog.services.values()],
        "endpoints": [e._asdict() for e in catalog.endpoints.values()],
    }


def from_plain(plain: dict) -> Catalog:
    """Return the catalog that `to_plain` was given."""
    accounts = {}
    for fields in plain["accounts"]:
        fields = {**fields, "keys": tuple(fields["keys"])}
        fields["services"] = tuple(fields["services"])
        accounts[fields["name"]] = ClientAccount(**fields)
    services = {f["name"]: Service(**f) for f in plain["services"]}
    endpoints = {f["name"]: Endpoint(**f) for f in plain["endpoints"]}
    return Catalog(plain["revision"], accounts, services, endpoints)


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
    found = [e for e in catalog.endpoints.values() if e.service == service]
    return sorted(found)
