"""Commands on release notes."""

import dataclasses
import pathlib
from typing import Annotated

import cappa

from dogwoodchute.tools import ctl


@cappa.command(name="submit")
@dataclasses.dataclass
class ReleaseSubmit(ctl.Connection):
    """Submit a release note.

    Example: dogwoodctl release submit spring.ini
    """

    note: Annotated[pathlib.Path, cappa.Arg(help="The note, an INI file")]

    def __call__(self) -> None:
        text = self.note.read_bytes()
        body = ctl.call(self, "POST", "/ops/v1/releases", data=text)
        ctl.show(self, body, columns=("revision",), rows=[[body["revision"]]])


@cappa.command(name="release")
@dataclasses.dataclass
class Release:
    """Submit release notes and see where they are in force."""

    command: cappa.Subcommands[ReleaseSubmit]
