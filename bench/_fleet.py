"""A fleet of real membership drivers over in-memory streams and passed-in time."""

import random
import time
from collections import abc

from dogwoodchute import peer_streams, peer_wire, runtime, settings
from dogwoodchute.controllers import membership
from dogwoodchute.coordination import topology
from dogwoodchute.platform import connect
from dogwoodchute.standins import hostlist, table
from dogwoodchute.tools import demo

TCP_BYTES = 52  # headers of IP and TCP of one segment, or of one acknowledgement
SHAPES = {10: (2, 3), 40: (3, 6), 100: (5, 10), 340: (5, 19)}  # regions, data centres


def places(count: int) -> list[topology.Place]:
    """Return `count` hosts spread over the regions and data centres of that size."""
    regions, centres = SHAPES[count]
    found = []
    for n in range(count):
        centre = n % centres
        region = f"region-{centre % regions}"
        found.append(topology.Place(f"host-{n:03d}", region, f"centre-{centre:02d}"))
    return found


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
    """Stands for `peer_streams.Streams`; counts the bytes of the frames it carries."""

    def __init__(self, *, fleet: "Fleet", place: topology.Place) -> None:
        self.port = 1 + fleet.numbers[place.host]
        self.wanted_addresses: dict[str, str] = {}
        self.hints: dict[str, object] = {}
        self.known: abc.Callable = list
        self.find_address: abc.Callable = self.wanted_addresses.get
        self.open_hosts: list[str] = []
        self.bytes = 0
        self.frames = 0
        self.far_bytes = 0  # to other regions, with the headers of each frame
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
        """Return whether there is a stream: nothing ever waits here."""
        return host in self.open_hosts

    def queue_gossip(self, host: str, message: peer_wire.Message) -> int:
        """Queue the frame of a message for delivery and return its size."""
        frame = peer_wire.encode(message)
        self.bytes += len(frame)
        self.frames += 1
        if self._fleet.regions[host] != self._fleet.regions[self._name]:
            self.far_bytes += len(frame) + 2 * TCP_BYTES
        self._fleet.queue.append((self._name, host, frame))
        return len(frame)


class Fleet:
    """All hosts of one run. Times are in seconds of passed-in time."""

    def __init__(self, *, count: int, rng: random.Random) -> None:
        self.now = 0.0
        self.places = places(count)
        self.numbers = {place.host: n for n, place in enumerate(self.places)}
        self.regions = {place.host: place.region for place in self.places}
        self.queue: list[tuple[str, str, bytes]] = []
        self.streams: dict[str, Streams] = {}
        self.members: dict[str, membership.Membership] = {}
        self.cpu = 0.0  # seconds
        self.config = config_of(self.places[0])
        self._identities: dict[str, peer_wire.Identity] = {}
        shared = connect.embedded(
            tables=table.MemoryTable(), hosts=hostlist.MemoryHostList()
        )
        self.store = shared.store
        for place in self.places:
            host = runtime.host_state(config_of(place), shared)
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
        """Register all hosts and let each read the whole register."""
        for each in self.members.values():
            await each.start()
        for each in self.members.values():
            each.request_renewal()
            await each.sync_register()

    async def advance(self, seconds: float) -> None:
        """Let time pass in steps of the driver, hints changing every second."""
        begun = time.process_time()
        for _ in range(round(seconds / membership.STEP)):
            self.now += membership.STEP
            for name, each in self.members.items():
                self.streams[name].hints["at"] = int(self.now)
                await each.step()
            self._connect()
            self.deliver()
        self.cpu += time.process_time() - begun

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
        """Hand over all frames, and those that they cause."""
        while self.queue:
            queue, self.queue = self.queue, []
            for sender, target, frame in queue:
                message = peer_wire.decode(frame[peer_wire.LENGTH.size :])
                identity = self._identities[sender]
                self.streams[target].callbacks.received(identity, message)

    def identity(self, name: str) -> peer_wire.Identity:
        """Return the proven identity of a host."""
        return self._identities[name]

    def kill(self, victim: str) -> None:
        """End a host, as its neighbours notice it once their streams went silent."""
        for peer in self.streams[victim].open_hosts:
            self.streams[peer].open_hosts.remove(victim)
            self.streams[peer].callbacks.closed(self._identities[victim], "silent")
        del self.streams[victim], self.members[victim]
        self.queue = [item for item in self.queue if item[1] != victim]
