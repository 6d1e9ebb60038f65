"""What endpoint choice and load reports cost a host, by the number of endpoints."""

import asyncio
import gc
import random
import time
import tracemalloc

import uvloop

from bench import figures, load_engine
from dogwoodchute import catalog, peer_wire, peers, runtime, settings
from dogwoodchute.controllers import endpoint_loads, endpoints
from dogwoodchute.coordination import admission, limits, prefix_index
from dogwoodchute.standins import engine, site
from dogwoodchute.tools import demo

SETTINGS = demo.SETTINGS.format(caller_port=0, operator_port=0)
CHOICE_POINTS = (3, 9, 24, 48, 96)  # endpoints of one service
TICK_POINTS = (66, 132, 264, 520)  # endpoints of all services in a region
SERVICES = 22
DECISIONS = 3000
TICKS = 50
POLLS = 1000
SHARD = 24  # endpoints of one service in a region at the two-year size
IN_FLIGHT = 70  # requests at one endpoint at that size
HOSTS = 340
SERVERS = 2600
REGIONS = 5


def run() -> None:
    """Print the figures."""
    figures.show_slope("choice_cpu", choice_points(), x="endpoints", y="us_per_request")
    figures.show_slope("tick_cpu", tick_points(), x="endpoints", y="us_per_tick")
    figures.show_slope("state_memory", memory_points(), x="endpoints", y="bytes")
    figures.show("prefix_index", entries=50_000, bytes=index_bytes())
    poll = uvloop.run(poll_cost())
    figures.show("poll", **poll)
    digest = uvloop.run(digest_cost())
    figures.show("digest", shard=SHARD, **digest)
    show_fleet(poll, digest)


def admitted(count: int) -> admission.Admission:
    """Return an admission to `count` endpoints with fresh reports."""
    made = admission.Admission(
        region="dar",
        rng=random.Random(1),
        leaving=lambda name: False,
        index=prefix_index.PrefixIndex(),
    )
    names = [f"engine-{number}" for number in range(count)]
    made.configure([admission.Endpoint(name, "dar", 64) for name in names])
    for name in names:
        made.update_report(name, limits.Load(20, 0, 64, False, 0.0))
    return made


def choice_points() -> list[tuple[float, float]]:
    """Measure an offer and its release."""
    points = []
    for count in CHOICE_POINTS:
        made = admitted(count)
        tickets = [
            admission.AdmissionRequest(
                str(number),
                "growers",
                1,
                500,
                1.2,
                blocks=load_engine.prefix_blocks(number % 50),
            )
            for number in range(DECISIONS)
        ]
        began = time.process_time()
        for ticket in tickets:
            made.submit(ticket, 0.0)
            made.release(ticket.id, 0.0)
        spent = time.process_time() - began
        points.append((count, spent / DECISIONS * 1e6))
    return points


def catalog_of(count: int) -> catalog.Catalog:
    """Return a catalog of `count` endpoints of several services in one region."""
    services = {
        f"model-{number}": catalog.Service(f"model-{number}", catalog.CHAT)
        for number in range(SERVICES)
    }
    found = {}
    for number in range(count):
        name = f"endpoint-{number}"
        service = f"model-{number % SERVICES}"
        address = f"10.0.{number // 250}.{number % 250}:8000"
        found[name] = catalog.Endpoint(name, service, address, "dar", "dar-a")
    return catalog.Catalog(1, {}, services, found)


def host_of(count: int) -> tuple:
    """Return a host state without peers, with endpoints and a load controller."""
    config = settings.parse(SETTINGS, source="bench")
    host = runtime.embedded_state(config, peer_layer=peers.without_peers())
    host.now = lambda: 0.0
    host.adopt(catalog_of(count))
    own = endpoints.Endpoints(host=host)

    async def fetch(address: str, path: str) -> endpoint_loads.Fetched:
        if path != "/load":
            return endpoint_loads.Fetched(404, {}, 0)
        body = {"running": 20, "waiting": 0, "slots": 64, "leaving": False}
        return endpoint_loads.Fetched(200, body, 90)

    return host, own, endpoint_loads.LoadPoller(host=host, endpoints=own, fetch=fetch)


def tick_points() -> list[tuple[float, float]]:
    """Measure one tick, of ten a second, with nothing in flight."""
    points = []
    for count in TICK_POINTS:
        host, own, _ = host_of(count)
        own.tick()
        began = time.process_time()
        for number in range(TICKS):
            host.now = lambda now=number: now * 0.1
            own.tick()
        spent = time.process_time() - began
        points.append((count, spent / TICKS * 1e6))
    return points


def memory_points() -> list[tuple[float, float]]:
    """Measure the memory of a host's endpoint state, without the catalog."""
    points = []
    for count in TICK_POINTS:
        host_of(count)
        gc.collect()
        tracemalloc.start()
        kept = host_of(count)
        catalog_bytes = _traced(lambda count=count: catalog_of(count))
        kept[1].tick()
        uvloop.run(kept[2].step())
        gc.collect()
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        points.append((count, float(used - catalog_bytes)))
    return points


def _traced(make: object) -> int:
    before, _ = tracemalloc.get_traced_memory()
    kept = make()
    after, _ = tracemalloc.get_traced_memory()
    del kept
    return after - before


def index_bytes() -> int:
    """Measure a full prefix index."""
    gc.collect()
    tracemalloc.start()
    index = prefix_index.PrefixIndex()
    rng = random.Random(1)
    for number in range(500):
        blocks = [rng.getrandbits(64) for _ in range(128)]
        index.add_expected(f"endpoint-{number % 24}", blocks)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


async def poll_cost() -> dict[str, float]:
    """Measure a load report over loopback; the time includes the stand-in's side."""
    counted = [0]
    stand_in = engine.Engine()
    server = site.Site(app=stand_in.app())
    await server.start()
    upstream = server.address.split(":")

    async def pipe(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            counted[0] += len(data)
            writer.write(data)
        writer.close()

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(*upstream)
        await asyncio.gather(pipe(reader, far_writer), pipe(far_reader, writer))

    relay = await asyncio.start_server(accept, "127.0.0.1", 0)
    relay_address = "{}:{}".format(*relay.sockets[0].getsockname()[:2])
    config = settings.parse(SETTINGS, source="bench")
    host = runtime.embedded_state(config, peer_layer=peers.without_peers())
    loads = endpoint_loads.LoadPoller(
        host=host, endpoints=endpoints.Endpoints(host=host)
    )
    for _ in range(20):
        await loads._fetch_http(relay_address, "/load")
    counted[0] = 0
    for _ in range(20):
        await loads._fetch_http(relay_address, "/load")
    size = counted[0] / 20
    began = time.process_time()
    for _ in range(POLLS):
        await loads._fetch_http(server.address, "/load")
    spent = time.process_time() - began
    await loads._session.close()
    relay.close()
    await server.stop()
    return {"bytes": size, "us": spent / POLLS * 1e6}


async def digest_cost() -> dict[str, float]:
    """Measure a reporter's answers while each load moves as requests come and go."""
    host, _, loads = host_of(SHARD * SERVICES)
    rng = random.Random(1)
    running: dict[str, int] = {}
    turnover = IN_FLIGHT / 10  # requests that begin and end in a second

    async def fetch(address: str, path: str) -> endpoint_loads.Fetched:
        if path != "/load":
            return endpoint_loads.Fetched(404, {}, 0)
        held = running.get(address, IN_FLIGHT)
        held += int(rng.gauss(0, (2 * turnover) ** 0.5))
        held += round((IN_FLIGHT - held) / 10)
        running[address] = held
        body = {"running": held, "waiting": 0, "slots": 128, "leaving": False}
        return endpoint_loads.Fetched(200, body, 90)

    loads._fetch = fetch
    body = {"shard": "model-0/dar/0", "epoch": 0, "since": -1}
    sizes = []
    spent = 0.0
    for second in range(60):
        host.now = lambda now=second: float(now)
        await loads.step()
        began = time.process_time()
        answer = await loads._answer("host", body)
        asked = peer_wire.encode(peer_wire.Call(second, endpoint_loads.CALL, body))
        told = peer_wire.encode(peer_wire.Reply(second, answer))
        spent += time.process_time() - began
        if second > 0:
            sizes.append((len(asked), len(told)))
        body = {**body, "epoch": answer["epoch"], "since": answer["round"] - 1}
    return {
        "call_bytes": sum(asked for asked, _ in sizes) / len(sizes),
        "answer_bytes": sum(told for _, told in sizes) / len(sizes),
        "us": spent / 60 * 1e6,
    }


def show_fleet(poll: dict[str, float], digest: dict[str, float]) -> None:
    """Print what the scheme takes of one host at the two-year size."""
    near_hosts = HOSTS / REGIONS
    near_servers = SERVERS / REGIONS
    shards = SERVICES
    polls = near_servers / near_hosts
    asks = shards * (near_hosts - 1) / near_hosts
    exchange = digest["call_bytes"] + digest["answer_bytes"]
    figures.show(
        "two_year_host",
        polls_per_second=polls,
        poll_bytes_per_second=polls * poll["bytes"],
        calls_per_second=asks,
        asked_bytes_per_second=asks * exchange,
        answered_bytes_per_second=asks * exchange,
        core_share=(polls * poll["us"] + 2 * asks * digest["us"]) / 1e6,
    )
    figures.show(
        "two_year_host_without_sharing",
        polls_per_second=float(near_servers),
        poll_bytes_per_second=near_servers * poll["bytes"],
        core_share=near_servers * poll["us"] / 1e6,
    )
