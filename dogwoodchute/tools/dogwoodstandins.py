"""Runs the stand-ins of a local trial fleet: platform, engines, plain services."""

import asyncio
import dataclasses
import signal
import sys
import typing

import cappa
import uvloop

from dogwoodchute.standins import engine, platform_server, service, site

LOOPBACK = "127.0.0.1"


@dataclasses.dataclass
class Dogwoodstandins:
    """Serve an in-memory platform, toy engines and toy services on loopback.

    Ports count up from --port: the platform first, then the engines, then the plain
    services. With --port 0 each takes a free one. Everything is lost on exit.

    Example: dogwoodstandins --port 7000 --engines 2 --services 1
    """

    port: typing.Annotated[int, cappa.Arg(long="--port", help="First TCP port")] = 7000
    engines: typing.Annotated[int, cappa.Arg(long="--engines", help="Toy engines")] = 1
    services: typing.Annotated[
        int, cappa.Arg(long="--services", help="Toy services")
    ] = 1
    token_ms: typing.Annotated[
        float, cappa.Arg(long="--token-ms", help="Milliseconds before each token")
    ] = 10.0


async def run(options: Dogwoodstandins) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    platform = platform_server.PlatformServer()
    apps = [("platform", platform.app())]
    for number in range(options.engines):
        toy_engine = engine.Engine(token_seconds=options.token_ms / 1000)
        apps.append((f"engine-{number + 1}", toy_engine.app()))
    for number in range(options.services):
        apps.append((f"service-{number + 1}", service.Service().app()))
    listeners = []
    for offset, (name, app) in enumerate(apps):
        listener = site.Site(app=app)
        await listener.start(options.port + offset if options.port else 0)
        listeners.append(listener)
        print(f"{name}={listener.address}", flush=True)
    print("ready", flush=True)
    await stop.wait()
    for listener in listeners:
        await listener.stop()


def main(argv: list[str] | None = None) -> int:
    """Parse the command line and serve; return the exit code."""
    options = cappa.parse(
        Dogwoodstandins, argv=argv, backend=cappa.backend, completion=False
    )
    uvloop.run(run(options))
    return 0


if __name__ == "__main__":
    sys.exit(main())
