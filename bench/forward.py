"""Cost of forwarding: the daemon, compared with a minimal proxy and with no proxy.

The load generator and the engine run in separate processes, so that the processor time
of this process is that of forwarding alone.
"""

import asyncio
import contextlib
import json
import resource
import subprocess
import sys
import time

import aiohttp
import sanic
import uvloop

from bench import figures
from dogwoodchute import (
    catalog,
    daemon,
    exchange,
    log,
    runtime,
    server,
    settings,
)
from dogwoodchute.controllers import release_submit
from dogwoodchute.tools import demo

MODEL = "assistant-llm"
RATE = 10.0  # requests a second, the most that one stand-in engine serves
TOKENS = 245  # length of each answer
TARGET_RATE = 13_000  # chunks a second of one host at the two-year size
TOKEN_MS = 4.0
SECONDS = 8.0
START_TIMEOUT = 20.0  # seconds
BUDGET = 10**9  # tokens, more than the run can use


def run() -> None:
    """Print the figures of forwarding."""
    uvloop.run(_run())


async def _run() -> None:
    async with _engine() as engine:
        figures.show("forward_rest", resident_mb=_resident_mb())
        reports = {"direct": await _measure("direct", engine)}
        async with _minimal_proxy(engine) as address:
            reports["bare"] = await _measure("bare", address)
        async with _daemon(engine) as address:
            figures.show("forward_daemon_rest", resident_mb=_resident_mb())
            reports["daemon"] = await _measure("daemon", address)
    for percent in ("p50", "p99"):
        added = (
            reports["daemon"]["first_token_ms"][percent]
            - reports["direct"]["first_token_ms"][percent]
        )
        figures.show("forward_added_first_token_ms", percentile=percent, value=added)
    proxy_us, daemon_us = (
        reports["bare"]["us_per_chunk"],
        reports["daemon"]["us_per_chunk"],
    )
    figures.show("forward_chunk_cost_of_chain", times_bare=daemon_us / proxy_us - 1)
    figures.show("forward_cores_at_target", projected=daemon_us * TARGET_RATE / 1e6)


@contextlib.asynccontextmanager
async def _engine():
    command = [sys.executable, "-m", "dogwoodchute.tools.dogwoodstandins"]
    options = ["--port", "0", "--services", "0", "--token-ms", str(TOKEN_MS)]
    process = await asyncio.create_subprocess_exec(
        *command, *options, stdout=subprocess.PIPE
    )
    try:
        async with asyncio.timeout(START_TIMEOUT):
            while True:
                line = (await process.stdout.readline()).decode().strip()
                if line.startswith("engine-1="):
                    address = line.partition("=")[2]
                if line == "ready" or not line:
                    break
        yield address
    finally:
        process.terminate()
        await process.wait()


@contextlib.asynccontextmanager
async def _minimal_proxy(engine: str):
    """Serve a Sanic handler that copies the engine's answer chunk by chunk."""
    proxy = server.Server(
        name="bare", body_bytes=2_000_000, header_bytes=16_384, idle_timeout=60
    )
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def copy(request: sanic.Request) -> None:
        url = f"http://{engine}{exchange.CHAT_PATH}"
        async with session.post(url, data=request.body) as answer:
            reply = await request.respond(content_type="text/event-stream")
            async for data in answer.content.iter_any():
                await reply.send(data)
            await reply.eof()

    proxy.app.add_route(copy, exchange.CHAT_PATH, methods=["POST"], name="copy")
    await proxy.start("127.0.0.1", 0)
    yield f"127.0.0.1:{proxy.port}"
    await proxy.stop()
    await session.close()


@contextlib.asynccontextmanager
async def _daemon(engine: str):
    log.setup(level="error")
    text = demo.SETTINGS.format(caller_port=0, operator_port=0)
    host = runtime.embedded_state(settings.parse(text, source="bench"))
    forwarder = daemon.Daemon(host=host)
    await forwarder.start()
    note = demo.NOTE.format(
        engine=engine,
        orders=engine,
        key=catalog.hash_key(demo.CLIENT_KEY),
        budget=BUDGET,
    )
    note = note.replace(f"address = {engine}", f"address = {engine}\ncapacity = 400")
    accepted = await forwarder.releases.submit(note)
    if not isinstance(accepted, release_submit.Accepted):
        raise RuntimeError(str(accepted))
    yield f"127.0.0.1:{forwarder.callers.port}"
    await forwarder.stop()


async def _measure(name: str, address: str) -> dict:
    """Send load to `address` from a separate process; print and return its report."""
    command = [sys.executable, "-m", "dogwoodchute.tools.dogwoodload", address]
    options = ["--key", demo.CLIENT_KEY, "--model", MODEL, "--json", "--seed", "3"]
    options += ["--rate", str(RATE), "--seconds", str(SECONDS)]
    options += ["--tokens", str(TOKENS)]
    cpu_start = _cpu_seconds()
    started_at = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        *command, *options, stdout=subprocess.PIPE
    )
    output, _ = await process.communicate()
    elapsed = time.monotonic() - started_at
    used = _cpu_seconds() - cpu_start
    report = json.loads(output)
    chunks = report["chunks_per_second"] * report["seconds"]
    report["us_per_chunk"] = used / max(1.0, chunks) * 1e6
    figures.show(
        f"forward_{name}",
        outcomes=json.dumps(report["outcomes"]).replace(" ", ""),
        requests_per_s=float(report["answered_per_second"]),
        chunks_per_s=float(report["chunks_per_second"]),
        cores=used / elapsed,
        us_per_chunk=report["us_per_chunk"],
        first_token_p50_ms=report["first_token_ms"]["p50"],
        first_token_p99_ms=report["first_token_ms"]["p99"],
        resident_mb=_resident_mb(),
    )
    return report


def _cpu_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _resident_mb() -> float:
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() / 1e6
