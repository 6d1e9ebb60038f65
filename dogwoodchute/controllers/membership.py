"""Keeps streams to neighbours, gossips host records, and reports which hosts live."""

import asyncio
import ipaddress
from collections import abc

import prometheus_client

from dogwoodchute import controller, log, peer_streams, peer_wire, peers, state
from dogwoodchute.controllers import gossip, register
from dogwoodchute.coordination import membership, topology

STEP = 0.1  # seconds
HINT_INTERVAL = 1.0  # seconds between updates of this host's hints
STORE_INTERVAL = 10.0  # seconds between reads of the register
MAX_SEEDS = 4  # hosts of the host list that are dialled while no other is known

KNOWN = prometheus_client.Gauge("dogwoodchute_hosts_known", "Hosts in the register.")
ALIVE = prometheus_client.Gauge("dogwoodchute_hosts_alive", "Hosts that are heard.")
STORE_AGE = prometheus_client.Gauge(
    "dogwoodchute_store_age_seconds", "Seconds since the store last answered."
)


class Membership:
    """What this host knows of the fleet, and how it passes that on.

    `superseded` is called with the incarnation that replaces this one.
    """

    def __init__(
        self,
        *,
        host: state.HostState,
        streams: peer_streams.Streams,
        superseded: abc.Callable[[str], None],
    ) -> None:
        place = host.config.host
        self.register = register.Register(host=host)
        self.members = membership.Members(
            own=membership.Core(
                place.id,
                0,
                host.incarnation,
                1,
                place.region,
                place.data_centre,
                "",
                "",
                leaving=False,
                stale=False,
                hears=(),
            )
        )
        self._host = host
        self._streams = streams
        self._superseded = superseded
        self._generation_raised = False
        self._store_check: asyncio.Task | None = None
        self._incarnations: dict[str, str] = {}  # of the last stream, by host
        # `members.placement_revision` when the streams were last chosen.
        self._places_revision = 0
        self._hints_set_at = float("-inf")
        self._store_answered_at = host.now()
        self._renewed_at = float("-inf")
        self._known_cache: tuple[object, list[peers.Peer]] = (None, [])  # key, peers
        self._gossip = gossip.Gossip(
            members=self.members,
            streams=streams,
            rate=host.config.peers.hint_bytes_per_second,
            now=host.now,
        )
        streams.known = self.known
        streams.find_address = self.address_of

    def known(self) -> list[peers.Peer]:
        """Return all other hosts of the fleet."""
        listed = self._host.host_list
        listed_revision = listed.revision if listed is not None else -1
        # The result is cached for a second, so that frequent calls stay cheap; hints
        # may be as old.
        key = (self.members.revision, listed_revision, int(self._host.now()))
        if self._known_cache[0] != key:
            alive = self.members.alive()
            cores = self.members.cores.values()
            found = [self._peer(core, core.host in alive) for core in cores]
            self._known_cache = (key, [p for p in found if p.host != self._own_name])
        return list(self._known_cache[1])

    @property
    def _own_name(self) -> str:
        return self._host.config.host.id

    def _peer(self, core: membership.Core, alive: bool) -> peers.Peer:
        hints = self.members.hints.get(core.host)
        values = dict(hints.values) if hints is not None else {}
        values["stale"] = core.stale
        return peers.Peer(
            core.host,
            core.incarnation,
            core.region,
            core.data_centre,
            core.address,
            core.caller_address,
            alive=alive,
            leaving=core.leaving or self._host.is_listed_as_leaving(core.host),
            hints=values,
        )

    def address_of(self, name: str) -> str | None:
        """Return the peer address of a host, None if it is unknown."""
        core = self.members.cores.get(name)
        return core.address or None if core is not None else None

    async def start(self) -> None:
        """Listen for peers, and register this host if the store answers."""
        callbacks = peer_streams.Callbacks(
            self._is_replaced,
            self._opened,
            self._closed,
            self._received,
            self._after_pause,
        )
        await self._streams.start(self._host.incarnation, callbacks)
        address = peer_streams.join_address(
            self._host.config.host.address, self._streams.port
        )
        self.members.change_own(address=address)
        await self.sync_register()

    def request_renewal(self) -> None:
        """Renew the row at the next `sync_register`, since callers are served now."""
        self._renewed_at = float("-inf")

    async def step(self) -> None:
        """Update this host's own record and the wanted streams, and send gossip."""
        self._refresh()
        now = self._host.now()
        if now - self._hints_set_at >= HINT_INTERVAL:
            self._hints_set_at = now
            self._gossip.publish_hints({**self._streams.hints, "load": self._host.load})
            KNOWN.set(len(self.members.cores))
            ALIVE.set(len(self.members.alive()))
            STORE_AGE.set(now - self._store_answered_at)
        self._gossip.flush()

    def _refresh(self) -> None:
        host = self._host
        store_age = host.now() - self._store_answered_at
        old_release = host.release_age > host.config.release.stale_after
        host.stale = store_age > host.config.peers.stale_after or (
            host.ready and old_release
        )
        self._choose_streams()
        hears = [
            name
            for name in self._streams.recently_open_hosts
            if self._is_known_neighbour(name)
        ]
        self.members.change_own(
            caller_address=host.caller_address if host.ready else "",
            leaving=host.leaving,
            stale=host.stale,
            hears=tuple(sorted(hears)),
        )
        self._resolve_rival()

    def _is_known_neighbour(self, name: str) -> bool:
        """Return whether a stream is from a neighbour's incarnation that is known."""
        core = self.members.cores.get(name)
        known = core is not None and core.incarnation == self._incarnations.get(name)
        return known and name in self._streams.wanted_addresses

    def _choose_streams(self) -> None:
        """Choose which streams to keep if hosts were added, removed or moved."""
        if self.members.placement_revision == self._places_revision:
            if not self._streams.wanted_addresses:
                self._streams.wanted_addresses = self._listed_addresses()
            return
        self._places_revision = self.members.placement_revision
        cores = [core for core in self.members.cores.values() if core.address]
        places = [topology.Place(c.host, c.region, c.data_centre) for c in cores]
        addresses = {core.host: core.address for core in cores}
        neighbours = topology.neighbours(places, self._own_name)
        self._streams.wanted_addresses = {name: addresses[name] for name in neighbours}

    def _listed_addresses(self) -> dict[str, str]:
        """Return a few addresses of the host list, to start from without the store."""
        listed = self._host.host_list
        place = self._host.config.host
        if listed is None:
            return {}
        found = []
        for name, entry in sorted(listed.hosts.items()):
            if name == place.id or entry.leaving or not _is_ip_address(entry.address):
                continue
            found.append(
                (name, peer_streams.join_address(entry.address, place.peer_port))
            )
        return dict(self._host.rng.sample(found, min(MAX_SEEDS, len(found))))

    def _resolve_rival(self) -> None:
        rival, self.members.newer_incarnation = self.members.newer_incarnation, None
        if rival is None:
            return
        if self.register.generation > 0 or self._generation_raised:
            log.error("host_superseded", incarnation=rival.incarnation)
            self._superseded(rival.incarnation)
            return
        # The store has not been reached since the start, so the other incarnation most
        # likely is the one before this.
        self._generation_raised = True
        self.members.change_own(generation=rival.generation + 1)

    def _is_replaced(self, peer: peer_wire.Identity) -> bool:
        return self.members.is_replaced(peer.host, peer.incarnation)

    def _opened(self, peer: peer_wire.Identity) -> None:
        self._incarnations[peer.host] = peer.incarnation
        if peer.host in self._streams.wanted_addresses:
            self._gossip.link(peer.host)

    def _closed(self, peer: peer_wire.Identity, reason: str) -> None:
        if peer.host not in self._streams.open_hosts:
            self._gossip.unlink(peer.host)

    def _received(self, peer: peer_wire.Identity, message: peer_wire.Message) -> None:
        self._gossip.handle_message(peer.host, message)

    def _after_pause(self, seconds: float) -> None:
        """After a pause, check at once whether another incarnation has registered."""
        self._store_check = asyncio.create_task(self.sync_register())

    async def sync_register(self) -> None:
        """Check this host's row; if a renewal is due, renew it and read all rows."""
        now = self._host.now()
        if len(self.members.cores) == 1:
            self._streams.wanted_addresses = {}  # so that other listed hosts are tried
        if now - self._renewed_at < self._host.config.peers.register_interval:
            self._handle_outcome(await self.register.check())
            return
        outcome = await self.register.write(
            self.members.own, at_least=self.members.own.generation
        )
        if not self._handle_outcome(outcome):
            return
        self._renewed_at = now
        self.members.change_own(generation=outcome.generation)
        cores = await self.register.scan(self.members.alive())
        if cores is not None:
            self._merge_registered(cores)

    def _handle_outcome(self, outcome: register.Outcome) -> bool:
        """Handle an answer of the register; return whether it names this process."""
        if isinstance(outcome, register.StoreUnreachable):
            log.warning("register_failed", reason=outcome.reason, peer=outcome.peer)
            return False
        self._store_answered_at = self._host.now()
        if isinstance(outcome, register.Superseded):
            log.error("host_superseded", incarnation=outcome.incarnation)
            self._superseded(outcome.incarnation)
            return False
        return True

    def _merge_registered(self, cores: list[membership.Core]) -> None:
        for core in cores:
            self.members.add_registered(core)
        registered = {core.host for core in cores}
        for name in list(self.members.cores):
            if name not in registered and name not in self.members.alive():
                log.info("host_forgotten", peer=name)
                self.members.forget(name)
                self._incarnations.pop(name, None)

    async def stop(self) -> None:
        """Record in the register that this process exits, and close the streams."""
        if self._store_check is not None:
            self._store_check.cancel()
        outcome = await self.register.write(self.members.own, left=True)
        if isinstance(outcome, register.StoreUnreachable):
            log.warning("register_failed", reason=outcome.reason, peer=outcome.peer)
        await self._streams.stop()

    def controllers(self) -> list[controller.Controller]:
        """Return the controllers of streams, gossip and the register."""
        return [
            controller.Controller("peer_streams", self.start, self.stop),
            controller.periodic("membership", self.step, interval=STEP),
            controller.periodic(
                "register", self.sync_register, interval=STORE_INTERVAL
            ),
        ]


def _is_ip_address(address: str) -> bool:
    """Return whether a listed address is a host's, an IP number without a port."""
    try:
        ipaddress.ip_address(address)
    except ValueError:
        return False
    return True
