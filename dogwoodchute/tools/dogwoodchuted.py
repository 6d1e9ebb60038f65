"""The daemon's command line."""

import asyncio
import dataclasses
import pathlib
import signal
import sys
from typing import Annotated

import cappa
import uvloop

from dogwoodchute import log, runtime, settings


@dataclasses.dataclass
class Dogwoodchuted:
    """Run the daemon of one host."""

    settings_file: Annotated[
        pathlib.Path, cappa.Arg(help="The host's settings, an INI file.")
    ]
    check: Annotated[
        bool, cappa.Arg(long="--check", help="Check the settings and exit.")
    ] = False


async def run(config: settings.Settings) -> None:
    """Run one host until it has drained.

    SIGTERM or SIGINT begins the drain and a second one hurries it.
    """
    loop = asyncio.get_running_loop()
    async with runtime.running(config) as host:

        def on_signal(name: str) -> None:
            if host.drain.phase == "serving":
                host.drain.begin(name)
            else:
                host.drain.hurry(name)

        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, on_signal, number.name)
        await host.drain.done.wait()


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
