"""Peers, membership and locate: failure detection, bytes, processor time and memory."""

import asyncio
import json
import random
import statistics
import time
import tracemalloc

import uvloop

import bench._fleet as fleets
from bench import figures
from dogwoodchute import peer_streams, peer_wire
from dogwoodchute.controllers import membership as controller
from dogwoodchute.coordination import membership, ranking, rows, topology

SIZES = (10, 40, 100, 340)
WARM_UP = 10.0  # seconds of virtual time
MEASURED_SECONDS = 60.0  # seconds of virtual time
TRIALS = 8
ACCOUNTS = 2_000
REQUESTS = 40_000


def run() -> None:
    """Print all figures of this area."""
    measure_detection()
    measure_heartbeats()
    measure_gossip()
    measure_register()
    measure_memory()
    measure_locate()
    measure_locate_spread()


def percentile(values: list[float], share: float) -> float:
    """Return the value below which `share` of `values` lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class _Proxy:
    """Forwards connections to `port`, but no more bytes once `silent` is set."""

    def __init__(self, *, port: int) -> None:
        self.silent = False
        self.address = ""
        self._port = port
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        for source, target in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.create_task(self._forward(source, target))
            self._tasks.add(task)

    async def _forward(
        self, source: asyncio.StreamReader, target: asyncio.StreamWriter
    ) -> None:
        while data := await source.read(65_536):
            if not self.silent:
                target.write(data)


def _streams(name: str, **peers: float) -> peer_streams.Streams:
    config = fleets.config_of(topology.Place(name, "dar", "dar-a"))
    fields = {"host": config.host.model_copy(update={"peer_port": 0})}
    fields["peers"] = config.peers.model_copy(update=peers)
    return peer_streams.Streams(config=config.model_copy(update=fields))


def _callbacks(closed: list[float]) -> peer_streams.Callbacks:
    return peer_streams.Callbacks(
        is_replaced=lambda peer: False,
        opened=lambda peer: None,
        closed=lambda peer, reason: closed.append(time.monotonic()),
        received=lambda peer, message: None,
        paused=lambda seconds: None,
    )


def measure_detection() -> None:
    """Print how long a silent stream stays open, with and without heartbeats."""
    delays = [uvloop.run(_detect(n / TRIALS)) for n in range(TRIALS)]
    figures.show(
        "silent_stream_detected",
        median_s=statistics.median(delays),
        max_s=max(delays),
        trials=TRIALS,
        bound_s=3.0,
    )
    without = uvloop.run(_detect(0.0, silent_after=3600.0))
    figures.show("silent_stream_without_heartbeats", undetected_after_s=without)


async def _detect(delay: float, **peers: float) -> float:
    """Return the seconds until a stream is closed that falls silent after `delay`."""
    one, two = _streams("dar-1", **peers), _streams("dar-2", **peers)
    closed: list[float] = []
    await one.start("dar-1-1", _callbacks(closed))
    await two.start("dar-2-1", _callbacks([]))
    proxy = _Proxy(port=two.port)
    await proxy.start()
    one.wanted_addresses = {"dar-2": proxy.address}
    while not one.open_hosts:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    await asyncio.sleep(delay)
    proxy.silent = True
    silent_at = time.monotonic()
    while not closed and time.monotonic() - silent_at < 6.0:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    closed_at = closed[0] if closed else time.monotonic()
    await one.stop()
    await two.stop()
    return closed_at - silent_at


def measure_heartbeats() -> None:
    """Print the processor time of real streams by their number, both ends together."""
    points = [(n, uvloop.run(_heartbeat_cpu(n))) for n in (4, 16, 48)]
    figures.show_slope("cpu_share_by_open_streams_both_ends", points)


async def _heartbeat_cpu(count: int) -> float:
    """Return the share of a core that `count` idle streams take, both ends."""
    hub = _streams("hub")
    await hub.start("hub-1", _callbacks([]))
    others = [_streams(f"host-{n}") for n in range(count)]
    for n, other in enumerate(others):
        await other.start(f"host-{n}-1", _callbacks([]))
    hub.wanted_addresses = {
        f"host-{n}": f"127.0.0.1:{o.port}" for n, o in enumerate(others)
    }
    while len(hub.open_hosts) < count:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    started_at, cpu = time.monotonic(), time.process_time()
    await asyncio.sleep(4.0)
    share = (time.process_time() - cpu) / (time.monotonic() - started_at)
    for each in (hub, *others):
        await each.stop()
    return share


def measure_gossip() -> None:
    """Print the bytes and processor time a second of one host, by number of hosts."""
    sent, mesh, cpu = [], [], []
    for count in SIZES:
        result = uvloop.run(_gossip(count))
        sent.append((count, result["sent"]))
        mesh.append((count, result["mesh"]))
        cpu.append((count, result["cpu"]))
    figures.show_slope("sent_bytes_per_s_by_hosts", sent, bound=10_000)
    figures.show_slope("sent_bytes_per_s_by_hosts_full_mesh", mesh)
    figures.show_slope("membership_cpu_share_by_hosts", cpu, bound=0.015)


async def _gossip(count: int) -> dict[str, float]:
    fleet = fleets.Fleet(count=count, rng=random.Random(7))
    await fleet.start()
    await fleet.advance(WARM_UP)
    for streams in fleet.streams.values():
        streams.bytes = streams.frames = streams.other_region_bytes = 0
    fleet.cpu_seconds = 0.0
    await fleet.advance(MEASURED_SECONDS)
    heartbeat = len(peer_wire.encode(peer_wire.Beat(1_000_000))) + 2 * fleets.TCP_BYTES
    heartbeat_rate = (
        heartbeat / fleets.config_of(fleet.places[0]).peers.heartbeat_interval
    )
    degrees = [len(s.open_hosts) for s in fleet.streams.values()]
    totals = [
        (s.bytes + s.frames * 2 * fleets.TCP_BYTES) / MEASURED_SECONDS
        + len(s.open_hosts) * heartbeat_rate
        for s in fleet.streams.values()
    ]
    own_hints = _own_hints_bytes(fleet)
    result = {
        "sent": statistics.fmean(totals),
        "cpu": fleet.cpu_seconds / MEASURED_SECONDS / count,
        "mesh": (count - 1) * (heartbeat_rate + own_hints),
    }
    same_region, other_regions = _hint_ages(fleet)
    figures.show(
        "gossip",
        hosts=count,
        degree_mean=statistics.fmean(degrees),
        degree_max=max(degrees),
        sent_bytes_per_s=result["sent"],
        sent_bytes_per_s_max=max(totals),
        full_mesh_bytes_per_s=result["mesh"],
        between_regions_bytes_per_s=_between(fleet, heartbeat_rate),
        cpu_share=result["cpu"],
        hint_age_near_p95_s=percentile(same_region, 0.95),
        hint_age_far_p95_s=percentile(other_regions, 0.95) if other_regions else 0.0,
        death_known_everywhere_after_s=await _spread_of_death(fleet),
    )
    return result


def _own_hints_bytes(fleet: fleets.Fleet) -> float:
    """Return the bytes of sending one peer the own hints, which is due every second."""
    name = fleet.places[0].host
    hints = fleet.members[name].members.hints[name]
    return len(peer_wire.encode(peer_wire.Gossip([], [hints]))) + 2 * fleets.TCP_BYTES


def _between(fleet: fleets.Fleet, heartbeat_rate: float) -> float:
    """Return the mean bytes a second that a host sends to other regions."""
    total = 0.0
    for name, streams in fleet.streams.items():
        remote_peers = [
            p for p in streams.open_hosts if fleet.regions[p] != fleet.regions[name]
        ]
        total += (
            streams.other_region_bytes / MEASURED_SECONDS
            + len(remote_peers) * heartbeat_rate
        )
    return total / len(fleet.streams)


def _hint_ages(fleet: fleets.Fleet) -> tuple[list[float], list[float]]:
    """Return the ages of hints in seconds, of the own region and of the others."""
    same_region, other_regions = [], []
    for each in fleet.members.values():
        members = each.members
        for name, hints in members.hints.items():
            age = fleet.now - hints.values["at"]
            is_same = members.cores[name].region == members.own.region
            (same_region if is_same else other_regions).append(age)
    return same_region, other_regions


async def _spread_of_death(fleet: fleets.Fleet) -> float:
    """Kill a host; return the seconds until all others consider it dead."""
    victim = fleet.places[3].host
    fleet.kill(victim)
    steps = 0
    while any(victim in each.members.alive() for each in fleet.members.values()):
        steps += 1
        await fleet.advance(controller.STEP)
    return steps * controller.STEP


def measure_register() -> None:
    """Print what the register costs the store and a host, by number of hosts."""
    points = [(count, uvloop.run(_register(count))) for count in SIZES]
    figures.show_slope("register_bytes_read_per_s_by_hosts", points, bound=10_000)


async def _register(count: int) -> float:
    """Return the bytes a second that one host reads of the register."""
    fleet = fleets.Fleet(count=count, rng=random.Random(7))
    await fleet.start()
    register = await fleet.store.scan(rows.host(""))
    size = sum(len(json.dumps(row._asdict())) for row in register.rows.values())
    interval = fleet.config.peers.register_interval
    scan_rate = 1 / interval + 1 / controller.STORE_INTERVAL
    figures.show(
        "register",
        hosts=count,
        row_bytes=size / count,
        store_writes_per_s=count / interval,
        store_reads_per_s=count * (scan_rate + 1 / interval),
    )
    return size / interval


def measure_memory() -> None:
    """Print the memory of membership by number of hosts."""
    points = []
    for count in SIZES:
        tracemalloc.start()
        members = _full_membership(count)
        points.append((count, float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        del members
    figures.show_slope("membership_bytes_by_hosts", points, bound=128_000_000)


def _full_membership(count: int) -> membership.Members:
    """Return the members that one host of a fleet of `count` knows."""
    places = fleets.places(count)
    graph: dict[str, list[str]] = {}
    for one, other in topology.edges(places):
        graph.setdefault(one, []).append(other)
        graph.setdefault(other, []).append(one)
    cores = [
        membership.Core(
            place.host,
            1,
            f"{place.host}-{n:012x}",
            2,
            place.region,
            place.data_centre,
            f"10.0.{n // 250}.{n % 250}:8082",
            f"10.0.{n // 250}.{n % 250}:8080",
            leaving=False,
            stale=False,
            hears=tuple(sorted(graph[place.host])),
        )
        for n, place in enumerate(places)
    ]
    members = membership.Members(own=cores[0])
    for peer in graph[cores[0].host]:
        members.connect(peer)
    hints = [membership.Hints(c.host, 1, 1, {"load": 0.5}) for c in cores[1:]]
    members.receive(graph[cores[0].host][0], cores[1:], hints)
    return members


def measure_locate() -> None:
    """Print the processor time of one locate decision, by number of hosts."""
    points = []
    for count in SIZES:
        candidates = [
            ranking.Candidate(place.host, place.region, load=n % 10 / 10)
            for n, place in enumerate(fleets.places(count))
        ]
        started_at = time.process_time()
        for n in range(200):
            ranking.rank(f"account-{n}", candidates, region="region-0", near=3, far=1)
        points.append((count, (time.process_time() - started_at) / 200))
    figures.show_slope("locate_cpu_s_by_hosts", points)


def measure_locate_spread() -> None:
    """Print how locate spreads requests.

    The figures are the share of repeated requests that reach the host of the first one,
    and the number of hosts that hold a grant of the same account.
    """
    for count in (10, 340):
        candidates = [ranking.Candidate(p.host, p.region) for p in fleets.places(count)]
        for policy in ("locate", "all_hosts"):
            repeats, holders = _spread(candidates, policy)
            figures.show(
                "locate_spread",
                hosts=count,
                policy=policy,
                repeats_at_same_host=repeats,
                hosts_with_grants_per_account=holders,
                accounts=ACCOUNTS,
                requests=REQUESTS,
            )


def _spread(candidates: list[ranking.Candidate], policy: str) -> tuple[float, float]:
    """Send requests, and a repeat of each after one host in twenty has been removed."""
    rng = random.Random(11)
    regions = sorted({c.region for c in candidates})
    remaining = rng.sample(candidates, len(candidates) - max(1, len(candidates) // 20))
    same_host = 0
    holders: dict[int, set[str]] = {}
    first_hosts: dict[tuple, str] = {}
    for _ in range(REQUESTS):
        account = rng.randrange(ACCOUNTS)
        region = regions[account % len(regions)]
        chosen = []
        for fleet in (candidates, remaining):
            if policy == "all_hosts":
                chosen.append(rng.choice(fleet).host)
                continue
            key = (account, len(fleet))
            if key not in first_hosts:
                ranked = ranking.rank(str(account), fleet, region=region, near=3, far=1)
                first_hosts[key] = ranked[0].host
            chosen.append(first_hosts[key])
        same_host += chosen[0] == chosen[1]
        holders.setdefault(account, set()).update(chosen)
    return same_host / REQUESTS, statistics.fmean(len(h) for h in holders.values())
