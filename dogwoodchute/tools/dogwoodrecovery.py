"""Prints how service came back on played days, from the users' bench's reports."""

import dataclasses
import pathlib
import sys
import typing

import cappa

from dogwoodchute.platform import day_report


@cappa.command(name="dogwoodrecovery")
@dataclasses.dataclass
class Recovery:
    """Print the share of owed requests that were served after each day's outage.

    Days are listed from the lowest share up.
    """

    reports: typing.Annotated[
        list[str], cappa.Arg(help="Files that `fleetbench run --report` wrote.")
    ]


def report_lines(reports: list[str]) -> list[str]:
    """Return one line for each report, and one with the mean.

    Days without an outage at their end are listed last.
    """
    found = {path: day_report.read(path) for path in reports}
    judged = {path: each for path, each in found.items() if each is not None}
    printed = []
    for path in sorted(judged, key=lambda path: judged[path].share):
        each = judged[path]
        broken = ",".join(f"{rule}:{times}" for rule, times in each.violations.items())
        printed.append(
            f"{each.share:.2f} {each.served}/{each.owed} worth {each.worth:.3f} "
            f"{broken or 'none'} {pathlib.Path(path).stem}"
        )
    if judged:
        mean = sum(each.share for each in judged.values()) / len(judged)
        printed.append(f"mean {mean:.3f} of {len(judged)} days")
    for path in found.keys() - judged.keys():
        printed.append(f"no outage at the end: {pathlib.Path(path).stem}")
    return printed


def main() -> None:
    """Run the command."""
    command = cappa.parse(Recovery)
    try:
        print("\n".join(report_lines(command.reports)))
    except (OSError, ValueError) as error:
        sys.exit(str(error))


if __name__ == "__main__":
    main()
