"""Reads the reports of the users' bench: how service came back after an outage."""

import json
import typing

WINDOW = 2.0  # seconds of each window of a report
FINAL_FAULT = "closing"  # the bench's name of an outage of all hosts late in a day


class Recovery(typing.NamedTuple):
    """What a report says of the time from which the recovery of a day is judged."""

    served: int  # requests
    owed: int  # requests
    worth: float  # of the whole day
    violations: dict[str, int]  # times by rule

    @property
    def share(self) -> float:
        """Served of owed requests, 1 if none was owed."""
        return self.served / self.owed if self.owed else 1.0


def read(path: str) -> Recovery | None:
    """Return a report's figures, None for a day without an outage at its end.

    Raise `ValueError` if the file is not a report.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return parse_report(json.load(file))
    except (KeyError, TypeError, ValueError) as error:
        raise ValueError(f"{path} is not a report of a day: {error!r}") from error


def parse_report(report: dict[str, typing.Any]) -> Recovery | None:
    """Return the figures of a decoded report, None without an outage at its end.

    The bench tells until when such an outage excuses failures. A window counts from
    the half of it on.
    """
    ends = [
        event["to_s"]
        for event in report["events"]
        if event["kind"].startswith(FINAL_FAULT)
    ]
    if not ends:
        return None
    first = max(ends) - WINDOW / 2
    served = owed = 0
    for window in report["windows"]:
        if float(window["name"]) < first:
            continue
        served += window["in_aim"] + window["late"]
        owed += window["n"] - window["not_owed"]
    return Recovery(served, owed, float(report["G"]), dict(report["breaks"]))
