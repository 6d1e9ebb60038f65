"""What is billed for streams that an endpoint closed early."""

from dogwoodchute.gateway.accounts import account_rows
from dogwoodchute.tests import raw_endpoint, support, test_faulty_answers

TOKENS = {"X_Dogwoodchute_Token_Count": "1000,40"}


class UnansweredTest(support.TestCase):
    def billed(self, data, *, before=False):
        """Return the tokens spent when an engine writes `data` and closes.

        With `before` the engine has already begun a later request by then.
        """

        async def scenario():
            async with test_faulty_answers.running(
                lambda head, number: (data(head), True), service="engines"
            ) as (site, _):
                if before:
                    endpoints = site.host_process.gateway._endpoints
                    self.patch(endpoints, "was_overtaken", lambda send: True)
                status, _, _ = await site.ask("/o/stream", **TOKENS)
                self.assertEqual(502, status)
                part = account_rows.part_of("ann")

                def row():
                    found = site.store.read("holdings", part, None, None).rows
                    held = found and account_rows.decode_holding(found[0].value)
                    return held if held and not held.reserved else None

                await support.until(row)
                return row().spent

        return self.run_async(scenario())

    def test_a_stream_of_which_no_byte_came_had_not_begun(self):
        """Crashes of engines used up budgets with requests that were still queued."""
        self.assertEqual(0, self.billed(lambda head: b""))

    def test_it_had_begun_if_a_later_one_had(self):
        self.assertEqual(1000, self.billed(lambda head: b"", before=True))

    def test_it_had_begun_if_any_byte_came(self):
        self.assertEqual(1000, self.billed(lambda head: b"HTTP/1.1 2"))
        self.assertEqual(1000, self.billed(lambda head: b"garbage\r\n\r\n"))
        self.assertEqual(
            1000, self.billed(lambda head: raw_endpoint.answer(head, body=b"")[:40])
        )
