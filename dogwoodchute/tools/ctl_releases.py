"""Commands on release notes."""

import dataclasses
import pathlib
import typing

import cappa

from dogwoodchute.tools import ctl


@cappa.command(name="submit")
@dataclasses.dataclass
class ReleaseSubmit(ctl.Connection):
    """Submit a release note; submitting the same note again is harmless.

    Example: dogwoodctl release submit spring.ini
    """

    note: typing.Annotated[pathlib.Path, cappa.Arg(help="The note, an INI file")]

    def __call__(self) -> None:
        text = self.note.read_bytes()
        body = ctl.call(self, "POST", "/ops/v1/releases", data=text)
        columns = ("revision", "note")
        ctl.show(self, body, columns=columns, rows=[[body[c] for c in columns]])


@cappa.command(name="show")
@dataclasses.dataclass
class ReleaseShow(ctl.Connection):
    """Show what is in force on the host that is asked.

    Example: dogwoodctl release show
    """

    def __call__(self) -> None:
        body = ctl.call(self, "GET", "/ops/v1/releases")
        rows = []
        for kind in ("account", "service", "endpoint"):
            for fields in body[f"{kind}s"]:
                rows.append(
                    [body["revision"], kind, fields["name"], _format_fields(fields)]
                )
        columns = ("revision", "kind", "name", "keys")
        ctl.show(self, body, columns=columns, rows=rows)


@cappa.command(name="diff")
@dataclasses.dataclass
class ReleaseDiff(ctl.Connection):
    """Show what the notes after one revision and up to another changed.

    Example: dogwoodctl release diff --from 41 --to 43
    """

    first: typing.Annotated[
        int | None, cappa.Arg(long="--from", help="Revision to start after")
    ] = None
    last: typing.Annotated[int | None, cappa.Arg(long="--to", help="Last revision")] = (
        None
    )

    def __call__(self) -> None:
        bounds = {"from": self.first, "to": self.last}
        query = {key: value for key, value in bounds.items() if value is not None}
        body = ctl.call(self, "GET", "/ops/v1/releases/diff", params=query)
        rows = []
        for delta in body["deltas"]:
            source = [delta["revision"], delta["note"]]
            for kind, fields in delta["puts"]:
                rows.append(
                    [*source, "put", kind, fields["name"], _format_fields(fields)]
                )
            for kind, name in delta["removes"]:
                rows.append([*source, "withdrawn", kind, name, ""])
        columns = ("revision", "note", "change", "kind", "name", "keys")
        ctl.show(self, body, columns=columns, rows=rows)


@cappa.command(name="status")
@dataclasses.dataclass
class ReleaseStatus(ctl.Connection):
    """Show the accepted revision, where it is in force, and which hosts lag and why.

    Example: dogwoodctl release status
    """

    def __call__(self) -> None:
        body = ctl.call(self, "GET", "/ops/v1/releases/status")
        summary = [body["accepted"], f"{body['in_force']} of {body['hosts']}"]
        rows = [[*summary, body["store"], "", "", ""]]
        for lag in body["lagging"]:
            rows.append(["", "", "", lag["host"], lag["revision"], lag["why"]])
        columns = ("accepted", "in force on", "store", "lagging", "revision", "why")
        ctl.show(self, body, columns=columns, rows=rows)


def _format_fields(fields: dict) -> str:
    parts = []
    for key, value in fields.items():
        if key == "name" or value in (None, "", 0, [], False):
            continue
        shown = " ".join(value) if isinstance(value, list) else value
        parts.append(f"{key}={shown}")
    return ", ".join(parts)


@cappa.command(name="release")
@dataclasses.dataclass
class Release:
    """Submit release notes and see where they are in force."""

    command: cappa.Subcommands[
        ReleaseSubmit | ReleaseShow | ReleaseDiff | ReleaseStatus
    ]
