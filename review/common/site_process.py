"""A small deployment on loopback addresses: a store, servers, hosts and clients.

The hosts are processes started with the command of the deploy file. The store is the
project's stand-in; the servers are those below. All addresses are loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import abc

from dogwoodchute import clock, server
from dogwoodchute.gateway import rows
from dogwoodchute.standins import row_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = "site.example"
KEY = "key-of-ann"
HEARTBEAT = 1.2  # seconds, as `heartbeatMs` says
# Exit codes of a case. Python itself exits with 1 after an error, so that is none.
HELD = 0
BROKEN = 3
NOT_RUN = 2
START_TIMEOUT = 25.0  # seconds until all hosts are ready
SETTINGS = """
node = "{name}"
role = "gate"
machineClass = "edge"
serves = ["edge", "control_plane", "directory"]
ip = "{ip}"
zone = "dar-a"
region = "dar"
portRange = [{ports[4]}, {ports[5]}]
seeds = [{seeds}]
bootstrap = true
heartbeatMs = 1200
contracts = ["base", "drain", "config", "retry", "engine", "stream", "tenants"]
[zones]
dar-a = "dar"
[listen]
front = "{ip}:{ports[0]}"
ready = "{ip}:{ports[1]}"
control = "{ip}:{ports[2]}"
directory = "{ip}:{ports[3]}"
[limits]
memoryMb = 150
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
drainMs = 2500
graceS = 8
lossSlackMs = 200
configApplyMs = 2500
retryRatio = 0.2
retryWindowS = 10
retrySlack = 54
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
"""


class Record:
    """The lines of `record.txt`, each with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Request:
    """A request as a server received it."""

    def __init__(
        self, *, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers  # names in lower case
        self.body = body
        self.writer: asyncio.StreamWriter | None = None

    @property
    def attempt(self) -> str:
        """The client attempt's id."""
        return self.headers.get("x-dogwoodchute-attempt-id", "")

    @property
    def tokens(self) -> tuple[int, int]:
        """The prompt tokens and the maximum of output tokens."""
        counts = self.headers.get("x-dogwoodchute-token-count", "0,0").split(",")
        return int(counts[0]), int(counts[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return first, headers


class Server:
    """One server of a service. `work` answers a request that is meant for it."""

    def __init__(
        self, *, id: str, service: str, work: abc.Callable, slots: int = 64
    ) -> None:
        self.id = id
        self.service = service
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.address = ""
        self._work = work
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at a free port."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop listening and reset all channels."""
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, sequence: int, state: str = "ready") -> dict:
        """Return the server's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "dar-a",
            "version": 1,
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "sequence": sequence,
            "born": self.born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ", 2)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        request = Request(method=method, target=target, headers=headers, body=body)
        request.writer = writer
        if headers.get("x-dogwoodchute-target-instance", self.id) != self.id:
            await self.answer(request, 421, b"another server", not_run=True)
            return True
        await self._work(self, request)
        return not writer.transport.is_closing()

    def head(self, request: Request, status: int, fields: dict[str, str]) -> bytes:
        """Return the head of an answer."""
        lines = [
            f"HTTP/1.1 {status} X",
            f"X-Dogwoodchute-Attempt-Id: {request.attempt}",
        ]
        lines.extend(f"{name}: {value}" for name, value in fields.items())
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def answer(
        self, request: Request, status: int, body: bytes, *, not_run: bool = False
    ) -> None:
        """Send a whole answer, signed unless the request was not run."""
        fields = {"Content-Length": str(len(body))}
        if not_run:
            fields["X-Dogwoodchute-Not-Executed"] = "1"
        else:
            fields["X-Dogwoodchute-Response-Signature"] = f"sig.{self.id}"
        request.writer.write(self.head(request, status, fields) + body)
        await request.writer.drain()

    async def begin_stream(self, request: Request) -> None:
        """Send the head of a stream."""
        fields = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "X-Dogwoodchute-Response-Signature": f"sig.{self.id}",
        }
        request.writer.write(self.head(request, 200, fields))
        await request.writer.drain()

    async def send_piece(self, request: Request, data: bytes) -> None:
        """Send bytes of a stream, as one chunk."""
        request.writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await request.writer.drain()

    async def end_stream(self, request: Request) -> None:
        """End a stream as complete."""
        request.writer.write(b"0\r\n\r\n")
        await request.writer.drain()


class Proxy:
    """Passes channels on to an address, until they are made silent."""

    def __init__(self) -> None:
        self.address = ""
        self._target = ""
        self._silences: list[asyncio.Event] = []
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, target: str) -> None:
        """Listen at a free port; pass channels on to `target`."""
        self._target = target
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def silence(self) -> int:
        """Make all open channels silent for good; return how many there are.

        They stay open and are not reset. New ones work.
        """
        silences, self._silences = self._silences, []
        for each in silences:
            each.set()
        return len(silences)

    async def stop(self) -> None:
        """Stop listening and reset all channels."""
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        silence = asyncio.Event()
        self._silences.append(silence)
        ip, _, port = self._target.rpartition(":")
        try:
            to_reader, to_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, to_writer}
        ways = [
            asyncio.create_task(self._pass_on(reader, to_writer, silence)),
            asyncio.create_task(self._pass_on(to_reader, writer, silence)),
        ]
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        if silence in self._silences:
            self._silences.remove(silence)
            for each in (writer, to_writer):
                each.close()
                self._writers.discard(each)
            for each in ways:
                each.cancel()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        silence: asyncio.Event,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                if silence.is_set():
                    # Nothing that comes from now on arrives, its end neither.
                    await asyncio.Event().wait()
                writer.write(data)
                await writer.drain()
        if silence.is_set():
            await asyncio.Event().wait()


class Host:
    """One host's process."""

    def __init__(self, *, name: str, ip: str, ports: list[int], folder: str) -> None:
        self.name = name
        self.ip = ip
        self.ports = ports
        self.settings = pathlib.Path(folder) / f"{name}.toml"
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def launch(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        command = deploy["roles"]["gate"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "DOGWOODCHUTE_SETTINGS": str(self.settings),
        }
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the host answers the readiness check with 200."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports[1])
        except OSError:
            return False
        try:
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1.0)
            return " 200" in first
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()


class Answer:
    """What a client saw of one request."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.seconds = 0.0

    @property
    def ids(self) -> list[int]:
        """The ids of the events of a stream."""
        return [int(number) for number in re.findall(rb"^id: (\d+)", self.body, re.M)]


class Channel:
    """A client's channel to a host, kept for several requests."""

    def __init__(self, host: Host) -> None:
        self._host = host
        self._reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def ask(
        self,
        path: str,
        *,
        attempt: str,
        deadline_ms: int,
        method: str = "POST",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        on_data: abc.Callable[[bytes], None] = lambda data: None,
    ) -> Answer:
        """Send a request and read its answer, until the time limit at most."""
        began = time.monotonic()
        answer = Answer()
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError, ValueError
        ):
            async with asyncio.timeout(deadline_ms / 1000):
                await self._ask(
                    path, attempt, deadline_ms, method, body, headers, answer, on_data
                )
        answer.seconds = time.monotonic() - began
        if not answer.complete or answer.headers.get("connection") == "close":
            self.close()
        return answer

    async def _ask(
        self, path, attempt, deadline_ms, method, body, headers, answer, on_data
    ) -> None:
        if self.writer is None:
            self._reader, self.writer = await asyncio.open_connection(
                self._host.ip, self._host.ports[0]
            )
        fields = {
            "Host": HOST_NAME,
            "X-Dogwoodchute-Attempt-Id": attempt,
            "X-Dogwoodchute-Deadline-Ms": str(deadline_ms),
            "X-Dogwoodchute-Credential": KEY,
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        lines = [f"{method} {path} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in fields.items())
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        first, answer.headers = await read_head(self._reader)
        answer.status = int(first.split(" ")[1])
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int(await self._reader.readline(), 16):
                data = await self._reader.readexactly(size + 2)
                answer.body += data[:-2]
                on_data(data[:-2])
            await self._reader.readline()
        else:
            size = int(answer.headers.get("content-length", "0"))
            answer.body = await self._reader.readexactly(size)
        answer.complete = True

    def close(self) -> None:
        """Close the channel."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = self._reader = None


class Site:
    """The store, the servers and the hosts of one deployment."""

    def __init__(self, *, record: Record, config: dict, servers: list[Server]) -> None:
        self.record = record
        self.servers = servers
        self.hosts: list[Host] = []
        self.store = row_store.RowStore(now=clock.monotonic)
        self.config = config
        self.faults: abc.Callable[[str], row_store.Fault] = lambda kind: (
            row_store.NO_FAULT
        )
        self.store_proxy = Proxy()
        self._listener: server.Server | None = None
        self._beats: asyncio.Task | None = None
        self._sequence = 0
        self.silent: set[str] = set()  # servers that write no entries

    def put(self, table: str, key: str, value: dict | None) -> None:
        """Write a row as the operator or a server does."""
        data = None if value is None else json.dumps(value).encode()
        self.store.commit("", [], [rows.Put(table, key, data)])

    async def start(self, folder: str, *, hosts: int) -> None:
        """Start everything and wait until all hosts are ready."""
        self._listener = server.Server(
            name=f"store-{id(self)}",
            body_bytes=4 << 20,
            header_bytes=16384,
            idle_timeout=60.0,
        )
        row_store.add_routes(
            self._listener.app, self.store, faults=lambda kind: self.faults(kind)
        )
        await self._listener.start("127.0.0.1", 0)
        await self.store_proxy.start(f"127.0.0.1:{self._listener.port}")
        for each in self.servers:
            await each.start()
        self.put("op", "config", self.config)
        self._beat()
        self._beats = asyncio.create_task(self._keep_beating())
        self._write_settings(folder, hosts)
        for host in self.hosts:
            await host.launch()
        deadline = time.monotonic() + START_TIMEOUT
        for host in self.hosts:
            while not await host.is_ready():
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{host.name} is not ready")
                await asyncio.sleep(0.1)
        self.record.write(f"{hosts} hosts are ready")

    def _write_settings(self, folder: str, hosts: int) -> None:
        network = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        ips = [f"{network}.{number + 1}" for number in range(hosts)]
        ports = _free_ports(ips)
        seeds = ", ".join(f'"{ip}:{ports[2]}"' for ip in ips[:3])
        for number, ip in enumerate(ips):
            host = Host(
                name=f"edge-dar-a-{number + 1}", ip=ip, ports=ports, folder=folder
            )
            text = SETTINGS.format(
                name=host.name,
                ip=ip,
                ports=ports,
                seeds=seeds,
                store=self.store_proxy.address,
            )
            host.settings.write_text(text, encoding="utf-8")
            self.hosts.append(host)

    def _beat(self) -> None:
        self._sequence += 1
        for each in self.servers:
            if each.id not in self.silent:
                self.put("servers", each.id, each.entry(self._sequence))

    async def _keep_beating(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT)
            self._beat()

    async def stop(self) -> None:
        """End all processes and listeners."""
        if self._beats is not None:
            self._beats.cancel()
        for host in self.hosts:
            if host.process is None:
                continue
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
            await host.process.wait()
        for each in self.servers:
            await each.stop()
        await self.store_proxy.stop()
        if self._listener is not None:
            await self._listener.stop()


def _free_ports(ips: list[str]) -> list[int]:
    """Return six ports, the last two adjacent, that are free at all addresses."""
    while True:
        first = random.randint(20000, 40000)
        ports = [first + number for number in range(6)]
        if all(_is_free(ip, port) for ip in ips for port in ports):
            return ports


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def route(name: str, prefix: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of the desired state."""
    return {
        "name": name,
        "hostname": HOST_NAME,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": 10000,
        "targetLatencyMs": 800,
        "maxAttempts": 1,
        "priority": 0,
        **fields,
    }


def config(routes: list[dict], *, prepaid: int = 10**9, version: int = 1) -> dict:
    """Return a desired state with one tenant."""
    engine = {"slots": 64, "kvCapacity": 404774, "stride": 4}
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "llm", "engine": engine}, {"name": "orders"}],
        "tenants": [{"name": "ann", "apiKeys": [KEY], "prepaid": prepaid}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def run(
    play: abc.Callable[[Site, bool], abc.Awaitable[bool]],
    *,
    record: pathlib.Path,
    make: abc.Callable[[Record], Site],
    hosts: int,
    with_trouble: bool,
) -> int:
    """Play a case; return `HELD`, `BROKEN` or `NOT_RUN`.

    `play` gets the site and `with_trouble`, whether the disruption comes, and returns
    whether the rule was kept.
    """

    async def scenario() -> int:
        written = Record(record)
        written.write(f"the disruption {'comes' if with_trouble else 'does not come'}")
        site = make(written)
        with tempfile.TemporaryDirectory() as folder:
            try:
                await site.start(folder, hosts=hosts)
                kept = await play(site, with_trouble)
            except Exception as error:
                written.write(f"the case could not run: {error!r}")
                return NOT_RUN
            finally:
                await site.stop()
                if os.environ.get("KEEP_LOGS"):
                    for host in site.hosts:
                        print(host.log.read_text("utf-8"), file=sys.stderr)
            written.write("the rule held" if kept else "the rule was broken")
            written.close()
        return HELD if kept else BROKEN

    return asyncio.run(scenario())
