"""What the log says of sends that failed."""

from dogwoodchute.tests import gateway_site, raw_endpoint, support, test_faulty_answers

PROMPT = {
    "X_Dogwoodchute_Token_Count": "30,8",
    "X_Dogwoodchute_Prompt_Prefix": "a1:10,b2:10,own:10",
}


def head_of_stream(head):
    return raw_endpoint.answer(head, headers=test_faulty_answers.STREAM, framed=False)


class ProgressTest(support.TestCase):
    def failed_try(self, answer):
        """Return the fields of the line that is logged after an answer is cut off."""
        lines = self.collect_lines("try_failed")

        async def scenario():
            def script(head, number):
                return answer(head), True

            running = test_faulty_answers.running(script, service="engines")
            async with running as (site, _):
                try:
                    await site.ask("/o/stream", **PROMPT)
                except gateway_site.BROKEN:
                    return

        self.run_async(scenario())
        (line,) = lines
        return line

    def test_no_byte(self):
        self.assertEqual("silent", self.failed_try(lambda head: b"")["progress"])

    def test_a_part_of_the_head(self):
        line = self.failed_try(lambda head: head_of_stream(head)[:12])
        self.assertEqual("begun", line["progress"])

    def test_the_head_and_no_event(self):
        line = self.failed_try(head_of_stream)
        self.assertEqual(("begun", None), (line["progress"], line["events"]))

    def test_two_events(self):
        events = test_faulty_answers.event(1), test_faulty_answers.event(2)

        def answer(head):
            return head_of_stream(head) + test_faulty_answers.chunked(*events)

        line = self.failed_try(answer)
        self.assertEqual(("events", 2), (line["progress"], line["events"]))

    def test_the_parts_are_named_but_for_the_request_s_own(self):
        self.assertEqual("a1,b2", self.failed_try(head_of_stream)["parts"])
