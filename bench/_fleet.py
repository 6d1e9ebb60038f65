"""A fleet of real membership controllers over in-memory streams, in virtual time."""

import random
import time
from collections import abc

from dogwoodchute import peer_streams, peer_wire, runtime, settings
from dogwoodchute.controllers import membership
from dogwoodchute.coordination import topology
from dogwoodchute.platform import connect
from dogwoodchute.standins import hostlist, table
from dogwoodchute.tools import demo

TCP_BYTES = 52  # IP and TCP headers of one segment, or of one acknowledgement
# By number of hosts: regions, data centres.
FLEET_SHAPES = {10: (2, 3), 40: (3, 6), 100: (5, 10), 340: (5, 19)}


def places(count: int) -> list[topology.Place]:
    """Return `count` hosts, spread over regions and data centres by `FLEET_SHAPES`."""
    regions, centres = FLEET_SHAPES[count]
    hosts = []
    for n in range(count):
        centre = n % centres
        region = f"region-{centre % regions}"
        hosts.append(topology.Place(f"host-{n:03d}", region, f"centre-{centre:02d}"))
    return hosts


def config_of(place: topology.Place) -> settings.Settings:
    """Return the settings of a host at `place`."""
    text = demo.SETTINGS.format(caller_port=0, operator_port=0)
    config = settings.parse(text, source="bench")
    fields = {
        "id": place.host,
        "region": place.region,
        "data_centre": place.data_centre,
    }
    host = config.host.model_copy(update=fields)
    return config.model_copy(update={"host": host})


class Streams:
    """Replaces `peer_streams.Streams` and counts the bytes of the frames it carries."""

    def __init__(self, *, fleet: "Fleet", place: topology.Place) -> None:
        self.port = 1 + fleet.numbers[place.host]
        self.wanted_addresses: dict[str, str] = {}
        self.hints: dict[str, object] = {}
        self.known: abc.Callable = list
        self.find_address: abc.Callable = self.wanted_addresses.get
        self.open_hosts: list[str] = []
        self.bytes = 0
        self.frames = 0
        self.other_region_bytes = 0  # to other regions, with headers for each frame
        self.callbacks: peer_streams.Callbacks | None = None
        self._fleet = fleet
        self._name = place.host

    @property
    def recently_open_hosts(self) -> list[str]:
        """The hosts with an open stream."""
        return self.open_hosts

    async def start(self, incarnation: str, callbacks: peer_streams.Callbacks) -> None:
        """Store the callbacks."""
        self.callbacks = callbacks

    def is_ready_for_gossip(self, host: str) -> bool:
        """Return whether there is an open stream; no stream here has a send buffer."""
        return host in self.open_hosts

    def queue_gossip(self, host: str, message: peer_wire.Message) -> int:
        """Queue the frame of a message for delivery and return its size."""
        frame = peer_wire.encode(message)
        self.bytes += len(frame)
        self.frames += 1
        if self._fleet.regions[host] != self._fleet.regions[self._name]:
            self.other_region_bytes += len(frame) + 2 * TCP_BYTES
        self._fleet.queue.append((self._name, host, frame))
        return len(frame)


class Fleet:
    """All hosts of one run. Times are in seconds of virtual time."""

    def __init__(self, *, count: int, rng: random.Random) -> None:
        self.now = 0.0
        self.places = places(count)
        self.numbers = {place.host: n for n, place in enumerate(self.places)}
        self.regions = {place.host: place.region for place in self.places}
        self.queue: list[tuple[str, str, bytes]] = []
        self.streams: dict[str, Streams] = {}
        self.members: dict[str, membership.Membership] = {}
        self.cpu_seconds = 0.0
        self.config = config_of(self.places[0])
        self._identities: dict[str, peer_wire.Identity] = {}
        platform = connect.embedded(
            tables=table.MemoryTable(), hosts=hostlist.MemoryHostList()
        )
        self.store = platform.store
        for place in self.places:
            host = runtime.host_state(config_of(place), platform)
            host.now = lambda: self.now
            host.rng = rng
            host.ready = True
            host.caller_address = f"10.0.0.1:{self.numbers[place.host]}"
            streams = Streams(fleet=self, place=place)
            self.streams[place.host] = streams
            self._identities[place.host] = peer_wire.Identity(
                place.host, host.incarnation, place.region, place.data_centre
            )
            self.members[place.host] = membership.Membership(
                host=host, streams=streams, superseded=print
            )

    async def start(self) -> None:
        """Register all hosts, then let each read the complete register."""
        for each in self.members.values():
            await each.start()
        for each in self.members.values():
            each.request_renewal()
            await each.sync_register()

    async def advance(self, seconds: float) -> None:
        """Run the controllers for `seconds`; hosts change their hints every second."""
        started_at = time.process_time()
        for _ in range(round(seconds / membership.STEP)):
            self.now += membership.STEP
            for name, each in self.members.items():
                self.streams[name].hints["at"] = int(self.now)
                await each.step()
            self._connect()
            self.deliver()
        self.cpu_seconds += time.process_time() - started_at

    def _connect(self) -> None:
        for name, streams in self.streams.items():
            for peer in streams.wanted_addresses:
                if peer not in streams.open_hosts and peer in self.streams:
                    self._open(name, peer)

    def _open(self, one: str, other: str) -> None:
        for name, peer in ((one, other), (other, one)):
            self.streams[name].open_hosts.append(peer)
        for name, peer in ((one, other), (other, one)):
            self.streams[name].callbacks.opened(self._identities[peer])

    def deliver(self) -> None:
        """Deliver all queued frames, and those that are sent in response."""
        while self.queue:
            frames, self.queue = self.queue, []
            for sender, target, frame in frames:
                message = peer_wire.decode(frame[peer_wire.LENGTH.size :])
                identity = self._identities[sender]
                self.streams[target].callbacks.received(identity, message)

    def identity(self, name: str) -> peer_wire.Identity:
        """Return the identity that a host proves to its peers."""
        return self._identities[name]

    def kill(self, victim: str) -> None:
        """Remove a host; its neighbours close their streams to it as silent."""
        for peer in self.streams[victim].open_hosts:
            self.streams[peer].open_hosts.remove(victim)
            self.streams[peer].callbacks.closed(self._identities[victim], "silent")
        del self.streams[victim], self.members[victim]
        self.queue = [item for item in self.queue if item[1] != victim]
