"""Orders to engines: which host may send them, when, and what they contain.

Each endpoint has a lease row with its holder and a fencing number that grows with each
new holder, as described in M. Kleppmann, "How to do distributed locking", 2016. Clocks
of different hosts are never compared: the holder counts its lease from before it sent
the renewal, and another host counts from when it first saw the row in its present
version.

An engine that refuses old fencing numbers needs no further protection. If it ignores
them, a new holder waits until no order of an earlier holder can be under way.
"""

import typing

import xxhash

LEASE = 15.0  # seconds
HELD_SHARE = 0.8  # of the lease in which the holder sends orders; allows clock drift
MAX_DELIVERY = 30.0  # seconds that an order may take to arrive, upper bound


class Lease(typing.NamedTuple):
    """The lease row of one endpoint; `holder` is an incarnation, empty if released.

    `settled` tells that no order of an earlier holder can be under way any more.
    """

    holder: str
    fence: int
    settled: bool


FREE = Lease("", 0, True)


class HeldLease(typing.NamedTuple):
    """A lease that this host holds."""

    fence: int
    version: int  # of the row
    orders_from: float  # monotonic seconds from which orders may be sent
    orders_until: float  # monotonic seconds until which orders may be sent


def from_row(value: dict | None) -> Lease:
    """Return the lease in a row's value, `FREE` if there is no row."""
    if value is None:
        return FREE
    return Lease(value["holder"], value["fence"], value["settled"])


def acquired(lease: Lease, incarnation: str) -> Lease:
    """Return the lease row to write for a new holder."""
    settled = lease.settled and not lease.holder
    return Lease(incarnation, lease.fence + 1, settled)


def may_acquire(lease: Lease, unchanged_for: float) -> bool:
    """Return whether another host may take over a lease.

    `unchanged_for` is the number of seconds for which that host has seen the row in its
    present version.
    """
    return not lease.holder or unchanged_for >= LEASE


def held_lease(
    lease: Lease, version: int, *, sent: float, checks_fence: bool
) -> HeldLease:
    """Return the held lease after a commit sent at `sent` wrote `lease`.

    `checks_fence` tells that the engine refuses old fencing numbers.
    """
    wait = 0.0 if checks_fence or lease.settled else MAX_DELIVERY
    return HeldLease(lease.fence, version, sent + wait, sent + LEASE * HELD_SHARE)


def renewed(held: HeldLease, version: int, *, sent: float) -> HeldLease:
    """Return the held lease after a commit sent at `sent` renewed it."""
    return held._replace(version=version, orders_until=sent + LEASE * HELD_SHARE)


def may_order(held: HeldLease, now: float) -> bool:
    """Return whether an order may be sent now."""
    return held.orders_from <= now < held.orders_until


def wanted(
    model: str, adapters: tuple[str, ...], version: str, role: str
) -> dict[str, object]:
    """Return the state that an engine should reach; unset parts are left out."""
    state: dict[str, object] = {}
    if model:
        state["models"] = [model]
    if adapters:
        state["adapters"] = sorted(adapters)
    if model and version:
        state["versions"] = {model: version}
    if role:
        state["role"] = role
    return state


def missing(want: dict, reported: dict) -> list[str]:
    """Return the parts of the wanted state that differ in the reported state."""
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
    """Return whether the engine loads weights for an order with these parts."""
    return any(part != "role" for part in parts)


def orderer(endpoint: str, hosts: list[str]) -> str:
    """Return the host that sends an endpoint's orders, by rendezvous hashing."""

    def score(host: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{host}|{endpoint}".encode())

    return max(hosts, key=score)
