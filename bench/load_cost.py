"""Cost of endpoint choice and load reports for a host, by number of endpoints."""

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
CHOICE_SIZES = (3, 9, 24, 48, 96)  # endpoints of one service
TICK_SIZES = (66, 132, 264, 520)  # endpoints of all services in a region
SERVICES = 22
DECISIONS = 3000  # measured for each size
TICKS = 50  # measured for each size
POLLS = 1000  # measured
SHARD = 24  # endpoints of one service in a region at the two-year size
IN_FLIGHT = 70  # requests at one endpoint at that size
HOSTS = 340
ALL_ENDPOINTS = 2600
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


def admission_of(count: int) -> admission.Admission:
    """Return an admission of `count` endpoints, each with a current load report."""
    controller = admission.Admission(
        region="dar",
        rng=random.Random(1),
        leaving=lambda name: False,
        index=prefix_index.PrefixIndex(),
    )
    names = [f"engine-{number}" for number in range(count)]
    controller.configure([admission.Endpoint(name, "dar", 64) for name in names])
    for name in names:
        controller.update_report(name, limits.Load(20, 0, 64, False, 0.0))
    return controller


def choice_points() -> list[tuple[float, float]]:
    """Measure the processor time of one submit and release, in microseconds."""
    points = []
    for count in CHOICE_SIZES:
        controller = admission_of(count)
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
        started_at = time.process_time()
        for ticket in tickets:
            controller.submit(ticket, 0.0)
            controller.release(ticket.id, 0.0)
        spent = time.process_time() - started_at
        points.append((count, spent / DECISIONS * 1e6))
    return points


def catalog_of(count: int) -> catalog.Catalog:
    """Return a catalog of `count` endpoints of several services in one region."""
    services = {
        f"model-{number}": catalog.Service(f"model-{number}", catalog.CHAT)
        for number in range(SERVICES)
    }
    by_name = {}
    for number in range(count):
        name = f"endpoint-{number}"
        service = f"model-{number % SERVICES}"
        address = f"10.0.{number // 250}.{number % 250}:8000"
        by_name[name] = catalog.Endpoint(name, service, address, "dar", "dar-a")
    return catalog.Catalog(1, {}, services, by_name)


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
    """Measure one tick without requests in flight, in microseconds.

    A host runs ten ticks a second.
    """
    points = []
    for count in TICK_SIZES:
        host, own, _ = host_of(count)
        own.tick()
        started_at = time.process_time()
        for number in range(TICKS):
            host.now = lambda now=number: now * 0.1
            own.tick()
        spent = time.process_time() - started_at
        points.append((count, spent / TICKS * 1e6))
    return points


def memory_points() -> list[tuple[float, float]]:
    """Measure the memory of a host's endpoint state, without the catalog."""
    points = []
    for count in TICK_SIZES:
        host_of(count)
        gc.collect()
        tracemalloc.start()
        measured = host_of(count)
        catalog_bytes = _traced(lambda count=count: catalog_of(count))
        measured[1].tick()
        uvloop.run(measured[2].step())
        gc.collect()
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        points.append((count, float(used - catalog_bytes)))
    return points


def _traced(make: object) -> int:
    """Return the bytes of memory that the result of `make` takes."""
    before, _ = tracemalloc.get_traced_memory()
    result = make()
    after, _ = tracemalloc.get_traced_memory()
    del result
    return after - before


def index_bytes() -> int:
    """Return the bytes of memory of a full prefix index."""
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
    """Measure a load poll over loopback; the time includes that of the stand-in."""
    byte_count = [0]
    stand_in = engine.Engine()
    server = site.Site(app=stand_in.app())
    await server.start()
    upstream = server.address.split(":")

    async def forward(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            byte_count[0] += len(data)
            writer.write(data)
        writer.close()

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(*upstream)
        await asyncio.gather(
            forward(reader, target_writer), forward(target_reader, writer)
        )

    proxy = await asyncio.start_server(accept, "127.0.0.1", 0)
    proxy_address = "{}:{}".format(*proxy.sockets[0].getsockname()[:2])
    config = settings.parse(SETTINGS, source="bench")
    host = runtime.embedded_state(config, peer_layer=peers.without_peers())
    poller = endpoint_loads.LoadPoller(
        host=host, endpoints=endpoints.Endpoints(host=host)
    )
    for _ in range(20):
        await poller._fetch_http(proxy_address, "/load")
    byte_count[0] = 0
    for _ in range(20):
        await poller._fetch_http(proxy_address, "/load")
    size = byte_count[0] / 20
    started_at = time.process_time()
    for _ in range(POLLS):
        await poller._fetch_http(server.address, "/load")
    spent = time.process_time() - started_at
    await poller._session.close()
    proxy.close()
    await server.stop()
    return {"bytes": size, "us": spent / POLLS * 1e6}


async def digest_cost() -> dict[str, float]:
    """Measure a reporter's answers while the loads of its endpoints change.

    Each load varies as if its requests began and ended at random.
    """
    host, _, poller = host_of(SHARD * SERVICES)
    rng = random.Random(1)
    running: dict[str, int] = {}
    turnover = IN_FLIGHT / 10  # requests that begin and end in a second

    async def fetch(address: str, path: str) -> endpoint_loads.Fetched:
        if path != "/load":
            return endpoint_loads.Fetched(404, {}, 0)
        in_flight = running.get(address, IN_FLIGHT)
        in_flight += int(rng.gauss(0, (2 * turnover) ** 0.5))
        in_flight += round((IN_FLIGHT - in_flight) / 10)
        running[address] = in_flight
        body = {"running": in_flight, "waiting": 0, "slots": 128, "leaving": False}
        return endpoint_loads.Fetched(200, body, 90)

    poller._fetch = fetch
    body = {"shard": "model-0/dar/0", "epoch": 0, "since": -1}
    sizes = []
    spent = 0.0
    for second in range(60):
        host.now = lambda now=second: float(now)
        await poller.step()
        started_at = time.process_time()
        answer = await poller._handle_call("host", body)
        call = peer_wire.encode(peer_wire.Call(second, endpoint_loads.CALL, body))
        reply = peer_wire.encode(peer_wire.Reply(second, answer))
        spent += time.process_time() - started_at
        if second > 0:
            sizes.append((len(call), len(reply)))
        body = {**body, "epoch": answer["epoch"], "since": answer["round"] - 1}
    return {
        "call_bytes": sum(call_size for call_size, _ in sizes) / len(sizes),
        "answer_bytes": sum(reply_size for _, reply_size in sizes) / len(sizes),
        "us": spent / 60 * 1e6,
    }


def show_fleet(poll: dict[str, float], digest: dict[str, float]) -> None:
    """Print what load reports cost one host at the two-year size.

    The second figure is for hosts that poll all endpoints themselves.
    """
    region_hosts = HOSTS / REGIONS
    region_endpoints = ALL_ENDPOINTS / REGIONS
    shards = SERVICES
    polls = region_endpoints / region_hosts
    calls = shards * (region_hosts - 1) / region_hosts
    exchange_bytes = digest["call_bytes"] + digest["answer_bytes"]
    figures.show(
        "two_year_host",
        polls_per_second=polls,
        poll_bytes_per_second=polls * poll["bytes"],
        calls_per_second=calls,
        asked_bytes_per_second=calls * exchange_bytes,
        answered_bytes_per_second=calls * exchange_bytes,
        core_share=(polls * poll["us"] + 2 * calls * digest["us"]) / 1e6,
    )
    figures.show(
        "two_year_host_without_sharing",
        polls_per_second=float(region_endpoints),
        poll_bytes_per_second=region_endpoints * poll["bytes"],
        core_share=region_endpoints * poll["us"] / 1e6,
    )
