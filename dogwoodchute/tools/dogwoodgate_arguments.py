"""The command line of `dogwoodgate`, apart as its parser takes long to import."""

import dataclasses
import pathlib
import typing

import cappa


@dataclasses.dataclass
class Dogwoodgate:
    """Run the gateway of one host."""

    settings_file: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(
            help="The platform's settings file; from the environment if left out."
        ),
    ] = None
    check: typing.Annotated[
        bool, cappa.Arg(long="--check", help="Check the settings and exit.")
    ] = False


def parse(words: list[str]) -> tuple[pathlib.Path | None, bool]:
    """Return the settings file, None if none is named, and whether only to check it.

    Exits with a message if the words are wrong or ask for help.
    """
    arguments = cappa.parse(
        Dogwoodgate, argv=words, backend=cappa.backend, completion=False
    )
    return arguments.settings_file, arguments.check
