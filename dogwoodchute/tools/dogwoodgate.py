"""The gateway's command line: one host of a deployment on the users' platform."""

import time

STARTED_AT = time.clock_gettime(
    time.CLOCK_BOOTTIME
)  # seconds; before all other imports

import signal

# SIGHUP's default action ends the process, so it is ignored until the loop handles it.
# No change is missed: the settings are read once more as soon as the loop does.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio
import pathlib
import sys

from dogwoodchute.tools import quick_start

if __name__ == "__main__":
    quick_start.begin()

import prometheus_client
import sanic
import uvloop

from dogwoodchute import clock, log, server
from dogwoodchute.gateway import gateway, liveness, model, platform_access
from dogwoodchute.gateway.following import tables
from dogwoodchute.gateway.accounts import (
    budgets,
    transfer_protocol,
    witness_protocol,
    witnessing,
)
from dogwoodchute.intake import account, limits as intake_limits
from dogwoodchute.platform import (
    boot,
    decode,
    egress,
    ingress,
    names,
    relay,
    store,
    store_rows,
)

METRICS_PORT = 9464  # TCP, the same as in `deploy/system.toml`
METRICS_PATH = "/metrics"
DIRECTORY_TTL = 2.0  # seconds for which callers may cache an answer
BODY_BYTES = 4 * 1024 * 1024  # limit until a configuration sets another
HEADER_BYTES = 16 * 1024  # limit until a configuration sets another
LAST_ANSWERS_TIMEOUT = 0.1  # seconds to write the answers of interrupted requests
CLOSE_TIMEOUT = 0.1  # seconds to close connections to the store and to other hosts
IDLE_TIMEOUT = 60.0  # seconds, until a configuration sets another


class Process:
    """The gateway and its listeners."""

    def __init__(
        self,
        *,
        source: pathlib.Path,
        deployment: model.Deployment,
        metrics_port: int = METRICS_PORT,
    ) -> None:
        self.ports: dict[str, int] = {}  # of the listeners, by what they serve
        self._source = source
        self._metrics_port = metrics_port
        self._deployment = deployment
        self._servers: list[server.Server] = []
        self._account = account.Account(now=clock.monotonic)
        self._limit_callers(BODY_BYTES)
        self._callers = self._new_server("callers")
        self._transfer_client = transfer_protocol.TransferClient(now=clock.monotonic)
        self._table_client = tables.Client()
        self._liveness_client = liveness.Client()
        self._witness_client = witness_protocol.Client()
        self._store_client = store.Client(
            address=deployment.store,
            relays=lambda: self.gateway.relays(),
            now=clock.monotonic,
        )
        self.gateway = gateway.Gateway(
            deployment=deployment,
            platform=platform_access.Platform(
                store=store_rows.open_store(self._store_client),
                wire=egress.wire_format(),
                decode_config=decode.config,
                decode_endpoint=decode.endpoint,
                config_table=names.CONFIG_TABLE,
                config_key=names.CONFIG_KEY,
                endpoints_table=names.ENDPOINTS_TABLE,
                evacuated_data_centre=decode.evacuated_data_centre,
                is_store_reachable=lambda: self._store_client.is_store_reachable,
            ),
            host_calls=budgets.Calls(
                request_from_host=self._transfer_client.request,
                give_back_to_host=self._transfer_client.give_back,
                witnesses=witnessing.Client(
                    confirm=self._witness_client.confirm,
                    denies=self._witness_client.denies,
                ),
            ),
            ask_table=self._table_client.ask,
            is_alive=self._liveness_client.is_alive,
            on_config=self._adopt_limits,
            started_at=STARTED_AT,
        )

    async def start(self) -> None:
        """Listen, and start to follow the store's tables."""
        deployment = self._deployment
        ip = deployment.callers.rpartition(":")[0]
        control = self._new_server("control")
        transfer_protocol.add_routes(
            control.app,
            transfer_out=self.gateway.transfer_out,
            take_back=self.gateway.take_back,
        )
        tables.add_routes(control.app, changes_since=self.gateway.table_changes_since)
        liveness.add_routes(control.app)
        witness_protocol.add_routes(
            control.app, id=self.gateway.id, witness=self.gateway.witnessing
        )
        relay.add_routes(control.app, client=self._store_client)
        readiness = self._new_server("readiness")
        ingress.add_readiness(readiness.app, ready=self.gateway.ready)
        directory = self._new_server("directory")
        ingress.add_directory(
            directory.app,
            addresses=self.gateway.addresses,
            ttl=min(DIRECTORY_TTL, deployment.bounds.max_directory_ttl),
        )
        metrics = self._new_server("metrics")
        _add_metrics(metrics.app)
        ingress.add_routes(
            self._callers.app,
            serve=self.gateway.serve,
            leaving=lambda: self.gateway.leaving,
        )
        await self.gateway.start()
        listeners = {
            "control": (control, deployment.control),
            "readiness": (readiness, deployment.readiness),
            "directory": (directory, deployment.directory),
            "metrics": (metrics, f"{ip}:{self._metrics_port}"),
            "callers": (self._callers, deployment.callers),
        }
        for name, (listener, address) in listeners.items():
            await _listen(listener, address)
            self.ports[name] = listener.port
        log.info(
            "started",
            host=deployment.host,
            data_centre=deployment.data_centre,
            region=deployment.region,
            callers=deployment.callers,
            store=deployment.store,
        )

    async def stop(self) -> None:
        """Finish what is in flight, then close all connections.

        Callers' connections are closed before the bills are written, so that no request
        arrives that could no longer be answered.
        """
        await self.gateway.leave()
        await self._callers.drain(within=self.gateway.seconds_until_close)
        await self.gateway.stop()
        await self._callers.stop(within=LAST_ANSWERS_TIMEOUT)
        for listener in self._servers:
            await listener.stop()
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT):
                await self._store_client.close()
                await self._transfer_client.close()
                await self._table_client.close()
                await self._liveness_client.close()
                await self._witness_client.close()
        except TimeoutError:
            log.warning("stop_unclosed")

    def reload(self) -> None:
        """Read the settings file again and log what changed.

        The listeners keep their addresses. A file that is not valid is ignored.
        """
        try:
            newer = boot.load(self._source)
        except boot.SettingsError as error:
            log.error("reload_refused", reason=str(error))
            return
        changed = [
            field
            for field in newer._fields
            if getattr(newer, field) != getattr(self._deployment, field)
        ]
        log.info("reloaded", changed=",".join(changed) or None)
        self._deployment = newer

    def _new_server(self, name: str) -> server.Server:
        new_server = server.Server(
            name=f"{name}-{id(self)}",
            body_bytes=BODY_BYTES,
            header_bytes=HEADER_BYTES,
            idle_timeout=IDLE_TIMEOUT,
            callers=self._account,
        )
        self._servers.append(new_server)
        return new_server

    def _adopt_limits(self, config: model.Config) -> None:
        limits = config.limits
        self._callers.set_limits(
            body_bytes=limits.body_bytes,
            header_bytes=limits.header_bytes,
            idle_timeout=limits.idle_timeout,
            header_timeout=limits.header_timeout,
        )
        self._limit_callers(limits.body_bytes)

    def _limit_callers(self, body_bytes: int) -> None:
        """Set what callers of all listeners may hold, as this machine allows."""
        machine = self._deployment
        self._account.set_limits(
            intake_limits.limits(
                memory=machine.memory,
                descriptors=machine.descriptors,
                body_bytes=body_bytes,
            )
        )


async def _listen(listener: server.Server, address: str) -> None:
    ip, _, port = address.rpartition(":")
    await listener.start(ip, int(port))


def _add_metrics(app: sanic.Sanic) -> None:
    async def handle(request: sanic.Request) -> sanic.HTTPResponse:
        content = prometheus_client.generate_latest()
        return sanic.raw(content, content_type=prometheus_client.CONTENT_TYPE_LATEST)

    app.add_route(handle, METRICS_PATH, name="metrics")


async def run(source: pathlib.Path, deployment: model.Deployment) -> None:
    """Run one host until SIGTERM or SIGINT; SIGHUP reads the settings again."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    process = Process(source=source, deployment=deployment)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, process.reload)
    # The file may have changed before this process handled SIGHUP.
    process.reload()
    await process.start()
    await stop.wait()
    await process.stop()


def main(argv: list[str] | None = None) -> int:
    """Parse the command line and run; return the exit code."""
    words = sys.argv[1:] if argv is None else argv
    settings_file, check = None, False
    if words:
        # The parser of command lines takes long to import, and most hosts have none.
        from dogwoodchute.tools import dogwoodgate_arguments

        settings_file, check = dogwoodgate_arguments.parse(words)
    try:
        source = settings_file or boot.settings_path()
        deployment = boot.load(source)
    except boot.SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    if check:
        print(f"{source}: settings are valid")
        return 0
    log.setup(level="info")
    quick_start.end()
    uvloop.run(run(source, deployment))
    return 0


if __name__ == "__main__":
    sys.exit(main())
