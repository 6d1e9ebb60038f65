"""Figures that are read from reports of the users' bench."""

import json
import pathlib
import tempfile

from dogwoodchute.platform import day_report
from dogwoodchute.tests import support
from dogwoodchute.tools import dogwoodrecovery


def report(*, served, end=47.6, kind="closing (power_off_all)"):
    """Return a report whose windows each have `served` of 8 owed requests served."""
    window = {"n": 10, "in_aim": served - 1, "late": 1, "not_owed": 2}
    return {
        "G": 0.5,
        "breaks": {"RECOVER": 1} if served < 2 else {},
        "events": [{"kind": kind, "to_s": end}, {"kind": "burst", "to_s": 99.0}],
        "windows": [{"name": str(at), **window} for at in range(40, 54, 2)],
    }


class DayReportTest(support.TestCase):
    def write(self, name, content):
        folder = pathlib.Path(self.folder.name)
        (folder / name).write_text(content)
        return str(folder / name)

    def setUp(self):
        super().setUp()
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def test_windows_count_from_the_end_of_the_last_outage(self):
        recovery = day_report.parse_report(report(served=4))
        self.assertEqual(
            (12, 24, 0.5), (recovery.served, recovery.owed, recovery.share)
        )
        self.assertIsNone(day_report.parse_report(report(served=4, kind="burst")))

    def test_the_lowest_days_come_first(self):
        paths = [
            self.write("good.json", json.dumps(report(served=6))),
            self.write("bad.json", json.dumps(report(served=1))),
            self.write("calm.json", json.dumps(report(served=6, kind="burst"))),
        ]
        self.assertEqual(
            [
                "0.12 3/24 worth 0.500 RECOVER:1 bad",
                "0.75 18/24 worth 0.500 none good",
                "mean 0.438 of 2 days",
                "no outage at the end: calm",
            ],
            dogwoodrecovery.report_lines(paths),
        )

    def test_a_file_that_is_no_report_is_named_in_the_error(self):
        for content in ("{}", "no json", "[]"):
            path = self.write("other.json", content)
            error = self.assertRaises(ValueError, day_report.read, path)
            self.assertIn(path, str(error))
