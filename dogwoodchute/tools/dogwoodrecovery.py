"""Prints how fleets recovered after outages, from reports of the users' bench."""

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

    `reports` are paths of files. Days without an outage at their end are listed last.
    Raises `OSError` or `ValueError` if a file can't be read or is not a report.
    """
    figures = {path: day_report.read(path) for path in reports}
    recoveries = {
        path: recovery for path, recovery in figures.items() if recovery is not None
    }
    lines = []
    for path in sorted(recoveries, key=lambda path: recoveries[path].share):
        recovery = recoveries[path]
        violations = ",".join(
            f"{rule}:{count}" for rule, count in recovery.violations.items()
        )
        lines.append(
            f"{recovery.share:.2f} {recovery.served}/{recovery.owed} "
            f"worth {recovery.worth:.3f} "
            f"{violations or 'none'} {pathlib.Path(path).stem}"
        )
    if recoveries:
        mean = sum(recovery.share for recovery in recoveries.values()) / len(recoveries)
        lines.append(f"mean {mean:.3f} of {len(recoveries)} days")
    for path in figures.keys() - recoveries.keys():
        lines.append(f"no outage at the end: {pathlib.Path(path).stem}")
    return lines


def main() -> None:
    """Run the command."""
    command = cappa.parse(Recovery)
    try:
        print("\n".join(report_lines(command.reports)))
    except (OSError, ValueError) as error:
        sys.exit(str(error))


if __name__ == "__main__":
    main()
