"""The filters that admit a request to an endpoint and retry it at another."""

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
        """Run one request through both filters.

        `answers` are the functions that give the outcomes of its attempts in turn.
        Returns the request's outcome and the names of the endpoints it was sent to.
        """
        host, host_endpoints, _ = fleet.hosts["host0"]
        tried = []
        exchange = fleet.exchange(**fields)

        async def dispatch(current, proceed):
            tried.append(current.endpoint.name)
            return answers.pop(0)(current)

        run = exchanges.chain(
            [
                limit.make(host=host, endpoints=host_endpoints),
                choose.make(endpoints=host_endpoints),
                dispatch,
            ]
        )
        outcome = self.run_async(run(exchange))
        self.assertEqual(0, host_endpoints.admissions["llm"].in_flight)
        return outcome, tried

    def refused(self, code, *, dispatched=False):
        def answer(exchange):
            exchange.dispatched = dispatched
            return outcomes.refuse(503, code, "", step="dispatch", retry_after=1)

        return answer

    def answered(self, exchange):
        return outcomes.Answered(status=200, tokens=1, endpoint="")

    def test_unreachable_endpoint_is_passed_over(self):
        answers = [self.refused(choose.UNREACHABLE), self.answered]
        outcome, tried = self.run_chain(endpoint_fleet.Fleet(), answers)
        self.assertIsInstance(outcome, outcomes.Answered)
        self.assertEqual(2, len(set(tried)))

    def test_non_idempotent_call_does_not_move_once_sent(self):
        fleet = endpoint_fleet.Fleet()
        new_exchange = fleet.exchange

        def non_idempotent(**fields):
            exchange = new_exchange(**fields)
            exchange.idempotent = False
            return exchange

        fleet.exchange = non_idempotent
        answers = [self.refused(choose.BUSY, dispatched=True), self.answered]
        outcome, tried = self.run_chain(fleet, answers)
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertEqual(1, len(tried))

    def test_retries_stay_within_the_budget(self):
        fleet = endpoint_fleet.Fleet()
        attempts = 0
        for _ in range(200):
            answers = [self.refused(choose.BUSY) for _ in range(3)]
            outcome, tried = self.run_chain(fleet, answers)
            self.assertIsInstance(outcome, outcomes.NotRun)
            self.assertGreaterEqual(outcome.retry_after, 0.5)
            attempts += len(tried)
        self.assertLessEqual(attempts - 200, 1 + 20)

    def test_endpoint_that_says_it_leaves_gets_nothing_more(self):
        fleet = endpoint_fleet.Fleet()
        answers = [self.refused(choose.LEAVING), self.answered]
        _, tried = self.run_chain(fleet, answers)
        self.assertNotIn(tried[0], self.run_async(fleet.targets(draws=50)))

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
        async def scenario():
            fleet = endpoint_fleet.Fleet(names=("one",))
            _, host_endpoints, _ = fleet.hosts["host0"]
            running = [fleet.exchange() for _ in range(8)]
            for exchange in running:
                await host_endpoints.admit(exchange)
            leaving, staying = fleet.exchange(), fleet.exchange()
            waiting = [
                asyncio.create_task(host_endpoints.admit(e)) for e in (leaving, staying)
            ]
            await asyncio.sleep(0)
            self.assertEqual(2, host_endpoints.admissions["llm"].queued)
            leaving.caller_disconnected.set()
            self.assertIsNone(await waiting[0])
            host_endpoints.finish(running[0])
            self.assertEqual("one", (await waiting[1]).name)
            fleet.time += 2.0
            late = asyncio.create_task(host_endpoints.admit(fleet.exchange()))
            await asyncio.sleep(0)
            fleet.time += 2.0
            host_endpoints.tick()
            self.assertIsInstance(await late, admission.Shed)

        self.run_async(scenario())

    def test_tick_between_admission_and_dispatch(self):
        """A waiting request keeps its endpoint if a tick runs before it wakes up."""

        async def scenario():
            fleet = endpoint_fleet.Fleet(names=("one",))
            _, host_endpoints, _ = fleet.hosts["host0"]
            running = [fleet.exchange() for _ in range(8)]
            for exchange in running:
                await host_endpoints.admit(exchange)
            waiting = asyncio.create_task(host_endpoints.admit(fleet.exchange()))
            await asyncio.sleep(0)
            host_endpoints.finish(running[0])
            host_endpoints.tick()
            self.assertEqual("one", (await waiting).name)

        self.run_async(scenario())
