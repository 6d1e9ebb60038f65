"""Commands on endpoints."""

import dataclasses

import cappa

from dogwoodchute.tools import ctl

COLUMNS = (
    "name",
    "service",
    "region",
    "limit",
    "own",
    "running",
    "waiting",
    "report_age",
    "weight",
    "ejected",
    "leaving",
)


@cappa.command(name="list")
@dataclasses.dataclass
class EndpointList(ctl.Connection):
    """List endpoints with their limit, load and health, as one host sees them.

    Example: dogwoodctl endpoint list
    """

    def __call__(self) -> None:
        body = ctl.call(self, "GET", "/ops/v1/endpoints")
        rows = [[_format(row[c]) for c in COLUMNS] for row in body["endpoints"]]
        ctl.show(self, body, columns=COLUMNS, rows=rows)


@cappa.command(name="endpoint")
@dataclasses.dataclass
class Endpoint:
    """Show endpoints."""

    command: cappa.Subcommands[EndpointList]


def _format(value: object) -> object:
    if isinstance(value, list):
        return " ".join(value) or "-"
    return "-" if value in (None, "") else value
