"""How hosts learn of crashes that other hosts saw."""

from dogwoodchute.coordination import quarantine
from dogwoodchute.gateway import crash_reports, gossip, host_rows, model
from dogwoodchute.tests import gateway_calls, support, test_hosts, test_load_groups

# Seconds in which all hosts must know of a deadly part, on the smallest sites.
BOUND = 3.0
SHARED = model.Part("shared", 10)
DEADLY = model.Part("deadly", 10)


def prompt(*parts, own="own"):
    return model.Prompt(10 * len(parts) + 10, 8, (*parts, model.Part(own, 10)))


def gauge():
    (metric,) = crash_reports.quarantined_parts.collect()
    return metric.samples[0].value


def record_crash(reports, name, *parts):
    """Let a host see an endpoint end under a request with these parts."""
    call = gateway_calls.call(attempt_id=f"a-{name}", prompt=prompt(*parts))
    endpoint = model.Endpoint(name, "engines", "10.0.0.1:80", "z1", model.READY, 8, 7)
    reports.record_crash(call, endpoint)


class FleetTest(support.TestCase):
    def check(self, count, *, loss):
        """Let three hosts see one crash each; check what all hosts think of it."""
        fleet = test_load_groups.Fleet(count, loss=loss)
        self.addCleanup(fleet.loop.finish)
        fleet.loop.run_for(2.0)
        reports = list(fleet.crashes.values())
        reports[0].record_completion(prompt(SHARED))
        fleet.loop.run_for(1.0)
        for number in range(3):
            record_crash(reports[number], f"e{number}", SHARED, DEADLY)
        fleet.loop.run_for(BOUND)
        for each in reports:
            self.assertEqual(DEADLY.id, each.find(prompt(DEADLY)).part)
            self.assertIsNone(each.find(prompt(SHARED)))

    def test_all_hosts_of_a_small_fleet_learn_of_a_deadly_part(self):
        self.check(7, loss=0.0)
        self.check(9, loss=0.1)

    def test_all_hosts_of_a_large_fleet_learn_of_a_deadly_part(self):
        self.check(63, loss=0.1)
        self.check(340, loss=0.05)

    def test_a_complete_answer_at_one_host_clears_a_part_at_all(self):
        """Guards against refusing sound requests, which one host sees rarely."""
        fleet = test_load_groups.Fleet(9)
        self.addCleanup(fleet.loop.finish)
        fleet.loop.run_for(1.0)
        reports = list(fleet.crashes.values())
        for number in range(3):
            record_crash(reports[number], f"e{number}", SHARED)
        fleet.loop.run_for(1.0)
        self.assertIsNotNone(reports[4].find(prompt(SHARED)))
        reports[5].record_completion(prompt(SHARED))
        fleet.loop.run_for(1.0)
        for each in reports:
            self.assertIsNone(each.find(prompt(SHARED)))

    def test_what_is_old_news_is_told_no_more(self):
        fleet = test_load_groups.Fleet(9)
        self.addCleanup(fleet.loop.finish)
        fleet.busy = False
        fleet.loop.run_for(1.0)
        reports = list(fleet.crashes.values())
        record_crash(reports[0], "e0", DEADLY)
        fleet.loop.run_for(crash_reports.REPORT_SECONDS + 2.0)
        self.assertGreater(fleet.sent.total(), 0)
        fleet.sent.clear()
        fleet.loop.run_for(2.0)
        self.assertEqual(0, fleet.sent.total())


class ReportTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 1000.0
        self.first, self.second = self.make(), self.make()

    def make(self):
        return crash_reports.CrashReports(
            on_quarantine=lambda: None, now=lambda: self.now
        )

    def test_a_host_that_no_datagram_reaches_learns_from_rows(self):
        record_crash(self.first, "e1", DEADLY)
        self.assertEqual((), self.first.for_row())
        record_crash(self.first, "e2", DEADLY)
        record_crash(self.second, "e3", DEADLY)
        self.second.learn_from_row(self.first.for_row())
        self.assertEqual(DEADLY.id, self.second.find(prompt(DEADLY)).part)
        self.second.learn_from_row(self.first.for_row())
        self.assertEqual(3, self.second.find(prompt(DEADLY)).crashes)

    def test_rows_hold_crashes_no_longer_than_they_count(self):
        record_crash(self.first, "e1", DEADLY)
        record_crash(self.first, "e2", DEADLY)
        self.now += quarantine.MEMORY + 1
        self.assertEqual((), self.first.for_row())

    def test_rows_do_not_repeat_what_other_hosts_saw(self):
        for number in range(3):
            record_crash(self.first, f"e{number}", DEADLY)
        self.second.learn(self.first.report())
        self.assertIsNotNone(self.second.find(prompt(DEADLY)))
        self.assertEqual((), self.second.for_row())

    def test_a_host_that_does_not_know_yet_is_told_again(self):
        """Guards against new hosts that crash more endpoints after the reports."""
        for number in range(3):
            record_crash(self.first, f"e{number}", DEADLY)
        self.now += crash_reports.REPORT_SECONDS + 1
        self.assertEqual(crash_reports.Report(), self.first.report())
        record_crash(self.second, "e9", DEADLY)
        self.assertIsNone(self.second.find(prompt(DEADLY)))
        self.first.learn(self.second.report())
        self.second.learn(self.first.report())
        self.assertEqual(4, self.second.find(prompt(DEADLY)).crashes)

    def test_reports_are_bounded(self):
        for number in range(40):
            record_crash(self.first, f"e{number}", DEADLY, model.Part(f"x{number}", 1))
        self.assertEqual(
            crash_reports.MAX_REPORTED_CRASHES, len(self.first.report().crashes)
        )
        self.assertEqual(crash_reports.MAX_ROW_CRASHES, len(self.first.for_row()))

    def test_odd_ids_of_parts_are_reported_and_told_apart(self):
        """Guards against datagrams that other hosts can't read."""
        odd = [model.Part(id, 1) for id in ("a\xa0", "a\x85", "\udcff", "p" * 200)]
        for number in range(3):
            record_crash(self.first, f"e{number}", odd[number], odd[3])
        data = gossip.encode(
            gossip.LoadReport("h", 1, 0, 0, 1, 0.0, {}, (), self.first.report())
        )
        self.second.learn(gossip.decode(data).crashes)
        self.assertIsNotNone(self.second.find(prompt(odd[3])))
        for part in odd[:3]:
            self.assertIsNone(self.second.find(prompt(part)))

    def test_the_gauge_falls_when_a_quarantine_ends(self):
        for number in range(3):
            record_crash(self.first, f"e{number}", DEADLY)
        self.assertEqual(1, gauge())
        self.now += quarantine.BASE_TIME + 1
        self.first.report()
        self.assertEqual(0, gauge())

    def test_a_completion_from_long_ago_does_not_count(self):
        old = crash_reports.ReportedCompletion(DEADLY.id, 2 * quarantine.MEMORY)
        self.first.learn(crash_reports.Report((), (old,)))
        for number in range(3):
            record_crash(self.first, f"e{number}", DEADLY)
        self.assertIsNotNone(self.first.find(prompt(DEADLY)))

    def test_a_request_without_shared_parts_blames_nothing(self):
        for number in range(5):
            record_crash(self.first, f"e{number}")
        self.assertIsNone(self.first.find(prompt()))
        self.assertEqual(crash_reports.Report(), self.first.report())


class RowTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.crash = quarantine.Crash(quarantine.Run("e1", 7), ("p1", "p2"))
        self.host = test_hosts.make_host("h1-a")._replace(crashes=(self.crash,))

    def test_a_row_tells_of_crashes(self):
        value = host_rows.encode(self.host)
        self.assertEqual(self.host, host_rows.decode("h1-a", value))

    def test_a_row_without_crashes_does_not_grow(self):
        value = host_rows.encode(self.host._replace(crashes=()))
        self.assertNotIn(b"crashes", value)

    def test_odd_crashes_are_refused(self):
        for odd in (
            7,
            "x",
            [7],
            [[["e1"], ["p"]]],
            [[["e1", 1], "p"]],
            [[["e1", 10**30], ["p"]]],  # no datagram can hold it
            [[["e1", -1], ["p"]]],
            [[["e1", float("inf")], ["p"]]],
            [[["e1", "1"], ["p"]]],
            [[["e" * 300, 1], ["p"]]],
            [[[["e1"], 1], ["p"]]],
            [[["e1", 1], ["\ud800"]]],
            [[["e1\n", 1], ["p"]]],
        ):
            value = host_rows.encode(self.host._replace(crashes=odd))
            self.assertRaises((TypeError, ValueError), host_rows.decode, "h", value)
