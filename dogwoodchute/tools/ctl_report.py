"""Reports on the fleet."""

import dataclasses
import pathlib
import typing

import cappa

from dogwoodchute.tools import burn_page, ctl


@cappa.command(name="burn")
@dataclasses.dataclass
class ReportBurn(ctl.Connection):
    """Show which service objectives burn, where, and since when.

    Example: dogwoodctl report burn --html burn.html
    """

    html: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(long="--html", help="Write a page with plots to this file"),
    ] = None

    def __call__(self) -> None:
        body = ctl.call(self, "GET", "/ops/v1/burn")
        if self.html is not None:
            self.html.write_text(burn_page.render(body), encoding="utf-8")
        rows = [burn_page.table_cells(objective) for objective in body["objectives"]]
        ctl.show(self, body, columns=burn_page.COLUMNS, rows=rows)
        if self.as_json:
            return
        for remark in body["remarks"]:
            print(remark)


@cappa.command(name="report")
@dataclasses.dataclass
class Report:
    """Report on the fleet."""

    command: cappa.Subcommands[ReportBurn]
