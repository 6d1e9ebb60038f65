"""What one host knows of the others, and how that knowledge spreads.

Each host writes one record of itself and passes on the records of others over a sparse
graph of streams, newest version only. A record has a core, which changes seldom (who
the host is, whether it leaves, whom it hears), and hints, which change often.

Liveness is reachability, as in link-state routing (J. McQuillan, I. Richer and E.
Rosen, "The New Routing Algorithm for the ARPANET", IEEE Transactions on Communications
28(5), 1980): a host is alive if a chain of hosts, each hearing the next, leads to it.
No neighbour hears a dead host; no host on this side hears a region that is cut off.
"""

import itertools
import typing
from collections import abc

PAST_INCARNATIONS = 4  # remembered of each host


class Core(typing.NamedTuple):
    """What changes seldom of a host. Ordered by generation, incarnation, version."""

    host: str
    generation: int  # counts the host's registrations
    incarnation: str
    version: int  # of this core, within the incarnation
    region: str
    data_centre: str
    address: str  # IP number and port of the peer listener
    caller_address: str
    leaving: bool
    stale: bool  # without the store for too long
    hears: tuple[str, ...]  # hosts whose streams are open, by name

    @property
    def age_key(self) -> tuple[int, str, int]:
        """What a newer core of the same host exceeds."""
        return (self.generation, self.incarnation, self.version)


class Hints(typing.NamedTuple):
    """What a host last said of itself; never to be taken as truth."""

    host: str
    generation: int
    version: int
    values: dict

    @property
    def age_key(self) -> tuple[int, int]:
        """What newer hints of the same host exceed."""
        return (self.generation, self.version)


def core_from_plain(fields: list) -> Core:
    """Return the core whose fields came from a peer.

    Raises `TypeError` or `ValueError` if they are not those of a core.
    """
    core = Core(*fields)
    core = core._replace(hears=tuple(core.hears))
    _check_types(core)
    if not all(isinstance(host, str) for host in core.hears):
        raise ValueError("hears must name hosts")
    return core


def hints_from_plain(fields: list) -> Hints:
    """Return the hints whose fields came from a peer.

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
    """The records of all hosts, this one's included, and what each peer lacks."""

    def __init__(self, *, own: Core) -> None:
        self.cores: dict[str, Core] = {own.host: own}
        self.hints: dict[str, Hints] = {}
        self.rival: Core | None = None  # another incarnation of this host
        self.revision = 0  # counts changes of cores
        self.places = 0  # counts changes of who is where
        self._host = own.host
        self._replaced: dict[str, list[str]] = {}  # past incarnations by host
        self._dirty: dict[str, _Dirty] = {}
        self._alive: frozenset[str] | None = None

    @property
    def own(self) -> Core:
        """This host's core."""
        return self.cores[self._host]

    def change_own(self, **fields: object) -> bool:
        """Change fields of this host's core; return whether any differs."""
        changed = self.own._replace(**fields)
        if changed == self.own:
            return False
        self._store_core(changed._replace(version=self.own.version + 1), source="")
        return True

    def say(self, values: dict) -> bool:
        """Publish this host's hints; return whether they differ from the last."""
        last = self.hints.get(self._host)
        if last is not None and last.values == values:
            return False
        version = last.version + 1 if last is not None else 1
        hints = Hints(self._host, self.own.generation, version, dict(values))
        self._store_hints(hints, source="")
        return True

    def learn(self, core: Core) -> bool:
        """Take a core from the register; return whether it is newer than known."""
        return self._take_core(core, source="")

    def receive(
        self, peer: str, cores: abc.Iterable[Core], hints: abc.Iterable[Hints]
    ) -> int:
        """Take records that `peer` sent; return how many were newer than known."""
        taken = 0
        for core in cores:
            taken += self._take_core(core, source=peer)
        for each in hints:
            taken += self._take_hints(each, source=peer)
        return taken

    def replaced(self, host: str, incarnation: str) -> bool:
        """Return whether a newer incarnation of `host` than this one is known."""
        return incarnation in self._replaced.get(host, [])

    def forget(self, host: str) -> None:
        """Drop all that is known of a host that has gone for good."""
        if host == self._host:
            return
        self.cores.pop(host, None)
        self.hints.pop(host, None)
        self._replaced.pop(host, None)
        for dirty in self._dirty.values():
            dirty.cores.pop(host, None)
            dirty.drop_hints(host)
        self.revision += 1
        self.places += 1
        self._alive = None

    def alive(self) -> frozenset[str]:
        """Return the hosts that a chain of open streams leads to, this one first."""
        if self._alive is None:
            self._alive = self._reach()
        return self._alive

    def _reach(self) -> frozenset[str]:
        reached = {self._host}
        edge = [self._host]
        while edge:
            core = self.cores.get(edge.pop())
            if core is None:
                continue
            for host in core.hears:
                if host in reached or host not in self.cores:
                    continue
                reached.add(host)
                edge.append(host)
        return frozenset(reached)

    def digest(self) -> dict[str, tuple]:
        """Return generation, incarnation and versions of all records, by host."""
        return {
            host: (*core.age_key, *self._hint_key(host))
            for host, core in self.cores.items()
        }

    def connect(self, peer: str) -> None:
        """Begin to collect what `peer` lacks; its digest must follow."""
        self._dirty[peer] = _Dirty()

    def disconnect(self, peer: str) -> None:
        """Collect nothing more for `peer`."""
        self._dirty.pop(peer, None)

    def compare(self, peer: str, digest: dict[str, tuple]) -> None:
        """Mark what `peer`, which sent `digest`, does not have."""
        dirty = self._dirty.get(peer)
        if dirty is None:
            return
        for host, core in self.cores.items():
            has = tuple(digest.get(host, ()))
            if has[:3] < core.age_key:
                dirty.cores[host] = None
            if host in self.hints and has[3:] < self.hints[host].age_key:
                dirty.hints[self._near(host)][host] = None

    def take_cores(self, peer: str, count: int) -> list[Core]:
        """Remove and return up to `count` cores that `peer` lacks."""
        taken = _take(self._dirty[peer].cores, count)
        return [self.cores[host] for host in taken]

    def take_hints(self, peer: str, count: int, *, near: bool) -> list[Hints]:
        """Remove and return up to `count` hints, longest waiting first.

        They are of hosts in the own region if `near`, else of hosts in others.
        """
        taken = _take(self._dirty[peer].hints[near], count)
        return [self.hints[host] for host in taken]

    def _near(self, host: str) -> bool:
        return self.cores[host].region == self.own.region

    def _hint_key(self, host: str) -> tuple[int, int]:
        hints = self.hints.get(host)
        return hints.age_key if hints is not None else (0, 0)

    def _take_core(self, core: Core, *, source: str) -> bool:
        known = self.cores.get(core.host)
        if core.host == self._host:
            self._meet_rival(core)
            return False
        if known is not None and core.age_key <= known.age_key:
            if source in self._dirty and core.age_key == known.age_key:
                self._dirty[source].cores.pop(core.host, None)
            return False
        self._store_core(core, source=source)
        return True

    def _meet_rival(self, core: Core) -> None:
        """Note a record of this host that another incarnation of it wrote."""
        if core.incarnation == self.own.incarnation:
            return
        if core.generation < self.own.generation:
            return
        if self.rival is None or core.generation > self.rival.generation:
            self.rival = core

    def _store_core(self, core: Core, *, source: str) -> None:
        before = self.cores.get(core.host)
        self.cores[core.host] = core
        self.revision += 1
        self._alive = None
        if before is None or _place(before) != _place(core):
            self.places += 1
        if before is not None and before.incarnation != core.incarnation:
            past = [*self._replaced.get(core.host, []), before.incarnation]
            self._replaced[core.host] = past[-PAST_INCARNATIONS:]
        hints = self.hints.get(core.host)
        if hints is not None and hints.generation < core.generation:
            del self.hints[core.host]
        for peer, dirty in self._dirty.items():
            if core.host not in self.hints:
                dirty.drop_hints(core.host)
            if peer == source:
                dirty.cores.pop(core.host, None)
            elif peer != core.host:
                dirty.cores[core.host] = None

    def _take_hints(self, hints: Hints, *, source: str) -> bool:
        core = self.cores.get(hints.host)
        if hints.host == self._host or core is None:
            return False
        if hints.generation != core.generation:
            return False
        if hints.age_key <= self._hint_key(hints.host):
            if source in self._dirty and hints.age_key == self._hint_key(hints.host):
                self._dirty[source].drop_hints(hints.host)
            return False
        self._store_hints(hints, source=source)
        return True

    def _store_hints(self, hints: Hints, *, source: str) -> None:
        self.hints[hints.host] = hints
        near = self._near(hints.host)
        for peer, dirty in self._dirty.items():
            if peer == source:
                dirty.drop_hints(hints.host)
            elif peer != hints.host:
                dirty.hints[near][hints.host] = None


class _Dirty:
    """The hosts whose records one peer may lack, longest waiting first."""

    def __init__(self) -> None:
        self.cores: dict[str, None] = {}
        self.hints: dict[bool, dict[str, None]] = {True: {}, False: {}}  # by near

    def drop_hints(self, host: str) -> None:
        """Hold the peer to have a host's hints."""
        for hosts in self.hints.values():
            hosts.pop(host, None)


def _take(waiting: dict[str, None], count: int) -> list[str]:
    taken = list(itertools.islice(waiting, count))
    for host in taken:
        del waiting[host]
    return taken


def _place(core: Core) -> tuple[str, str, str]:
    return (core.region, core.data_centre, core.address)
