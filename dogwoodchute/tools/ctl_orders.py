"""Commands on orders to engines."""

import dataclasses

import cappa

from dogwoodchute.tools import ctl

COLUMNS = ("endpoint", "missing", "why", "host")


@cappa.command(name="list")
@dataclasses.dataclass
class OrderList(ctl.Connection):
    """Show which endpoints' engines are not as the release asks, and why.

    Example: dogwoodctl order list
    """

    def __call__(self) -> None:
        body = ctl.call(self, "GET", "/ops/v1/orders")
        rows = []
        for status in body["orders"]:
            missing = " ".join(status["missing"]) or "-"
            rows.append(
                [status["endpoint"], missing, status["why"] or "-", status["host"]]
            )
        ctl.show(self, body, columns=COLUMNS, rows=rows)


@cappa.command(name="order")
@dataclasses.dataclass
class Order:
    """Show orders to engines."""

    command: cappa.Subcommands[OrderList]
