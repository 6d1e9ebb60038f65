"""Reads reports of the users' bench: how a fleet recovered after an outage.

A report covers one day that the bench ran.
"""

import json
import typing

WINDOW_SECONDS = 2.0  # length of each window of a report
# Prefix of the bench's name for an outage of all hosts late in a day.
FINAL_OUTAGE = "closing"


class Recovery(typing.NamedTuple):
    """Figures of a report; the requests are those after the final outage."""

    served: int  # requests that got an answer, late ones included
    owed: int  # requests that the bench counts as due an answer
    worth: float  # the bench's figure `G` for the whole day
    violations: dict[str, int]  # how often each rule was broken, by the rule's name

    @property
    def share(self) -> float:
        """The share of owed requests that were served, 1 if none was owed."""
        return self.served / self.owed if self.owed else 1.0


def read(path: str) -> Recovery | None:
    """Return the figures of the report in a file, None without a final outage.

    Raise `ValueError` if the file is not a report.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return parse_report(json.load(file))
    except (KeyError, TypeError, ValueError) as error:
        raise ValueError(f"{path} is not a report of a day: {error!r}") from error


def parse_report(report: dict[str, typing.Any]) -> Recovery | None:
    """Return the figures of a decoded report, None without a final outage.

    The report has the time until which such an outage excuses failures. A window counts
    if at least half of it is after that time.
    """
    ends = [
        event["to_s"]
        for event in report["events"]
        if event["kind"].startswith(FINAL_OUTAGE)
    ]
    if not ends:
        return None
    first_start = max(ends) - WINDOW_SECONDS / 2
    served = owed = 0
    for window in report["windows"]:
        if float(window["name"]) < first_start:
            continue
        served += window["in_aim"] + window["late"]
        owed += window["n"] - window["not_owed"]
    return Recovery(served, owed, float(report["G"]), dict(report["breaks"]))
