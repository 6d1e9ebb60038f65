"""Runs several hosts in one process, with real streams between them on loopback."""

import asyncio
import contextlib
from collections import abc

from dogwoodchute import daemon, runtime, settings
from dogwoodchute.coordination import membership, topology
from dogwoodchute.platform import connect
from dogwoodchute.standins import hostlist, objects, table
from dogwoodchute.tools import demo

BOUND = 20.0  # seconds until a condition must hold, on a busy machine
FLEET = (
    ("dar-1", "dar", "dar-a"),
    ("dar-2", "dar", "dar-b"),
    ("aru-1", "aru", "aru-a"),
)


class Fleet:
    """The platform that the hosts share, and the hosts by name."""

    def __init__(self) -> None:
        self.table = table.MemoryTable()
        self.hosts_listed = hostlist.MemoryHostList()
        self.objects = objects.MemoryObjects()
        self.daemons: dict[str, daemon.Daemon] = {}
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "Fleet":
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._stack.aclose()

    async def run(self, name: str, region: str, data_centre: str, **sections) -> None:
        """Start a host; `sections` override the default settings."""
        config = config_of(name, region, data_centre, **sections)
        shared = connect.embedded(
            tables=self.table, object_store=self.objects, hosts=self.hosts_listed
        )
        context = runtime.running(config, platform=shared)
        self.daemons[name] = await self._stack.enter_async_context(context)

    def alive(self, name: str) -> set[str]:
        """Return the peers that are alive by what `name` knows."""
        known = self.daemons[name].host.peers.known()
        return {peer.host for peer in known if peer.alive}


def config_of(
    name: str, region: str = "dar", data_centre: str = "dar-a", **sections: dict
) -> settings.Settings:
    """Return the settings of a host on loopback, on ports that the system assigns."""
    plain = demo.SETTINGS.format(caller_port=0, operator_port=0)
    config = settings.parse(plain, source="test")
    place = {"id": name, "region": region, "data_centre": data_centre, "peer_port": 0}
    place = config.host.model_copy(update=place)
    changed = {"host": place}
    for section, fields in sections.items():
        changed[section] = getattr(config, section).model_copy(update=fields)
    return config.model_copy(update=changed)


def core_of(
    place: topology.Place, generation: int, incarnation: str = ""
) -> membership.Core:
    """Return the core of a host that receives no heartbeats yet."""
    return membership.Core(
        place.host,
        generation,
        incarnation or f"{place.host}-{generation}",
        1,
        place.region,
        place.data_centre,
        "10.0.0.1:1",
        "10.0.0.1:2",
        leaving=False,
        stale=False,
        hears=(),
    )


async def until(condition: abc.Callable[[], bool], *, bound: float = BOUND) -> None:
    """Wait until `condition` holds; raises `TimeoutError` after `bound` seconds."""
    async with asyncio.timeout(bound):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)
