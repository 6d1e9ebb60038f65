"""Orders to engines: who may give them, when, and what they say.

Each endpoint has a lease row with its holder and a fencing number that grows with each
new holder, as described in M. Kleppmann, "How to do distributed locking", 2016. Clocks
are never compared between hosts: a holder counts its lease from before it sent the
renewal, another host from after it saw the row unchanged.

Toward an engine that refuses old fencing numbers the number alone is enough. Toward one
that ignores it, a new holder waits until no order of the old one can be under way.
"""

import typing

import xxhash

LEASE = 15.0  # seconds
HELD_SHARE = 0.8  # of the lease in which its holder gives orders, for clock drift
FLIGHT = 30.0  # seconds that an order may take to arrive


class Lease(typing.NamedTuple):
    """The lease row of one endpoint; `holder` is an incarnation, empty if released.

    `settled` tells that no order of an earlier holder can be under way.
    """

    holder: str
    fence: int
    settled: bool


FREE = Lease("", 0, True)


class Held(typing.NamedTuple):
    """A lease that this host holds."""

    fence: int
    version: int  # of the row
    orders_from: float  # monotonic seconds
    orders_until: float  # monotonic seconds


def from_row(value: dict | None) -> Lease:
    """Return the lease in a row's value, `FREE` if there is no row."""
    if value is None:
        return FREE
    return Lease(value["holder"], value["fence"], value["settled"])


def taken(lease: Lease, incarnation: str) -> Lease:
    """Return the lease row of a new holder."""
    settled = lease.settled and not lease.holder
    return Lease(incarnation, lease.fence + 1, settled)


def may_take(lease: Lease, unchanged_for: float) -> bool:
    """Return whether another host may take a lease.

    `unchanged_for` is for how many seconds that host has seen the row as it is.
    """
    return not lease.holder or unchanged_for >= LEASE


def hold(lease: Lease, version: int, *, sent: float, checks_fence: bool) -> Held:
    """Return a lease that was taken by a commit sent at `sent`."""
    wait = 0.0 if checks_fence or lease.settled else FLIGHT
    return Held(lease.fence, version, sent + wait, sent + LEASE * HELD_SHARE)


def renewed(held: Held, version: int, *, sent: float) -> Held:
    """Return a lease that was renewed by a commit sent at `sent`."""
    return held._replace(version=version, orders_until=sent + LEASE * HELD_SHARE)


def may_order(held: Held, now: float) -> bool:
    """Return whether an order may be sent now."""
    return held.orders_from <= now < held.orders_until


def wanted(
    model: str, adapters: tuple[str, ...], version: str, role: str
) -> dict[str, object]:
    """Return the end state that an engine is to have; unset parts are left out."""
    want: dict[str, object] = {}
    if model:
        want["models"] = [model]
    if adapters:
        want["adapters"] = sorted(adapters)
    if model and version:
        want["versions"] = {model: version}
    if role:
        want["role"] = role
    return want


def missing(want: dict, reported: dict) -> list[str]:
    """Return the parts of the wanted state that the reported state does not have."""
    differing = []
    for part, value in want.items():
        found = reported.get(part)
        if isinstance(value, list) and isinstance(found, list):
            found = sorted(found)
        if isinstance(value, dict) and isinstance(found, dict):
            found = {key: found.get(key) for key in value}
        if found != value:
            differing.append(part)
    return differing


def needs_weights(parts: list[str]) -> bool:
    """Return whether an order about these parts reads from the weight store."""
    return any(part != "role" for part in parts)


def orderer(endpoint: str, hosts: list[str]) -> str:
    """Return the host that looks after an endpoint, by rendezvous hashing."""

    def score(host: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{host}|{endpoint}".encode())

    return max(hosts, key=score)
