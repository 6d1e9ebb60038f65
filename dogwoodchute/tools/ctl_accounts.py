"""Commands on client accounts."""

import dataclasses
import typing

import cappa

from dogwoodchute.tools import ctl

BASE_PATH = "/ops/v1/accounts"


@cappa.command(name="list")
@dataclasses.dataclass
class AccountList(ctl.Connection):
    """List client accounts with what they paid and what hosts drew.

    Example: dogwoodctl account list --after growers
    """

    after: typing.Annotated[
        str, cappa.Arg(long="--after", help="Start after this client account")
    ] = ""
    limit: typing.Annotated[
        int, cappa.Arg(long="--limit", help="Most rows to print")
    ] = 100

    def __call__(self) -> None:
        query = {"after": self.after, "limit": str(self.limit)}
        body = ctl.call(self, "GET", BASE_PATH, params=query)
        columns = ("account", "paid", "drawn")
        rows = [[account[c] for c in columns] for account in body["accounts"]]
        ctl.show(self, body, columns=columns, rows=rows)


@cappa.command(name="show")
@dataclasses.dataclass
class AccountShow(ctl.Connection):
    """Show what a client account has paid, drawn and been billed, and who holds it.

    Example: dogwoodctl account show growers
    """

    name: typing.Annotated[str, cappa.Arg(help="Name of the client account")]

    def __call__(self) -> None:
        body = ctl.call(self, "GET", f"{BASE_PATH}/{self.name}")
        columns = ("account or holder", "paid", "drawn", "billed", "state")
        rows = [[body["account"], body["paid"], body["drawn"], body["billed"], ""]]
        for holding in body["holdings"]:
            state = "closed" if holding["closed"] else "open"
            rows.append(
                [
                    f"  {holding['incarnation']}",
                    "",
                    holding["granted"],
                    holding["billed"],
                    state,
                ]
            )
        ctl.show(self, body, columns=columns, rows=rows)


@cappa.command(name="topup")
@dataclasses.dataclass
class AccountTopUp(ctl.Connection):
    """Add tokens to what a client account has paid, once for each id.

    Example: dogwoodctl account topup growers --id invoice-2041 --tokens 500000
    """

    name: typing.Annotated[str, cappa.Arg(help="Name of the client account")]
    id: typing.Annotated[
        str, cappa.Arg(long="--id", help="Names this top-up; send it again at will")
    ]
    tokens: typing.Annotated[int, cappa.Arg(long="--tokens", help="Tokens to add")]

    def __call__(self) -> None:
        top_up = {"id": self.id, "tokens": self.tokens}
        body = ctl.call(self, "POST", f"{BASE_PATH}/{self.name}/topups", json=top_up)
        columns = ("account", "paid", "repeated")
        ctl.show(self, body, columns=columns, rows=[[body[c] for c in columns]])


@cappa.command(name="account")
@dataclasses.dataclass
class Account:
    """Show client accounts and top up their budgets."""

    command: cappa.Subcommands[AccountList | AccountShow | AccountTopUp]
