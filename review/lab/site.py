"""A small deployment on loopback: a store, servers, and hosts as own processes.

The store is the project's stand-in. The servers are small ones of the review. Hosts are
started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

import sanic

from dogwoodchute import clock, server
from dogwoodchute.gateway import rows
from dogwoodchute.standins import row_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes
PORTS = {"front": 8227, "ready": 8220, "control": 8229, "directory": 8224}
METRICS_PORT = 9464
ROW_BYTES = 65536  # the store takes no larger value
SETTINGS = """
node = "{node}"
role = "gate"
machineClass = "edge"
serves = ["edge", "control_plane", "directory"]
ip = "{ip}"
zone = "{zone}"
region = "r1"
portRange = [7340, 7355]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
             "tenants", "platform"]
[zones]
z1 = "r1"
z2 = "r1"
[listen]
front = "{ip}:8227"
ready = "{ip}:8220"
control = "{ip}:8229"
directory = "{ip}:8224"
[limits]
cpuShare = 1.0
cores = 1
memoryMb = {memory}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2500
graceS = 8
lossSlackMs = 200
configApplyMs = 2500
downgradeSlackMs = 250
maxSkewMs = 5000
failClosed = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 54
recoveryS = 12
passMs = 200
reuseWindowS = 9.8
settle_ms = 1500
ttl_max_s = 5
[platform]
address = "{store}"
form = "table"
writesPerS = 600
readsPerS = 2000
txMs = 5.0
partWritesPerS = 200
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbPerS = 80.0
"""
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class Record:
    """The record of a run: lines with the seconds since its start."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, text):
        """Write a line, also to standard output."""
        line = f"{time.monotonic() - self._began:8.3f} s  {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()

    def note(self, text):
        """Write a line to the file only."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} s  {text}\n")


def route(name, prefix, kind, service, **options):
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "hostname": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": 3000,
        "targetLatencyMs": 500,
        "maxAttempts": 1,
        "priority": 0,
        **options,
    }


def config(routes, *, version=1, services=(), tenants=(), limits=LIMITS):
    """Return a desired state."""
    return {
        "version": version,
        "routes": routes,
        "services": list(services),
        "tenants": list(tenants)
        or [{"name": "hule930", "apiKeys": [KEY], "prepaid": 10**9}],
        "limits": limits,
    }


def free_ip():
    """Return a loopback address at which the ports of a host are free."""
    while True:
        ip = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.1"
        with contextlib.suppress(OSError):
            for port in (*PORTS.values(), METRICS_PORT):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return ip


class Host:
    """One machine of the system, and its process."""

    def __init__(self, site, name, *, memory=150, zone="z1"):
        self.site = site
        self.name = name
        self.memory = memory  # MB
        self.zone = zone
        self.ip = free_ip()
        self.process = None
        self.starts = 0
        self.log = pathlib.Path(site.folder.name) / f"{name}.log"

    @property
    def front(self):
        """The address for clients."""
        return self.ip, PORTS["front"]

    def start(self, *, store=None):
        """Start the process with the command of the deploy file."""
        settings = pathlib.Path(self.site.folder.name) / f"{self.name}.toml"
        text = SETTINGS.format(
            node=self.name,
            ip=self.ip,
            zone=self.zone,
            seeds=", ".join(f'"{h.ip}:8229"' for h in self.site.hosts[:3]),
            memory=self.memory,
            store=store or self.site.store_address,
        )
        settings.write_text(text, encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        path = os.pathsep.join([str(ROOT / "target/deps"), str(ROOT)])
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                shlex.split(deploy["roles"]["gate"]["run"]),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": path,
                    "DOGWOODCHUTE_SETTINGS": str(settings),
                },
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.starts += 1

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def memory_mb(self):
        """Return the resident memory of the process, None if it has ended."""
        return _memory_mb(self.process.pid, "VmRSS")

    async def is_ready(self, seconds):
        """Return whether the process says within so many seconds that it is ready."""
        question = b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        with contextlib.suppress(OSError, TimeoutError, IndexError):
            address = self.ip, PORTS["ready"]
            answer = await asyncio.wait_for(exchange(address, question), seconds)
            return answer.split(b" ", 2)[1] == b"200"
        return False

    async def ready(self, seconds=20.0):
        """Wait until the process says that it is ready; return whether it did."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if await self.is_ready(1.0):
                return True
            await asyncio.sleep(0.1)
        return False


def _memory_mb(pid, field):
    with contextlib.suppress(OSError):
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) / 1024
    return None


async def exchange(address, data):
    """Send bytes on a new channel and return all that comes until its end."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        return await reader.read()
    finally:
        writer.close()


class Site:
    """The store, the servers and the hosts of one run."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory()
        self.store = row_store.RowStore(now=clock.monotonic)
        self.store_address = ""
        self.faults = lambda kind: row_store.NO_FAULT
        self.hosts = []
        self._store_server = None
        self._listeners = []

    async def start_store(self):
        """Start the store."""
        listener = server.Server(
            name="store", body_bytes=1 << 21, header_bytes=16384, idle_timeout=60.0
        )
        row_store.add_routes(
            listener.app, self.store, faults=lambda kind: self.faults(kind)
        )
        listener.app.on_request(_check_rows)
        await listener.start("127.0.0.1", 0)
        self._store_server = listener
        self.store_address = f"127.0.0.1:{listener.port}"

    def put(self, table, key, value):
        """Write a row as the operator or a server does; None removes it."""
        data = None if value is None else json.dumps(value).encode()
        self.store.commit("", [], [rows.Put(table, key, data)])

    async def serve(self, handle, *, ip="127.0.0.1"):
        """Listen for channels to a server; return its address."""

        async def run(reader, writer):
            # The task of a channel may be cancelled at the end of a run.
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await handle(reader, writer)

        listener = await asyncio.start_server(run, ip, 0, limit=1 << 23)
        self._listeners.append(listener)
        at, port = listener.sockets[0].getsockname()[:2]
        return f"{at}:{port}"

    def register(self, name, service, address, *, state="ready", **others):
        """Write a server's entry."""
        self.put(
            "servers",
            name,
            {
                "service": service,
                "address": address,
                "zone": "z1",
                "version": "1",
                "slots": 64,
                "state": state,
                "coldLeftMs": 0,
                "sequence": 1,
                **others,
            },
        )

    def add_host(self, name, **options):
        """Add a machine; it isn't started yet."""
        self.hosts.append(Host(self, name, **options))
        return self.hosts[-1]

    async def start_hosts(self, *names, **options):
        """Start machines with these names; return them once all are ready."""
        started = [self.add_host(name, **options) for name in names]
        for host in started:
            host.start()
        for host in started:
            if not await host.ready():
                raise RuntimeError(f"{host.name} isn't ready")
        await asyncio.sleep(1.0)
        return started

    async def stop(self):
        """End all that was started here."""
        for host in self.hosts:
            if host.process is None or host.process.poll() is not None:
                continue
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
            host.process.wait()
        for listener in self._listeners:
            listener.close()
        if self._store_server is not None:
            await self._store_server.stop()
        self.folder.cleanup()


def _check_rows(request):
    """Refuse a transaction with a value over the page's limit; nothing is done."""
    if request.path != "/api/rows-tx":
        return None
    sizes = [len(base64.b64decode(put["value"])) for put in request.json["puts"]]
    if max(sizes, default=0) <= ROW_BYTES:
        return None
    return sanic.json({"error": "a value is over rowBytes"}, status=400)


async def read_head(reader):
    """Return the head of a message: its first line, and its fields by lower name."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader, fields):
    """Return the body of a message with a length or in chunks."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(fields.get("content-length", "0")))


def request(
    path, attempt, *, method="POST", body=b"", fields=(), deadline=3000, key=KEY
):
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Dogwoodchute-Attempt-Id: {attempt}",
        f"X-Dogwoodchute-Deadline-Ms: {deadline}",
        f"X-Dogwoodchute-Credential: {key}",
        *fields,
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def answer(fields, content, *, status=b"200 OK", signature=b"1.1", extra=b""):
    """Return the bytes of a server's answer to a request with these fields."""
    attempt = fields.get("x-dogwoodchute-attempt-id", "").encode()
    return (
        b"HTTP/1.1 %s\r\nContent-Length: %d\r\n" % (status, len(content))
        + b"X-Dogwoodchute-Attempt-Id: %s\r\n" % attempt
        + b"X-Dogwoodchute-Response-Signature: %s\r\n" % signature
        + extra
        + b"\r\n"
        + content
    )


async def ask(host, data, *, seconds=5.0):
    """Send a request on a new channel; return its answer's first line, or the error."""
    data = data.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1)
    try:
        got = await asyncio.wait_for(exchange(host.front, data), seconds)
    except (OSError, TimeoutError) as error:
        return f"none: {error!r}"
    return got.split(b"\r\n")[0].decode("latin-1") or "none"


def run(folder, scenario, *, limit=110.0):
    """Run a scenario; exit with its code, or 2 if it couldn't run."""
    record = Record(folder)

    async def whole():
        site = Site()
        try:
            async with asyncio.timeout(limit):
                return await scenario(site, record)
        except Exception as error:
            record.write(f"the case couldn't run: {error!r}")
            return NOT_RUN
        finally:
            await site.stop()

    code = asyncio.run(whole())
    record.write({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "couldn't run"}[code])
    raise SystemExit(code)
