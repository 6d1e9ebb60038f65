"""Processor time of one host by the size of its fleet, idle and with requests.

Store, other hosts, endpoints and callers run in a separate process, so that the
processor time of this process is that of the host alone. The times by module come from
a profile of a second period, in which profiling itself takes time.
"""

import asyncio
import contextlib
import cProfile
import os
import pathlib
import pstats
import subprocess
import sys
import time

import uvloop

from bench import figures
from dogwoodchute import log
from dogwoodchute.gateway import model
from dogwoodchute.tools import dogwoodgate

FLEET_SIZES = (7, 63, 340)  # hosts
RATES = (0.0, 5.0)  # requests a second
SECONDS = 6.0  # length of each measurement
WARM_UP = 2.0  # seconds
START_TIMEOUT = 20.0  # seconds
GOSSIP_ADDRESS = "127.0.0.1:21999"
HEARTBEATS_ADDRESS = "127.0.0.1:22999"
MAX_MODULES = 12  # modules that are printed


def run() -> None:
    """Print the figures."""
    with open(os.devnull, "w") as sink:
        with contextlib.redirect_stdout(sink):
            log.setup(level="info")
        uvloop.run(_run())


async def _run() -> None:
    points: dict[float, list[tuple[float, float]]] = {rate: [] for rate in RATES}
    for fleet in FLEET_SIZES:
        async with _world(fleet) as world, _host(world.port) as host:
            for rate in RATES:
                world.set_rate(rate, f"127.0.0.1:{host.ports['callers']}")
                await asyncio.sleep(WARM_UP)
                points[rate].append((fleet, 1000 * await _cpu_share(SECONDS)))
                await _show_modules(fleet, rate)
    for rate, rate_points in points.items():
        figures.show_slope(
            "host_processor",
            rate_points,
            x="hosts",
            y="millicores",
            requests_per_s=rate,
        )


class _World:
    """The process of the host's environment, `bench._host_world`."""

    def __init__(self, *, process: asyncio.subprocess.Process, port: int) -> None:
        self.port = port  # of the store
        self._process = process

    def set_rate(self, rate: float, address: str) -> None:
        """Make the callers send `rate` requests a second from now on."""
        self._process.stdin.write(f"{rate} {address}\n".encode())


@contextlib.asynccontextmanager
async def _world(fleet: int):
    command = [sys.executable, "-m", "bench._host_world", str(fleet)]
    command += [GOSSIP_ADDRESS, HEARTBEATS_ADDRESS]
    process = await asyncio.create_subprocess_exec(
        *command, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    try:
        async with asyncio.timeout(START_TIMEOUT):
            port = int(await process.stdout.readline())
        yield _World(process=process, port=port)
    finally:
        process.terminate()
        await process.wait()


@contextlib.asynccontextmanager
async def _host(store_port: int):
    deployment = model.Deployment(
        host="host-own",
        data_centre="z0",
        region="r0",
        regions={f"z{number}": f"r{number % 2}" for number in range(6)},
        callers="127.0.0.1:0",
        readiness="127.0.0.1:0",
        control="127.0.0.1:0",
        gossip=GOSSIP_ADDRESS,
        heartbeats=HEARTBEATS_ADDRESS,
        directory="127.0.0.1:0",
        seeds=(),
        store=f"127.0.0.1:{store_port}",
        bounds=model.Bounds(grace=1.5),
    )
    process = dogwoodgate.Process(
        source=pathlib.Path("unused"), deployment=deployment, metrics_port=0
    )
    await process.start()
    try:
        await asyncio.sleep(WARM_UP)
        if not process.gateway.ready():
            raise RuntimeError("the host could not read its tables")
        yield process
    finally:
        await process.stop()


async def _cpu_share(seconds: float) -> float:
    """Return the share of a core that this process takes."""
    cpu_start, started_at = time.process_time(), time.monotonic()
    await asyncio.sleep(seconds)
    return (time.process_time() - cpu_start) / (time.monotonic() - started_at)


async def _show_modules(fleet: int, rate: float) -> None:
    """Print the time spent in each module itself, without callees, longest first."""
    profile = cProfile.Profile()
    profile.enable()
    try:
        await asyncio.sleep(SECONDS)
    finally:
        profile.disable()
    spent: dict[str, float] = {}
    for (file, _, _), timing in pstats.Stats(profile).stats.items():
        name = _module(file)
        spent[name] = spent.get(name, 0.0) + timing[2]  # own seconds
    largest = sorted(spent.items(), key=lambda each: -each[1])[:MAX_MODULES]
    figures.show(
        "host_causes",
        hosts=fleet,
        requests_per_s=rate,
        ms_per_s=",".join(f"{n}:{1000 * s / SECONDS:.2f}" for n, s in largest),
    )


def _module(file: str) -> str:
    """Return the project module, else the installed package, that a file belongs to."""
    if not file or file == "~":
        return "builtins"
    parts = pathlib.Path(file).with_suffix("").parts
    for root in ("dogwoodchute", "site-packages"):
        if root not in parts:
            continue
        module_parts = parts[len(parts) - parts[::-1].index(root) :]
        return module_parts[0] if root == "site-packages" else ".".join(module_parts)
    return "stdlib"
