"""Burn rates of service-level objectives, alerts, and summaries that outlive hosts."""

import asyncio
import re

from dogwoodchute import catalog, exchange as exchanges, outcomes
from dogwoodchute.controllers import burn as burn_controller, burn_report
from dogwoodchute.coordination import burn
from dogwoodchute.filters import observe
from dogwoodchute.tests import release_support, support
from dogwoodchute.tools import burn_page

TARGET = 0.99
NOW = 1_000_000_800.0  # epoch seconds, on a bucket's start
SERVICE = catalog.Service(
    "llm",
    catalog.CHAT,
    availability=TARGET,
    false_refusals=0.999,
    first_token_share=0.95,
    first_token_seconds=1.2,
    between_tokens_share=0.95,
    between_tokens_seconds=0.026,
)
PLACE = burn_controller.Place("dar/dar-a", "llm-1")


def buckets(shares, *, width=300.0, place="dar/dar-a"):
    """Return buckets of 1000 events up to `NOW`, one for each share of bad events.

    The last share is that of the newest bucket.
    """
    found = []
    for position, share in enumerate(reversed(shares)):
        count = burn.Count(1000, int(1000 * share))
        found.append(burn.Bucket(NOW - position * width, width, place, count))
    return found


class BurnRateTest(support.TestCase):
    def test_rate_one_uses_exactly_the_budget(self):
        self.assertAlmostEqual(1.0, burn.burn_rate(burn.Count(1000, 10), TARGET))
        self.assertEqual(0.0, burn.burn_rate(burn.Count(0, 0), TARGET))

    def test_a_service_within_its_objective_does_not_alert(self):
        self.assertIsNone(burn.alert(buckets([0.005] * 900), TARGET, NOW))

    def test_a_long_outage_pages(self):
        found = burn.alert(buckets([0.0] * 30 + [0.3] * 12), TARGET, NOW)
        self.assertEqual("page", found.window.urgency)
        self.assertEqual(NOW - 11 * 300, found.since)

    def test_a_short_spike_does_not_page(self):
        spike = [0.0] * 860 + [0.5]
        self.assertIsNone(burn.alert(buckets(spike), TARGET, NOW))

    def test_an_outage_that_ended_does_not_page(self):
        ended = [0.0] * 845 + [0.5] * 11 + [0.0] * 8
        self.assertIsNone(burn.alert(buckets(ended), TARGET, NOW))

    def test_a_slow_burn_makes_a_ticket(self):
        found = burn.alert(buckets([0.02] * 864), TARGET, NOW)
        self.assertEqual("ticket", found.window.urgency)

    def test_the_places_that_miss_most_come_first(self):
        both = buckets([0.3] * 12) + buckets([0.1] * 12, place="arusha/arusha-a")
        found = burn.alert(both, TARGET, NOW)
        self.assertEqual(["dar/dar-a", "arusha/arusha-a"], [p for p, _ in found.places])
        self.assertAlmostEqual(0.75, found.places[0][1])


class Clock:
    """A wall clock that tests set."""

    def __init__(self):
        self.time = NOW // 3600 * 3600 + 60.0

    def __call__(self):
        return self.time


class SummaryTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = release_support.Fleet()
        self.clock = Clock()

    def start(self, name):
        self.fleet.start(name)
        recorder = burn_controller.Recorder(wall=self.clock)
        host = self.fleet.hosts[name]
        return recorder, burn_controller.BurnSummaries(
            host=host, recorder=recorder, wall=self.clock
        )

    def report(self, reader):
        summaries, remarks = self.run_async(reader.gather())
        found = burn_report.make({"llm": SERVICE}, summaries, self.clock.time)
        return {o["measure"]: o for o in found}, remarks

    def test_counts_add_up_over_hosts_restarts_and_hours(self):
        first, writer = self.start("a")
        second, reader = self.start("b")
        first.count("llm", PLACE, burn.AVAILABILITY, 10, 1)
        first.record_time("llm", burn.FIRST_TOKEN, 0.5)
        second.count("llm", PLACE, burn.AVAILABILITY, 10, 2)
        self.run_async(writer.step())
        third, restarted_writer = self.start("a")
        third.count("llm", PLACE, burn.AVAILABILITY, 5, 0)
        self.run_async(restarted_writer.step())
        for _ in range(4):
            found, remarks = self.report(reader)
            availability = found[burn.AVAILABILITY]
            self.assertEqual((25, 3), (availability["total"], availability["bad"]))
            self.assertEqual([], [r for r in remarks if not r.endswith(": a")])
            self.assertAlmostEqual(0.5, found[burn.FIRST_TOKEN]["p95"], places=2)
            self.clock.time += 3600
            for summaries in (restarted_writer, reader):
                self.run_async(summaries.step())
        merged = [n for n in self.fleet.objects.contents if "-merged/" in n]
        self.assertEqual(3, len(merged))

    def test_a_late_summary_is_named_and_counted(self):
        late_recorder, writer = self.start("a")
        prompt_recorder, reader = self.start("b")
        late_recorder.count("llm", PLACE, burn.AVAILABILITY, 10, 1)
        prompt_recorder.count("llm", PLACE, burn.AVAILABILITY, 10, 1)
        self.clock.time += 3600 + 300
        self.run_async(reader.step())
        self.clock.time += 60
        self.run_async(writer.step())
        found, remarks = self.report(reader)
        self.assertEqual(20, found[burn.AVAILABILITY]["total"])
        self.assertTrue(any(r.startswith("late: burn/") for r in remarks), remarks)

    def test_one_of_two_merges_counts(self):
        first, one = self.start("a")
        _, two = self.start("b")
        first.count("llm", PLACE, burn.AVAILABILITY, 10, 1)
        self.run_async(one.step())
        self.clock.time += 3600 + 300

        async def race():
            self.fleet.objects.delay = 1.0
            await asyncio.gather(one.step(), two.step())
            self.fleet.objects.delay = 0.0

        self.run_async(race())
        found, _ = self.report(two)
        self.assertEqual(10, found[burn.AVAILABILITY]["total"])

    def test_objects_stay_bounded(self):
        recorder, writer = self.start("a")
        for _ in range(burn_controller.KEPT_HOURS + 12):
            recorder.count("llm", PLACE, burn.AVAILABILITY, 1, 0)
            self.run_async(writer.step())
            self.clock.time += 3600
        bound = burn_controller.KEPT_HOURS + 4
        self.assertLess(len(self.fleet.objects.contents), bound)
        self.assertLess(len(self.fleet.table.rows), bound)

    def test_counts_wait_for_the_object_store(self):
        recorder, writer = self.start("a")
        recorder.count("llm", PLACE, burn.AVAILABILITY, 10, 1)
        self.fleet.objects.down = True
        self.clock.time += 3600
        self.run_async(writer.step())
        self.assertEqual(10, self.report(writer)[0][burn.AVAILABILITY]["total"])
        self.fleet.objects.down = False
        self.run_async(writer.step())
        _, reader = self.start("b")
        self.assertEqual(10, self.report(reader)[0][burn.AVAILABILITY]["total"])

    def test_the_page_needs_no_other_file(self):
        recorder, reader = self.start("a")
        for back in range(13):
            self.clock.time = NOW - 300 * back
            recorder.count("llm", PLACE, burn.AVAILABILITY, 100, 50)
        self.clock.time = NOW
        summaries, remarks = self.run_async(reader.gather())
        objectives = burn_report.make({"llm": SERVICE}, summaries, NOW)
        page = burn_page.render({"at": NOW, "objectives": objectives, "remarks": []})
        self.assertEqual(len(objectives), page.count("<svg"))
        self.assertEqual([], re.findall(r"<(?:script|link|img|iframe)\b", page))
        self.assertEqual("page", objectives[0]["burning"])
        self.assertIn("dar/dar-a 100%, llm-1 650/1300", page)


class ObserveTest(support.TestCase):
    def counts(self, outcome, *, wait=0.1, gaps=(), service=SERVICE):
        """Return the counts of one request by measure."""
        recorder = burn_controller.Recorder()

        async def nothing(*arguments):
            return None

        exchange = exchanges.Exchange(
            request=None,
            reply=exchanges.Reply(start=nothing, chunk=nothing),
            received=0.0,
            request_key="k",
        )

        async def proceed():
            exchange.service = service
            exchange.first_token = wait
            for _ in gaps:
                await exchange.reply.chunk(b"")
            return outcome

        self.run_async(observe.make(recorder=recorder)(exchange, proceed))
        found = recorder.summary()["buckets"].get("llm", {})
        counts = {}
        for measure, places in found.items():
            for leaves in places.values():
                counts[measure] = next(iter(leaves.values()))
        return counts

    def refuse(self, status, code):
        return outcomes.refuse(status, code, "", step="test")

    def test_an_answer_counts_for_every_objective(self):
        answered = outcomes.Answered(status=200, tokens=1, endpoint="llm-1")
        found = self.counts(answered, wait=1.3, gaps=(1, 2, 3))
        self.assertEqual([1, 0], found[burn.AVAILABILITY])
        self.assertEqual([1, 1], found[burn.FIRST_TOKEN])
        self.assertEqual([2, 0], found[burn.BETWEEN_TOKENS])

    def test_an_error_of_the_caller_misses_no_objective(self):
        found = self.counts(self.refuse(402, "budget_spent"))
        self.assertEqual({burn.FALSE_REFUSALS: [1, 0]}, found)

    def test_a_false_refusal_counts(self):
        found = self.counts(self.refuse(503, "budget_out_of_reach"))
        self.assertEqual([1, 1], found[burn.FALSE_REFUSALS])
        self.assertEqual([1, 1], found[burn.AVAILABILITY])

    def test_an_unknown_outcome_is_a_failure(self):
        found = self.counts(outcomes.router_failed(step="test"))
        self.assertEqual([1, 1], found[burn.AVAILABILITY])

    def test_a_key_that_is_unknown_counts_nowhere(self):
        self.assertEqual({}, self.counts(self.refuse(401, "unknown_key"), service=None))
