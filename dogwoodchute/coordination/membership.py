"""Records of all hosts, and how they spread by gossip.

Each host writes one record about itself and forwards the newest records of others over
a sparse graph of streams. A record has two parts: a core, which changes seldom (the
host's identity, whether it leaves, which hosts it hears), and hints, which change
often. A host hears another one if it has an open stream to it.

Liveness is reachability, as in link-state routing (J. McQuillan, I. Richer and E.
Rosen, "The New Routing Algorithm for the ARPANET", IEEE Transactions on Communications
28(5), 1980): a host is alive if a chain of hosts, each hearing the next, leads to it
from this host. No host hears a dead host, and if a region is cut off, no host outside
hears a host inside.
"""

import itertools
import typing
from collections import abc

PAST_INCARNATIONS = 4  # remembered of each host


class Core(typing.NamedTuple):
    """The part of a host's record that changes seldom."""

    host: str
    generation: int  # counts the host's registrations
    incarnation: str  # one run of the host's process
    version: int  # of this core, within the incarnation
    region: str
    data_centre: str
    address: str  # IP number and port of the peer listener
    caller_address: str
    leaving: bool
    stale: bool  # has not reached the store for too long
    hears: tuple[str, ...]  # names of hosts with an open stream to this one

    @property
    def age_key(self) -> tuple[int, str, int]:
        """Order of cores of the same host: a newer one has a greater key."""
        return (self.generation, self.incarnation, self.version)


class Hints(typing.NamedTuple):
    """The part of a host's record that changes often; it may be out of date."""

    host: str
    generation: int
    version: int
    values: dict

    @property
    def age_key(self) -> tuple[int, int]:
        """Order of hints of the same host: newer ones have a greater key."""
        return (self.generation, self.version)


def core_from_plain(fields: list) -> Core:
    """Return the core with the fields that a peer sent.

    Raises `TypeError` or `ValueError` if they are not those of a core.
    """
    core = Core(*fields)
    core = core._replace(hears=tuple(core.hears))
    _check_types(core)
    if not all(isinstance(host, str) for host in core.hears):
        raise ValueError("hears must name hosts")
    return core


def hints_from_plain(fields: list) -> Hints:
    """Return the hints with the fields that a peer sent.

    Raises `TypeError` or `ValueError` if they are not those of hints.
    """
    hints = Hints(*fields)
    numbers = type(hints.generation) is int and type(hints.version) is int
    if not numbers or type(hints.host) is not str or type(hints.values) is not dict:
        raise ValueError("hints must be host, generation, version and values")
    return hints


def _check_types(core: Core) -> None:
    for name, kind in Core.__annotations__.items():
        origin = getattr(kind, "__origin__", kind)
        if type(getattr(core, name)) is not origin:
            raise ValueError(f"{name} must be {origin.__name__}")


class Members:
    """The records of all hosts, including this one, and those that each peer lacks."""

    def __init__(self, *, own: Core) -> None:
        self.cores: dict[str, Core] = {own.host: own}
        self.hints: dict[str, Hints] = {}
        # Core that another incarnation of this host wrote with the same or a greater
        # generation; the greatest of them.
        self.newer_incarnation: Core | None = None
        self.revision = 0  # counts changes of cores
        self.placement_revision = 0  # counts changes of hosts' locations and addresses
        self._host = own.host
        self._replaced: dict[str, list[str]] = {}  # past incarnations by host
        self._unsent: dict[str, _Unsent] = {}  # by peer
        self._alive: frozenset[str] | None = None  # cached until a core changes

    @property
    def own(self) -> Core:
        """This host's core."""
        return self.cores[self._host]

    def change_own(self, **fields: object) -> bool:
        """Change fields of this host's core; return whether any value changed."""
        changed = self.own._replace(**fields)
        if changed == self.own:
            return False
        self._store_core(changed._replace(version=self.own.version + 1), source="")
        return True

    def publish_hints(self, values: dict) -> bool:
        """Publish this host's hints; return whether they differ from the last."""
        last = self.hints.get(self._host)
        if last is not None and last.values == values:
            return False
        version = last.version + 1 if last is not None else 1
        hints = Hints(self._host, self.own.generation, version, dict(values))
        self._store_hints(hints, source="")
        return True

    def add_registered(self, core: Core) -> bool:
        """Apply a core from the register; return whether it was newer than known."""
        return self._apply_core(core, source="")

    def receive(
        self, peer: str, cores: abc.Iterable[Core], hints: abc.Iterable[Hints]
    ) -> int:
        """Apply records that `peer` sent; return how many were newer than known."""
        applied = 0
        for core in cores:
            applied += self._apply_core(core, source=peer)
        for each in hints:
            applied += self._apply_hints(each, source=peer)
        return applied

    def is_replaced(self, host: str, incarnation: str) -> bool:
        """Return whether a newer one has replaced this incarnation of `host`."""
        return incarnation in self._replaced.get(host, [])

    def forget(self, host: str) -> None:
        """Drop the record of a host that is gone for good, unless it is this host."""
        if host == self._host:
            return
        self.cores.pop(host, None)
        self.hints.pop(host, None)
        self._replaced.pop(host, None)
        for unsent in self._unsent.values():
            unsent.cores.pop(host, None)
            unsent.drop_hints(host)
        self.revision += 1
        self.placement_revision += 1
        self._alive = None

    def alive(self) -> frozenset[str]:
        """Return the hosts, including this one, that a chain of streams leads to."""
        if self._alive is None:
            self._alive = self._reachable()
        return self._alive

    def _reachable(self) -> frozenset[str]:
        reached = {self._host}
        frontier = [self._host]
        while frontier:
            core = self.cores.get(frontier.pop())
            if core is None:
                continue
            for host in core.hears:
                if host in reached or host not in self.cores:
                    continue
                reached.add(host)
                frontier.append(host)
        return frozenset(reached)

    def digest(self) -> dict[str, tuple]:
        """Return the keys of all records, by host, for a peer to compare with its own.

        Each is the core's generation, incarnation and version, followed by the hints'
        generation and version, 0 without hints.
        """
        return {
            host: (*core.age_key, *self._hints_key(host))
            for host, core in self.cores.items()
        }

    def connect(self, peer: str) -> None:
        """Start to track which records `peer` lacks; `compare` must follow."""
        self._unsent[peer] = _Unsent()

    def disconnect(self, peer: str) -> None:
        """Stop tracking which records `peer` lacks."""
        self._unsent.pop(peer, None)

    def compare(self, peer: str, digest: dict[str, tuple]) -> None:
        """Mark the records that `peer` lacks, as its digest shows."""
        unsent = self._unsent.get(peer)
        if unsent is None:
            return
        for host, core in self.cores.items():
            known = tuple(digest.get(host, ()))
            if known[:3] < core.age_key:
                unsent.cores[host] = None
            if host in self.hints and known[3:] < self.hints[host].age_key:
                unsent.hints[self._is_near(host)][host] = None

    def pop_cores(self, peer: str, count: int) -> list[Core]:
        """Remove and return up to `count` cores that `peer` lacks."""
        hosts = _pop(self._unsent[peer].cores, count)
        return [self.cores[host] for host in hosts]

    def pop_hints(self, peer: str, count: int, *, near: bool) -> list[Hints]:
        """Remove and return up to `count` hints that `peer` lacks.

        They are of hosts in this host's region if `near`, otherwise of hosts in others.
        Those that wait longest come first.
        """
        hosts = _pop(self._unsent[peer].hints[near], count)
        return [self.hints[host] for host in hosts]

    def _is_near(self, host: str) -> bool:
        return self.cores[host].region == self.own.region

    def _hints_key(self, host: str) -> tuple[int, int]:
        hints = self.hints.get(host)
        return hints.age_key if hints is not None else (0, 0)

    def _apply_core(self, core: Core, *, source: str) -> bool:
        known = self.cores.get(core.host)
        if core.host == self._host:
            self._record_newer_incarnation(core)
            return False
        if known is not None and core.age_key <= known.age_key:
            if source in self._unsent and core.age_key == known.age_key:
                self._unsent[source].cores.pop(core.host, None)
            return False
        self._store_core(core, source=source)
        return True

    def _record_newer_incarnation(self, core: Core) -> None:
        """Record a core of this host that another incarnation of it wrote."""
        if core.incarnation == self.own.incarnation:
            return
        if core.generation < self.own.generation:
            return
        if (
            self.newer_incarnation is None
            or core.generation > self.newer_incarnation.generation
        ):
            self.newer_incarnation = core

    def _store_core(self, core: Core, *, source: str) -> None:
        before = self.cores.get(core.host)
        self.cores[core.host] = core
        self.revision += 1
        self._alive = None
        if before is None or _place(before) != _place(core):
            self.placement_revision += 1
        if before is not None and before.incarnation != core.incarnation:
            past = [*self._replaced.get(core.host, []), before.incarnation]
            self._replaced[core.host] = past[-PAST_INCARNATIONS:]
        hints = self.hints.get(core.host)
        if hints is not None and hints.generation < core.generation:
            del self.hints[core.host]
        for peer, unsent in self._unsent.items():
            if core.host not in self.hints:
                unsent.drop_hints(core.host)
            if peer == source:
                unsent.cores.pop(core.host, None)
            elif peer != core.host:
                unsent.cores[core.host] = None

    def _apply_hints(self, hints: Hints, *, source: str) -> bool:
        core = self.cores.get(hints.host)
        if hints.host == self._host or core is None:
            return False
        if hints.generation != core.generation:
            return False
        if hints.age_key <= self._hints_key(hints.host):
            if source in self._unsent and hints.age_key == self._hints_key(hints.host):
                self._unsent[source].drop_hints(hints.host)
            return False
        self._store_hints(hints, source=source)
        return True

    def _store_hints(self, hints: Hints, *, source: str) -> None:
        self.hints[hints.host] = hints
        near = self._is_near(hints.host)
        for peer, unsent in self._unsent.items():
            if peer == source:
                unsent.drop_hints(hints.host)
            elif peer != hints.host:
                unsent.hints[near][hints.host] = None


class _Unsent:
    """The hosts whose records one peer may lack, longest waiting first."""

    def __init__(self) -> None:
        self.cores: dict[str, None] = {}
        # By whether the host is in this host's region.
        self.hints: dict[bool, dict[str, None]] = {True: {}, False: {}}

    def drop_hints(self, host: str) -> None:
        """Mark that the peer does not lack a host's hints."""
        for hosts in self.hints.values():
            hosts.pop(host, None)


def _pop(waiting: dict[str, None], count: int) -> list[str]:
    """Remove and return the first `count` hosts."""
    hosts = list(itertools.islice(waiting, count))
    for host in hosts:
        del waiting[host]
    return hosts


def _place(core: Core) -> tuple[str, str, str]:
    return (core.region, core.data_centre, core.address)
