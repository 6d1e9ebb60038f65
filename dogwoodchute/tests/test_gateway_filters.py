"""Filters of the gateway's chain, with the time passed in."""

import asyncio
from unittest import mock

from dogwoodchute import log, outcomes
from dogwoodchute.gateway import filters, model, observe
from dogwoodchute.tests import gateway_calls, support

ROUTE = model.Route(
    "r", "h", "/", model.IDEMPOTENT, 30.0, 0.5, 0, (("s", 1),), 1, True, False
)
ANSWERED = outcomes.Answered(status=200, tokens=0, endpoint="e1")


EARLY = filters.Closing(closes_at=7.0, takes_repeatable=True)
LATE = filters.Closing(closes_at=7.0, takes_repeatable=False)
REPEATABLE = [(model.IDEMPOTENT, False), (model.STREAM, True)]
ONCE_ONLY = [(model.NON_IDEMPOTENT, False), (model.STREAM, False)]


class FinishTest(support.TestCase):
    def end(self, *, deadline, closing, kind, resumable):
        """Return the outcome of a request with this deadline."""
        call = gateway_calls.call(received=0.0)
        call.deadline = deadline
        call.route = ROUTE._replace(kind=kind, resumable=resumable)

        async def proceed():
            return ANSWERED

        run = filters.check_closing(closing=lambda: closing)
        return asyncio.run(run(call, proceed))

    def check(self, kinds, deadline, closing, *, is_taken):
        for kind, resumable in kinds:
            outcome = self.end(
                deadline=deadline, closing=closing, kind=kind, resumable=resumable
            )
            if is_taken:
                self.assertIs(ANSWERED, outcome, (kind, resumable))
                continue
            self.assertIsInstance(outcome, outcomes.NotRun, (kind, resumable))
            self.assertEqual(503, outcome.status)
            self.assertLess(outcome.retry_after, 0.1)

    def test_all_is_taken_while_the_host_does_not_stop(self):
        self.check(REPEATABLE + ONCE_ONLY, 99.0, None, is_taken=True)

    def test_a_stopping_host_takes_only_what_ends_in_time(self):
        """Guards against streams that are accepted late in a stop and then cut."""
        self.check(REPEATABLE + ONCE_ONLY, 6.7, LATE, is_taken=True)
        self.check(REPEATABLE + ONCE_ONLY, 17.6, LATE, is_taken=False)

    def test_what_ends_when_connections_are_closed_is_not_taken(self):
        """An answer that comes at its deadline takes a moment to be written."""
        self.check(REPEATABLE + ONCE_ONLY, 7.0, LATE, is_taken=False)

    def test_what_may_run_once_only_and_could_be_cut_is_never_taken(self):
        self.check(ONCE_ONLY, 7.5, EARLY, is_taken=False)
        self.check(ONCE_ONLY, 6.7, EARLY, is_taken=True)
        self.check(REPEATABLE, 17.6, EARLY, is_taken=True)


class ObserveTest(support.TestCase):
    def age(self, read_at):
        """Return the logged age of the configuration for a request that ends at 9 s."""
        call = gateway_calls.call(received=8.0)

        async def proceed():
            return ANSWERED

        run = observe.observe(now=lambda: 9.0, config_read_at=lambda: read_at)
        with mock.patch.object(log, "info") as info:
            asyncio.run(run(call, proceed))
        return info.call_args.kwargs["config_age"]

    def test_the_line_tells_when_the_configuration_was_last_looked_at(self):
        self.assertEqual("1.500", self.age(7.5))
        self.assertIsNone(self.age(None))
