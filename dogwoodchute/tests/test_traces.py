"""Traces of both deployments, replayed and compared with their expected outcomes."""

import pathlib

from dogwoodchute.tests import money_oracle, support, trace

FOLDER = pathlib.Path(__file__).parent / "traces"
SHORT = """
0 host dar-1 dar-a
0 host dar-2 dar-b
0 account growers 100
1 ask a dar-1 growers key=one kind=order tokens=10
3 ask b dar-2 growers key=one kind=order tokens=10
"""


def replay(text):
    trace.Replay(lines=trace.parse(text)).run()


class TraceTest(support.TestCase):
    def replay_file(self, name):
        replay((FOLDER / f"{name}.txt").read_text(encoding="utf-8"))

    def test_every_trace_has_its_test(self):
        found = {path.stem.replace("-", "_") for path in FOLDER.glob("*.txt")}
        tests = {name.removeprefix("test_replay_") for name in dir(self)}
        self.assertEqual(set(), found - tests)

    def test_replay_kivuli_partition(self):
        self.replay_file("kivuli-partition")

    def test_replay_kivuli_orders(self):
        self.replay_file("kivuli-orders")

    def test_replay_hinokuni_night(self):
        self.replay_file("hinokuni-night")

    def test_replay_hinokuni_bookings(self):
        self.replay_file("hinokuni-bookings")


class ReplayTest(support.TestCase):
    def test_a_wrong_expectation_fails(self):
        replay(SHORT + "9 expect b answered\n9 expect-runs one 1\n")
        for wrong in ("expect b not_run", "expect-runs one 2"):
            with self.assertRaises(trace.TraceError):
                replay(f"{SHORT}9 {wrong}\n")

    def test_invariants_are_checked_after_each_line(self):
        faulty_replay = trace.Replay(lines=trace.parse(SHORT + "9 spoil\n"))

        def spoil(line):
            faulty_replay.fleet.runs.append(faulty_replay.fleet.runs[0])

        faulty_replay._do_spoil = spoil
        self.assertRaises(money_oracle.InvariantViolation, faulty_replay.run)

    def test_malformed_traces_are_refused(self):
        for text in ("x ask", "1", "2 heal\n1 heal", "1 nonsense"):
            with self.assertRaises(trace.TraceError):
                replay(SHORT.replace("3 ask", "1 ask") + "9 heal\n" + text)
