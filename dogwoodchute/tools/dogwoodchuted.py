"""The daemon's command line."""

import asyncio
import dataclasses
import pathlib
import signal
import sys
import typing

import cappa
import uvloop

from dogwoodchute import drain, log, runtime, settings


@dataclasses.dataclass
class Dogwoodchuted:
    """Run the daemon of one host."""

    settings_file: typing.Annotated[
        pathlib.Path, cappa.Arg(help="The host's settings, an INI file.")
    ]
    check: typing.Annotated[
        bool, cappa.Arg(long="--check", help="Check the settings and exit.")
    ] = False


async def run(config: settings.Settings) -> None:
    """Run one host until it has drained.

    The first SIGTERM or SIGINT starts the drain and a second one finishes it at once.
    """
    loop = asyncio.get_running_loop()
    signals: asyncio.Queue[str] = asyncio.Queue()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number.name)
    async with runtime.running(config) as host_daemon:
        signal_task = asyncio.create_task(_handle_signals(signals, host_daemon.drain))
        await host_daemon.drain.done.wait()
        signal_task.cancel()


async def _handle_signals(signals: asyncio.Queue[str], host_drain: drain.Drain) -> None:
    while True:
        name = await signals.get()
        if host_drain.phase == "serving":
            host_drain.begin(name)
        else:
            host_drain.finish_now(name)


def main(argv: list[str] | None = None) -> int:
    """Parse the command line and run; return the exit code."""
    arguments = cappa.parse(
        Dogwoodchuted, argv=argv, backend=cappa.backend, completion=False
    )
    try:
        config = settings.load(arguments.settings_file)
    except settings.SettingsError as error:
        for fault in error.faults:
            print(f"{error.source}: {fault}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"{arguments.settings_file}: {error.strerror}", file=sys.stderr)
        return 2
    if arguments.check:
        print(f"{arguments.settings_file}: settings are valid")
        return 0
    log.setup(level=config.log.level)
    uvloop.run(run(config))
    return 0


if __name__ == "__main__":
    sys.exit(main())
