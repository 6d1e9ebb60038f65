"""A gateway as a process of its own; the store and endpoints run in the test."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import aiohttp

from dogwoodchute.tests import gateway_site, support

SETTINGS = """
node = "{node}"
ip = "{ip}"
zone = "z1"
region = "r1"
portRange = [7340, 7355]
seeds = []
[zones]
z1 = "r1"
[listen]
front = "{ip}:8227"
ready = "{ip}:8220"
control = "{ip}:8229"
directory = "{ip}:8224"
[bounds]
graceS = {grace}
[limits]
{limits}
[platform]
address = "{store}"
"""
GRACE = 5  # seconds


class GatewayProcess(gateway_site.Site):
    """A site whose gateway is a process on a loopback address of its own."""

    def __init__(self, *, node="h1", limits=None, **options):
        super().__init__(**options)
        self._node = node
        self._limits = limits or {}  # of the machine, as its settings name them
        self.process = None
        self._folder = tempfile.TemporaryDirectory()
        self._log = None
        self._store = None  # address

    async def start(self, *, store=None):
        """Start the process, on a store of its own or that at the address `store`."""
        self._store = store or await self.start_store()
        self._launch(self._store)
        self.session = aiohttp.ClientSession()
        await support.until_async(self.serves)

    def _launch(self, store):
        # The ports are fixed, so tests in parallel need different addresses.
        ip = gateway_site.own_loopback_ip()
        folder = pathlib.Path(self._folder.name)
        settings = folder / "settings.toml"
        limits = "\n".join(f"{name} = {each}" for name, each in self._limits.items())
        text = SETTINGS.format(
            node=self._node, ip=ip, grace=GRACE, store=store, limits=limits
        )
        settings.write_text(text, encoding="utf-8")
        self._log = folder / "log"
        with self._log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "dogwoodchute.tools.dogwoodgate"],
                env={**os.environ, "DOGWOODCHUTE_SETTINGS": str(settings)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.address = f"{ip}:8227"

    @property
    def store_address(self):
        """The address of its store, for other hosts of the same fleet."""
        return self._store

    def address_of_listener(self, name):
        """Return where the process takes connections for `name`, as `LISTENERS` has."""
        ports = {"callers": 8227, "readiness": 8220, "control": 8229, "directory": 8224}
        return f"{self.address.rpartition(':')[0]}:{ports[name]}"

    async def serves(self):
        """Return whether the process answers requests."""
        try:
            return (await self.ask("/look/x", attempt="probe"))[0] == 200
        except aiohttp.ClientError:
            return False

    def kill(self):
        """End the process without a chance to do anything."""
        self.process.kill()
        self.process.wait()

    async def start_again(self):
        """Start a new process of the same host, at another address."""
        self._launch(self._store)
        await support.until_async(self.serves)

    def terminate(self):
        """Send SIGTERM; return the monotonic time in seconds."""
        self.process.send_signal(signal.SIGTERM)
        return time.monotonic()

    async def wait_for_exit(self, *, seconds=20.0):
        """Wait for the process to exit; return its exit code."""
        await support.until(lambda: self.process.poll() is not None, seconds=seconds)
        return self.process.returncode

    @property
    def log(self):
        """The output of the processes."""
        return self._log.read_text(encoding="utf-8")

    async def stop(self):
        if self.process is not None:
            self.kill()
        if self.session is not None:
            await self.session.close()
        await self.stop_listeners()
        self._folder.cleanup()


@contextlib.asynccontextmanager
async def running(**options):
    """Run a site with one engine, one plain endpoint and a gateway process."""
    gateway = GatewayProcess(**options)
    gateway.put("op", "config", gateway_site.config())
    await gateway.add_endpoint("e1", "engines")
    await gateway.add_endpoint("p1", "plain")
    try:
        await gateway.start()
        yield gateway
    finally:
        await gateway.stop()
