"""Membership: each host keeps a row in the store and follows those of the others."""

import asyncio
import json
import math
import random
import secrets
import typing
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import ranking
from dogwoodchute.gateway import model, rows

TABLE = "hosts"
HEARTBEAT = 1.0  # seconds between writes of a host's row
DEAD_AFTER = 3.5  # seconds without a new heartbeat, three of them and a margin
FORGET_AFTER = 20.0  # seconds after which a dead host's row is removed
STARTING = "starting"
READY = "ready"
LEAVING = "leaving"
TEXTS = ("name", "data_centre", "region", "callers", "control", "gossip", "state")


class Host(typing.NamedTuple):
    """One lifetime of a host, as it describes itself."""

    id: str  # of the lifetime
    name: str
    data_centre: str
    region: str
    callers: str  # address for requests
    control: str  # address for other hosts
    gossip: str  # address for other hosts' datagrams
    state: str
    beat: int
    link_mbps: float = 1000.0  # of the host's own link
    registered: int = 0  # version of the lifetime's first row, 0 until that is known
    began: float = math.inf  # seconds of the store's clock, not before its begin


class Living(typing.NamedTuple):
    """The other hosts that live, and for which reads of the table that holds."""

    hosts: tuple[Host, ...]
    since: float  # monotonic seconds of the read
    oldest: float  # monotonic seconds of the earliest last beat among them

    def holds(self, at: float) -> bool:
        """Whether none has aged out by a read at `at`, if no row has changed."""
        return self.since <= at and at - self.oldest <= DEAD_AFTER


class Registration(typing.NamedTuple):
    """What shows that earlier lifetimes of a host have ended, and by when."""

    version: int  # of the lifetime's first row
    began: float  # seconds of the store's clock, not before the process began


class Hosts:
    """The hosts of the fleet, as this one knows them."""

    def __init__(
        self,
        *,
        deployment: model.Deployment,
        store: rows.Store,
        state: abc.Callable[[], str],
        now: abc.Callable[[], float],
        began: float = math.inf,
    ) -> None:
        self.id = f"{deployment.host}-{secrets.token_hex(4)}"
        self._began = began  # monotonic seconds
        self._registration: Registration | None = None
        self._deployment = deployment
        self._store = store
        self._state = state
        self._now = now
        self._beat = 0
        self._known: dict[str, Host] = {}
        self._beaten: dict[str, float] = {}  # monotonic seconds of the last beat
        self._written: dict[str, int] = {}  # version of each row
        self._living: Living | None = None  # None after a change of rows
        self._read_at: abc.Callable[[], float | None] = lambda: None
        self._wake = asyncio.Event()

    def follow(self, read_at: abc.Callable[[], float | None]) -> None:
        """Set what tells when the table was last read, in monotonic seconds."""
        self._read_at = read_at
        self._living = None

    def changed(self, all_rows: dict[str, rows.Row], changed: list[rows.Row]) -> None:
        """Take in changed rows of the table."""
        self._living = None
        now = self._now()
        for row in changed:
            if row.value is None:
                self._forget(row.key)
                continue
            host = decode(row.key, row.value)
            if host is None:
                log.warning("host_row_unreadable", row=row.key, version=row.version)
                continue
            self._written[host.id] = row.version
            before = self._known.get(host.id)
            if before is None or before.beat != host.beat:
                self._beaten[host.id] = now
            if before is None and host.id != self.id:
                log.info("host_seen", peer=host.id, state=host.state)
            self._known[host.id] = host

    @property
    def live(self) -> tuple[Host, ...]:
        """The other hosts that live, as far as this one can tell.

        While the table can't be read, nobody ages. Of a restarted host only the
        lifetime that wrote last counts. The same tuple is returned until a row changes
        or a host ages out.
        """
        at = self._read_at()
        if at is None:
            return ()
        if self._living is None or not self._living.holds(at):
            self._living = self._find_living(at)
        return self._living.hosts

    @property
    def count(self) -> int:
        """Hosts that live, this one included."""
        return 1 + len(self.live)

    @property
    def follows_a_kill(self) -> bool:
        """Whether an earlier process of this host ended lately without leaving.

        A process that leaves removes its row. True too before the rows are known.
        """
        if self._read_at() is None:
            return True
        name = self._deployment.host
        earlier = [host for host in self._known.values() if host.name == name]
        return any(host.id != self.id for host in earlier)

    @property
    def own_registration(self) -> int:
        """Version of this lifetime's first row, 0 until it is known."""
        return self._registration.version if self._registration is not None else 0

    @property
    def registered(self) -> dict[str, Host]:
        """The newest lifetime of each host by its name, of those that registered."""
        newest: dict[str, Host] = {}
        for host in self._known.values():
            other = newest.get(host.name)
            if host.registered and (not other or other.registered < host.registered):
                newest[host.name] = host
        return newest

    @property
    def gone(self) -> set[str]:
        """Lifetimes that are known to have ended some time ago."""
        at = self._read_at()
        if at is None:
            return set()
        return {i for i, beaten in self._beaten.items() if at - beaten > FORGET_AFTER}

    def is_first(self, key: str) -> bool:
        """Whether rendezvous hashing ranks this host first of those that stay."""
        own = ranking.score(key, self._deployment.host, 1.0)
        staying = [host for host in self.live if host.state != LEAVING]
        return all(ranking.score(key, host.name, 1.0) < own for host in staying)

    def relays(self) -> list[str]:
        """Return the control addresses of hosts that may reach the store."""
        known = [host.control for host in self.live if host.state != LEAVING]
        if known:
            return known
        own = self._deployment.control
        return [seed for seed in self._deployment.seeds if seed != own]

    def beat_now(self) -> None:
        """Write this host's row at once, after a change of its state."""
        self._wake.set()

    async def run(self) -> None:
        """Write this host's row again and again until cancelled."""
        while True:
            try:
                await self._write()
                if self._registration is None:
                    await self._register()
                await self._clean()
            except Exception:
                log.exception("heartbeat_failed")
            self._wake.clear()
            pause = HEARTBEAT * random.uniform(0.9, 1.1)
            try:
                await asyncio.wait_for(self._wake.wait(), pause)
            except TimeoutError:
                continue

    async def leave(self) -> None:
        """Remove this host's row."""
        await self._store.commit("", [], [rows.Put(TABLE, self.id, None)])

    async def _write(self) -> None:
        self._beat += 1
        place = self._deployment
        registration = self._registration or Registration(0, math.inf)
        host = Host(
            id=self.id,
            name=place.host,
            data_centre=place.data_centre,
            region=place.region,
            callers=place.callers,
            control=place.control,
            gossip=place.gossip,
            state=self._state(),
            beat=self._beat,
            link_mbps=place.link_mbps,
            registered=registration.version,
            began=registration.began,
        )
        await self._store.commit("", [], [rows.Put(TABLE, self.id, encode(host))])

    async def _register(self) -> None:
        """Learn what shows that earlier lifetimes of this host have ended."""
        sent = self._now()
        found = await self._store.read(TABLE, "", self.id, f"{self.id}\0")
        if isinstance(found, rows.Unavailable) or not found.rows:
            return
        began = found.now - (sent - self._began)
        self._registration = Registration(found.rows[0].version, began)
        log.info("registered", version=found.rows[0].version, began=f"{began:.3f}")
        await self._write()

    async def _clean(self) -> None:
        """Remove rows of hosts that are long gone; one host does it for all."""
        gone = self.gone & set(self._known)
        if not gone or self.id != min([self.id, *(host.id for host in self.live)]):
            return
        puts = [rows.Put(TABLE, name, None) for name in sorted(gone)[:50]]
        outcome = await self._store.commit("", [], puts)
        if isinstance(outcome, rows.Committed):
            log.info("hosts_removed", hosts=",".join(sorted(gone)[:50]))

    def _find_living(self, at: float) -> Living:
        latest: dict[str, Host] = {}
        oldest = at
        for host in self._known.values():
            beaten = self._beaten[host.id]
            if host.name == self._deployment.host or at - beaten > DEAD_AFTER:
                continue
            oldest = min(oldest, beaten)
            other = latest.get(host.name)
            if other is None or self._written[other.id] < self._written[host.id]:
                latest[host.name] = host
        return Living(tuple(latest.values()), at, oldest)

    def _forget(self, name: str) -> None:
        if self._known.pop(name, None) is not None:
            log.info("host_gone", peer=name)
        self._beaten.pop(name, None)
        self._written.pop(name, None)


def encode(host: Host) -> bytes:
    """Return the value of a host's row."""
    plain = host._asdict()
    plain.pop("id")
    if not host.registered:
        plain.pop("began")
    return json.dumps(plain, separators=(",", ":")).encode()


def decode(name: str, value: bytes) -> Host | None:
    """Return the host in a row's value, None if it can't be read."""
    try:
        plain = json.loads(value)
        texts = {field: str(plain[field]) for field in TEXTS}
        link = float(plain.get("link_mbps", 1000.0))  # rows of older hosts lack it
        return Host(
            id=name,
            beat=int(plain["beat"]),
            link_mbps=link,
            registered=int(plain.get("registered", 0)),
            began=float(plain.get("began", math.inf)),
            **texts,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
