"""Commands on hosts."""

import dataclasses
import typing

import cappa

from dogwoodchute.tools import ctl

COLUMNS = (
    "host",
    "region",
    "data_centre",
    "address",
    "alive",
    "leaving",
    "stale",
    "takes_callers",
    "load",
)


@cappa.command(name="list")
@dataclasses.dataclass
class HostList(ctl.Connection):
    """List the hosts of the fleet as the asked host sees them.

    Example: dogwoodctl host list
    """

    def __call__(self) -> None:
        body = ctl.call(self, "GET", "/ops/v1/hosts")
        rows = [[row[c] for c in COLUMNS] for row in body["hosts"]]
        ctl.show(self, body, columns=COLUMNS, rows=rows)


@cappa.command(name="drain")
@dataclasses.dataclass
class HostDrain(ctl.Connection):
    """Shut a host down once it has finished what is in flight.

    Example: dogwoodctl host drain dar-2
    """

    name: typing.Annotated[str, cappa.Arg(help="Name of the host")]
    now: typing.Annotated[
        bool, cappa.Arg(long="--now", help="Don't wait for what is in flight")
    ] = False

    def __call__(self) -> None:
        path = f"/ops/v1/hosts/{self.name}/drain"
        body = ctl.call(self, "POST", path, params={"now": "1"} if self.now else {})
        columns = ("host", "phase", "in_flight")
        ctl.show(self, body, columns=columns, rows=[[body[c] for c in columns]])


@cappa.command(name="host")
@dataclasses.dataclass
class Host:
    """See the fleet's hosts and drain them."""

    command: cappa.Subcommands[HostList | HostDrain]
