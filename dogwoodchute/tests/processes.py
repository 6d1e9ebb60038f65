"""A fleet of real processes on loopback, for end-to-end tests."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

import aiohttp

from dogwoodchute import catalog
from dogwoodchute.platform import http_client, table
from dogwoodchute.tools import demo

CLIENT_KEY = "process-client-key"
OPERATOR_KEY = "process-operator-key"
START_BOUND = 30.0  # seconds
STOP_BOUND = 30.0  # seconds

SETTINGS = """
[host]
id = {name}
region = {region}
data_centre = {data_centre}
address = 127.0.0.1
caller_port = 0
operator_port = 0
peer_port = 0
[platform]
mode = http
table_address = {platform}
objects_address = {platform}
hostlist_address = {platform}
[keys]
operator_sha256 = {operator}
fleet_key = process-fleet-secret
[drain]
linger = 1
"""

PLACES = (("dar", "dar-a"), ("dar", "dar-b"), ("arusha", "arusha-a"))


class Fleet:
    """The stand-ins in one process, and one process for each host."""

    def __init__(self, *, hosts: int = 3, budget: int = 100_000) -> None:
        self.hosts = hosts
        self.budget = budget
        self.addresses: dict[str, str] = {}  # of stand-ins, by name
        self.callers: list[str] = []  # address of each host's listener for callers
        self.operators: list[str] = []  # address of each host's for operators
        self.processes: list[subprocess.Popen] = []
        self._folder = tempfile.TemporaryDirectory()
        self._standins: subprocess.Popen | None = None
        self._settings: list[pathlib.Path] = []

    async def start(self, *, token_ms: float = 5.0) -> None:
        """Start all processes and wait until every host serves the demo's note."""
        await asyncio.to_thread(self._start_standins, token_ms)
        for number in range(self.hosts):
            self._write_settings(number)
            self.processes.append(self._run_daemon(number))
        note = demo.NOTE.format(
            engine=self.addresses["engine-1"],
            orders=self.addresses["service-1"],
            key=catalog.hash_key(CLIENT_KEY),
            budget=self.budget,
        )
        for number in range(self.hosts):
            await self._read_ports(number)
        async with self.operator_session() as session:
            url = f"http://{self.operators[0]}/ops/v1/releases"
            async with session.post(url, data=note.encode()) as response:
                text = await response.text()
            if response.status != 200:
                raise AssertionError(text)
        for number in range(self.hosts):
            await self.until(lambda n=number: self.serves(n))

    def stop(self) -> None:
        """End all processes that this fleet started."""
        for process in [*self.processes, self._standins]:
            if process is not None and process.poll() is None:
                process.kill()
        for process in [*self.processes, self._standins]:
            if process is not None:
                process.wait(STOP_BOUND)
        self._folder.cleanup()

    def signal(self, number: int, kind: signal.Signals) -> None:
        """Send a signal to one host's daemon."""
        self.processes[number].send_signal(kind)

    async def until(self, holds, bound: float = START_BOUND) -> None:
        """Wait until the coroutine function `holds` returns true.

        Raises `AssertionError` after `bound` seconds.
        """
        deadline = asyncio.get_running_loop().time() + bound
        while not await holds():
            if asyncio.get_running_loop().time() > deadline:
                raise AssertionError(f"not within {bound} s")
            await asyncio.sleep(0.1)

    async def serves(self, number: int) -> bool:
        """Return whether a host accepts the key of the note's client account."""
        url = f"http://{self.callers[number]}/v1/models"
        return await self._status(url) == 200

    async def _read_ports(self, number: int) -> None:
        """Read the ports that a host chose from its log."""

        async def started() -> bool:
            return "event=host_started" in self.logs(number)

        await self.until(started)
        lines = self.logs(number).split("event=host_started")[-1]
        fields = dict(word.split("=", 1) for word in lines.split() if "=" in word)
        self.callers.append(f"127.0.0.1:{fields['caller_port']}")
        self.operators.append(f"127.0.0.1:{fields['operator_port']}")

    async def _status(self, url: str) -> int:
        try:
            async with self.caller_session() as session, session.get(url) as response:
                return response.status
        except (aiohttp.ClientError, OSError):
            return 0

    def caller_session(self) -> aiohttp.ClientSession:
        """Return a session with the client account's key."""
        headers = {"Authorization": f"Bearer {CLIENT_KEY}"}
        return aiohttp.ClientSession(headers=headers)

    def operator_session(self) -> aiohttp.ClientSession:
        """Return a session with the operators' key."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        return aiohttp.ClientSession(headers=headers)

    async def rows(self, prefix: str) -> dict[str, dict]:
        """Return the values of the table's rows whose keys begin with `prefix`."""
        connection = http_client.Connection(
            address=self.addresses["platform"], timeout=5
        )
        found = await http_client.table_client(connection).scan(prefix)
        await connection.close()
        if isinstance(found, table.Unavailable):
            raise AssertionError(found.reason)
        return {key: row.value for key, row in found.rows.items()}

    def _start_standins(self, token_ms: float) -> None:
        arguments = ["--port", "0", "--token-ms", str(token_ms)]
        self._standins = subprocess.Popen(
            [sys.executable, "-m", "dogwoodchute.tools.dogwoodstandins", *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        for line in self._standins.stdout:
            name, _, address = line.strip().partition("=")
            if name == "ready":
                return
            self.addresses[name] = address
        raise AssertionError("stand-ins did not start")

    def _write_settings(self, number: int) -> None:
        region, data_centre = PLACES[number % len(PLACES)]
        path = pathlib.Path(self._folder.name) / f"host-{number}.ini"
        path.write_text(
            SETTINGS.format(
                name=f"host-{number}",
                region=region,
                data_centre=data_centre,
                platform=self.addresses["platform"],
                operator=catalog.hash_key(OPERATOR_KEY),
            ),
            encoding="utf-8",
        )
        self._settings.append(path)

    def _run_daemon(self, number: int) -> subprocess.Popen:
        log_path = pathlib.Path(self._folder.name) / f"host-{number}.log"
        with log_path.open("ab") as log_file:
            return subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "dogwoodchute.tools.dogwoodchuted",
                    str(self._settings[number]),
                ],
                stdout=log_file,
                stderr=subprocess.STDOUT,
                env=dict(os.environ),
            )

    def logs(self, number: int) -> str:
        """Return what a host has logged so far."""
        path = pathlib.Path(self._folder.name) / f"host-{number}.log"
        return path.read_text(encoding="utf-8")
