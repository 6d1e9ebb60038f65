"""Filters of the gateway's chain, with the time passed in."""

import asyncio
from unittest import mock

from dogwoodchute import log, outcomes
from dogwoodchute.gateway import calls, filters, observe
from dogwoodchute.tests import support

REQUEST = calls.Request(
    attempt_id="a1",
    host="site.example",
    method="POST",
    path="/s/stream",
    query="",
    headers=(),
    body=b"",
    key=None,
    wait=None,
    prompt=None,
    last_event_id=None,
)
ANSWERED = outcomes.Answered(status=200, tokens=0, endpoint="e1")


class FinishTest(support.TestCase):
    def end(self, *, deadline, closes_at):
        """Return the outcome of a request with this deadline."""
        call = calls.Call(request=REQUEST, reply=None, received=0.0)
        call.deadline = deadline

        async def proceed():
            return ANSWERED

        run = filters.check_closing(closes_at=lambda: closes_at)
        return asyncio.run(run(call, proceed))

    def test_all_is_taken_while_the_host_does_not_stop(self):
        self.assertIs(ANSWERED, self.end(deadline=99.0, closes_at=None))

    def test_a_stopping_host_takes_only_what_ends_in_time(self):
        """Guards against streams that are accepted late in a stop and then cut."""
        self.assertIs(ANSWERED, self.end(deadline=6.9, closes_at=7.0))
        refused = self.end(deadline=17.6, closes_at=7.0)
        self.assertIsInstance(refused, outcomes.NotRun)
        self.assertEqual(503, refused.status)
        self.assertLess(refused.retry_after, 0.1)


class ObserveTest(support.TestCase):
    def age(self, read_at):
        """Return the logged age of the configuration for a request that ends at 9 s."""
        call = calls.Call(request=REQUEST, reply=None, received=8.0)

        async def proceed():
            return ANSWERED

        run = observe.observe(now=lambda: 9.0, config_read_at=lambda: read_at)
        with mock.patch.object(log, "info") as info:
            asyncio.run(run(call, proceed))
        return info.call_args.kwargs["config_age"]

    def test_the_line_tells_when_the_configuration_was_last_looked_at(self):
        self.assertEqual("1.500", self.age(7.5))
        self.assertIsNone(self.age(None))
