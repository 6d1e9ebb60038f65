"""The filters that admit a request to an endpoint and move it on."""

import asyncio

from dogwoodchute import (
    exchange as exchanges,
    outcomes,
)
from dogwoodchute.coordination import admission
from dogwoodchute.filters import choose, limit
from dogwoodchute.tests import endpoint_fleet, support


class FiltersTest(support.TestCase):
    def run_chain(self, fleet, answers, **fields):
        """Pass one request through both filters; return its outcome and its path."""
        host, own, _ = fleet.hosts["host0"]
        path = []
        exchange = fleet.exchange(**fields)

        async def dispatch(current, proceed):
            path.append(current.endpoint.name)
            return answers.pop(0)(current)

        run = exchanges.chain(
            [
                limit.make(host=host, endpoints=own),
                choose.make(endpoints=own),
                dispatch,
            ]
        )
        outcome = self.run_async(run(exchange))
        self.assertEqual(0, own.admissions["llm"].in_flight)
        return outcome, path

    def refused(self, code, *, dispatched=False):
        def answer(exchange):
            exchange.dispatched = dispatched
            return outcomes.refuse(503, code, "", step="dispatch", retry_after=1)

        return answer

    def answered(self, exchange):
        return outcomes.Answered(status=200, tokens=1, endpoint="")

    def test_unreachable_endpoint_is_passed_over(self):
        answers = [self.refused(choose.UNREACHABLE), self.answered]
        outcome, path = self.run_chain(endpoint_fleet.Fleet(), answers)
        self.assertIsInstance(outcome, outcomes.Answered)
        self.assertEqual(2, len(set(path)))

    def test_non_idempotent_call_does_not_move_once_sent(self):
        fleet = endpoint_fleet.Fleet()
        exchange_of = fleet.exchange

        def marked(**fields):
            new = exchange_of(**fields)
            new.idempotent = False
            return new

        fleet.exchange = marked
        answers = [self.refused(choose.BUSY, dispatched=True), self.answered]
        outcome, path = self.run_chain(fleet, answers)
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertEqual(1, len(path))

    def test_retries_stay_within_the_budget(self):
        fleet = endpoint_fleet.Fleet()
        tries = 0
        for _ in range(200):
            answers = [self.refused(choose.BUSY) for _ in range(3)]
            outcome, path = self.run_chain(fleet, answers)
            self.assertIsInstance(outcome, outcomes.NotRun)
            self.assertGreaterEqual(outcome.retry_after, 0.5)
            tries += len(path)
        self.assertLessEqual(tries - 200, 1 + 20)

    def test_endpoint_that_says_it_leaves_gets_nothing_more(self):
        fleet = endpoint_fleet.Fleet()
        answers = [self.refused(choose.LEAVING), self.answered]
        _, path = self.run_chain(fleet, answers)
        self.assertNotIn(path[0], self.run_async(fleet.targets(draws=50)))

    def test_bad_timeout_is_refused_and_a_good_one_is_kept(self):
        for value in ("soon", "-1", "nan"):
            outcome, _ = self.run_chain(
                endpoint_fleet.Fleet(), [], headers={limit.TIMEOUT_HEADER: value}
            )
            self.assertEqual(400, outcome.status)
        headers = {limit.TIMEOUT_HEADER: "0.5"}
        outcome, _ = self.run_chain(
            endpoint_fleet.Fleet(), [self.answered], headers=headers
        )
        self.assertIsInstance(outcome, outcomes.Answered)

    def test_waiting_caller_who_leaves_frees_the_place(self):
        async def check():
            fleet = endpoint_fleet.Fleet(names=("one",))
            _, own, _ = fleet.hosts["host0"]
            running = [fleet.exchange() for _ in range(8)]
            for sent in running:
                await own.admit(sent)
            left, stays = fleet.exchange(), fleet.exchange()
            waiting = [asyncio.create_task(own.admit(e)) for e in (left, stays)]
            await asyncio.sleep(0)
            self.assertEqual(2, own.admissions["llm"].queued)
            left.caller_disconnected.set()
            self.assertIsNone(await waiting[0])
            own.finish(running[0])
            self.assertEqual("one", (await waiting[1]).name)
            fleet.time += 2.0
            late = asyncio.create_task(own.admit(fleet.exchange()))
            await asyncio.sleep(0)
            fleet.time += 2.0
            own.tick()
            self.assertIsInstance(await late, admission.Shed)

        self.run_async(check())

    def test_tick_between_admission_and_dispatch(self):
        async def check():
            fleet = endpoint_fleet.Fleet(names=("one",))
            _, own, _ = fleet.hosts["host0"]
            running = [fleet.exchange() for _ in range(8)]
            for sent in running:
                await own.admit(sent)
            waiting = asyncio.create_task(own.admit(fleet.exchange()))
            await asyncio.sleep(0)
            own.finish(running[0])
            own.tick()
            self.assertEqual("one", (await waiting).name)

        self.run_async(check())
