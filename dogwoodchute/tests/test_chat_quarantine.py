"""Chats that crash endpoints, through the filters of the own interface."""

from dogwoodchute import exchange as exchanges, outcomes
from dogwoodchute.coordination import quarantine as blame
from dogwoodchute.filters import choose, limit, quarantine
from dogwoodchute.standins import engine
from dogwoodchute.tests import endpoint_fleet, endpoints, support

DEADLY = "deadly"
NAMES = tuple(f"e{number}" for number in range(12))


def chat(text):
    return {"messages": [{"role": "user", "content": text}]}


class ChatQuarantineTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = endpoint_fleet.Fleet(names=NAMES)
        self.host, self.endpoints, _ = self.fleet.hosts["host0"]
        self.ended = set()  # addresses of endpoints
        self.sends = 0
        self.answer_begins = True
        self.now = 100.0
        self.check = quarantine.make(has_ended=self.has_ended, now=lambda: self.now)

    async def has_ended(self, address):
        return address in self.ended

    async def dispatch(self, exchange, proceed):
        """Answer a request, but for one that names `DEADLY`, which ends its endpoint.

        The endpoint is back at once.
        """
        self.sends += 1
        self.now += 1.0
        if DEADLY not in str(exchange.body):
            return outcomes.Answered(status=200, tokens=1, endpoint="")
        exchange.answer_began = self.answer_begins
        self.ended.add(exchange.endpoint.address)
        exchange.earlier_unknown = outcomes.Unknown(
            status=502, code=choose.FAILED, message="", step="dispatch", may_rerun=True
        )
        return exchange.earlier_unknown

    def ask(self, text):
        exchange = self.fleet.exchange()
        exchange.body = chat(text)
        run = exchanges.chain(
            [
                limit.make(host=self.host, endpoints=self.endpoints),
                choose.make(endpoints=self.endpoints),
                self.check,
                self.dispatch,
            ]
        )
        return self.run_async(run(exchange))

    def test_a_prompt_that_crashes_endpoints_is_refused(self):
        for _ in range(6):
            self.ask(DEADLY + "x" * 100)
        self.assertEqual(blame.CRASHES, self.sends)
        refusal = self.ask(DEADLY + "x" * 100)
        self.assertIsInstance(refusal, outcomes.NotRun)
        self.assertEqual((503, quarantine.CODE), (refusal.status, refusal.code))

    def test_what_may_have_run_is_not_said_not_to_have(self):
        outcome = None
        for _ in range(2):
            outcome = self.ask(DEADLY + "x" * 100)
            self.assertIsInstance(outcome, outcomes.Unknown)

    def test_other_prompts_are_answered(self):
        for number in range(6):
            self.ask(DEADLY + "x" * 100)
            answer = self.ask(f"sound {number}" + "x" * 100)
            self.assertIsInstance(answer, outcomes.Answered)

    def test_a_prompt_with_the_same_beginning_is_answered(self):
        shared = "y" * 256
        for _ in range(4):
            self.ask(shared + DEADLY + "x" * 100)
        self.assertIsInstance(self.ask(shared + "z" * 100), outcomes.Answered)

    def test_a_request_that_waited_at_an_endpoint_is_no_suspect(self):
        self.answer_begins = False
        for _ in range(6):
            self.ask(DEADLY + "x" * 100)
        self.assertGreater(self.sends, blame.CRASHES)


class AnswerBeganTest(support.TestCase):
    def has_begun(self, **faults):
        """Return whether the answer to a chat of a faulty engine has begun."""
        standin = engine.Engine()
        for name, value in faults.items():
            setattr(standin, name, value)

        async def scenario():
            async with endpoints.running(standin) as (forwarder, endpoint):
                exchange = endpoints.chat(endpoint, endpoints.Caller(), stream=False)
                outcome = await forwarder.chat(exchange)
                self.assertEqual(choose.FAILED, outcome.code)
                return exchange.answer_began

        return self.run_async(scenario())

    def test_a_connection_that_ends_without_an_answer(self):
        self.assertFalse(self.has_begun(lose_answers=1))

    def test_an_answer_that_breaks_off_after_its_head(self):
        self.assertTrue(self.has_begun(bad_json_answers=1))
