"""Hosts over one table, object store and peer network, for tests of releases."""

import asyncio
import random

from dogwoodchute import catalog, peers, settings, state
from dogwoodchute.controllers import releases
from dogwoodchute.standins import (
    hostlist,
    objects,
    peers as peer_standins,
    table,
)

SETTINGS = f"""
[host]
id = {{name}}
region = dar
data_centre = dar-a
address = 127.0.0.1
[platform]
mode = embedded
[keys]
operator_sha256 = {catalog.hash_key("operator")}
fleet_key = fleet-secret-of-the-tests
"""


def config(name: str) -> settings.Settings:
    """Return the settings of one host."""
    return settings.parse(SETTINGS.format(name=name), source=name)


def account(action: str, name: str, **fields: object) -> str:
    """Return a note's section about a client account with one key."""
    lines = [f"[{action} account {name}]"]
    if action == "added":
        fields = {"keys": catalog.hash_key(name), **fields}
    lines += [f"{key} = {value}" for key, value in fields.items()]
    return "\n".join(lines) + "\n"


def note(base: int, *sections: str, **head: object) -> str:
    """Return the text of a note."""
    lines = [f"{key} = {value}" for key, value in head.items()]
    return "\n".join(["[note]", f"base = {base}", *lines, *sections]) + "\n"


class Fleet:
    """Hosts that share a platform; the clock advances only in `wait`."""

    def __init__(self, *, seed: int = 0) -> None:
        self.rng = random.Random(seed)
        self.time = 1000.0
        self.table = table.MemoryTable(sleep=self.sleep)
        self.objects = objects.MemoryObjects(sleep=self.sleep)
        self.net = peer_standins.PeerNet()
        self.no_store: set[str] = set()  # hosts that can't reach the store
        self.hosts: dict[str, state.HostState] = {}
        self.releases: dict[str, releases.Releases] = {}

    async def sleep(self, seconds: float) -> None:
        """Yield to the event loop a few times, as a slow call would."""
        for _ in range(self.rng.randrange(1, 6)):
            await asyncio.sleep(0)

    def start(self, name: str) -> None:
        """Start a host, or a new incarnation of it."""
        address = "127.0.0.1:1"
        member = peers.Peer(
            name, "1", "dar", "dar-a", address, address, True, False, {}
        )
        host = state.HostState(
            config=config(name),
            store=self.table.client(reachable=lambda: name not in self.no_store),
            objects_store=self.objects.client(),
            hosts=hostlist.MemoryHostList().client(),
            peer_layer=self.net.join(member),
            now=lambda: self.time,
            rng=random.Random(self.rng.random()),
        )
        self.hosts[name] = host
        self.releases[name] = releases.Releases(host=host, sleep=self.sleep)

    async def wait(self, seconds: float) -> None:
        """Advance the clock while every host's controller ticks."""
        end = self.time + seconds
        while self.time < end:
            for controller in self.releases.values():
                await controller.tick()
            self.time += releases.TICK_INTERVAL

    async def settle(self) -> None:
        """Yield to the event loop until background tasks have ended."""
        for _ in range(200):
            await asyncio.sleep(0)
