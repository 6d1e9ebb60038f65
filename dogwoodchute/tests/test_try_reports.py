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


class EndTest(support.TestCase):
    """What the line of a request tells of how its endpoint's answer ended."""

    def ending(self, answer, *, closes):
        lines = self.collect_lines("request")

        async def scenario():
            def script(head, number):
                return answer(head), closes

            running = test_faulty_answers.running(script, service="engines")
            async with running as (site, _):
                await test_faulty_answers.read(site)
                await support.until(lambda: lines)

        self.run_async(scenario())
        return lines[0]["framing"], lines[0]["end"]

    def test_chunks_on_a_connection_that_stays_open(self):
        def answer(head):
            chunks = test_faulty_answers.chunked(test_faulty_answers.event(1))
            return head_of_stream(head) + chunks + test_faulty_answers.LAST_CHUNK

        self.assertEqual(("chunks", None), self.ending(answer, closes=False))

    def test_no_framing_and_the_endpoint_s_close(self):
        def answer(head):
            headers = test_faulty_answers.UNFRAMED_STREAM
            start = raw_endpoint.answer(head, headers=headers, framed=False)
            return start + test_faulty_answers.event(1)

        self.assertEqual(("none", "closed"), self.ending(answer, closes=True))
