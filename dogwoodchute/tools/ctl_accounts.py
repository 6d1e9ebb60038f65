"""Commands on client accounts."""

import dataclasses
from typing import Annotated

import cappa

from dogwoodchute.tools import ctl


@cappa.command(name="show")
@dataclasses.dataclass
class AccountShow(ctl.Connection):
    """Show what a client account has paid, drawn and been billed.

    Example: dogwoodctl account show growers
    """

    name: Annotated[str, cappa.Arg(help="Name of the client account")]

    def __call__(self) -> None:
        body = ctl.call(self, "GET", f"/ops/v1/accounts/{self.name}")
        columns = ("account", "paid", "drawn", "billed")
        ctl.show(self, body, columns=columns, rows=[[body[c] for c in columns]])


@cappa.command(name="account")
@dataclasses.dataclass
class Account:
    """Show client accounts and top up their budgets."""

    command: cappa.Subcommands[AccountShow]
