"""Streams that are resumed at another host."""

import asyncio

import aiohttp
import hypothesis
from hypothesis import strategies as st

from dogwoodchute import clock, exchange as exchanges, outcomes, runtime, sse
from dogwoodchute.coordination import resume, signed_tokens
from dogwoodchute.filters import deduplicate, resume as filters
from dogwoodchute.standins import engine, site, table as standin_table
from dogwoodchute.tests import endpoints, support

FLEET_KEY = "demo-fleet-secret-not-for-use"
TICKET = resume.Ticket("growers", "key-1", "e-1", 500, "f" * 64, 1000)
TOKENS = 40


class TokenTest(support.TestCase):
    def test_a_token_tells_what_was_signed_until_it_expires(self):
        token = resume.sign(TICKET, fleet_key=FLEET_KEY)
        self.assertEqual(TICKET, resume.verify(token, fleet_key=FLEET_KEY, now=999))
        late = resume.verify(token, fleet_key=FLEET_KEY, now=1000)
        self.assertEqual("resume_token_expired", late.code)
        other = resume.verify(token, fleet_key="another-fleet-secret", now=0)
        self.assertEqual("bad_resume_token", other.code)

    def test_a_token_of_a_host_of_before_or_after_is_understood(self):
        fields = list(TICKET)
        for payload in (fields[:6], [*fields, "new"]):
            token = signed_tokens.sign(payload, purpose="resume", fleet_key=FLEET_KEY)
            read = resume.verify(token, fleet_key=FLEET_KEY, now=999)
            self.assertEqual(TICKET, read)

    @support.fuzz_settings(300)
    @hypothesis.given(position=st.integers(0, 400), letter=st.characters(codec="utf-8"))
    def test_no_changed_token_passes(self, position, letter):
        token = resume.sign(TICKET, fleet_key=FLEET_KEY)
        position %= len(token)
        changed = token[:position] + letter + token[position + 1 :]
        result = resume.verify(changed, fleet_key=FLEET_KEY, now=0)
        self.assertTrue(isinstance(result, resume.Invalid) or result == TICKET)

    @support.fuzz_settings(200)
    @hypothesis.given(text=st.text(max_size=80))
    def test_garbage_is_refused(self, text):
        result = resume.verify(text, fleet_key=FLEET_KEY, now=0)
        self.assertIsInstance(result, resume.Invalid)


class CheckTest(support.TestCase):
    def check(
        self,
        change=lambda exchange: None,
        *,
        kept=None,
        last="2",
        endpoint=TICKET.endpoint,
        headers=None,
        ticket=None,
    ):
        """Run a resumed request through the check.

        `kept` is the stored answer, with the `endpoint` and `headers` of its run, and
        `ticket` has fields of the caller's token.
        """
        host = runtime.embedded_state(endpoints.config())
        exchange = endpoints.chat(None, endpoints.Caller())
        ticket = TICKET._replace(
            **(ticket or {}),
            expires=clock.wall() + 60,
            fingerprint=endpoints.chat(None, endpoints.Caller()).fingerprint,
        )
        token = resume.sign(ticket, fleet_key=FLEET_KEY)
        exchange.request.headers.update(
            {"x-resume-token": token, "last-event-id": last}
        )
        change(exchange)

        async def proceed():
            exchange.deferred_body = [kept]
            exchange.reply_headers = headers or {}
            return outcomes.Answered(
                status=200, tokens=0, endpoint=endpoint, replayed=True
            )

        run = filters.make_check(host=host)
        return self.run_async(run(exchange, proceed)), exchange

    def test_a_kept_answer_goes_on_after_the_last_event_seen(self):
        events = [b"id: %d\ndata: {}\n\n" % n for n in range(4)]
        outcome, exchange = self.check(kept=b"".join(events) + sse.DONE)
        self.assertIsInstance(outcome, outcomes.Answered)
        self.assertEqual([events[3] + sse.DONE], exchange.deferred_body)

    def test_a_kept_answer_without_that_event_is_not_sent(self):
        outcome, _ = self.check(kept=b"id: 9\ndata: {}\n\n" + sse.DONE)
        self.assertEqual("stream_lost", outcome.code)

    def test_a_kept_answer_that_a_peer_ran_is_told_by_its_own_token(self):
        kept = b"id: 2\ndata: {}\n\n" + sse.DONE
        for name, expected in (("e-1", True), ("e-2", False)):
            own = resume.sign(TICKET._replace(endpoint=name), fleet_key=FLEET_KEY)
            outcome, _ = self.check(
                kept=kept, endpoint="host-2", headers={"x-resume-token": own}
            )
            self.assertEqual(expected, isinstance(outcome, outcomes.Answered), name)

    def test_a_kept_answer_of_the_same_name_but_another_engine_is_not_sent(self):
        """At another address, or of other software."""
        kept = b"id: 2\ndata: {}\n\n" + sse.DONE
        began = {"address": "a:1", "software": "v1"}
        for name, told in began.items():
            for value, expected in (("", True), (told, True), ("other", False)):
                own = TICKET._replace(**{**began, name: value})
                token = resume.sign(own, fleet_key=FLEET_KEY)
                outcome, _ = self.check(
                    kept=kept, headers={"x-resume-token": token}, ticket=began
                )
                is_sent = isinstance(outcome, outcomes.Answered)
                self.assertEqual(expected, is_sent, (name, value))

    def test_a_kept_end_of_another_engine_closes_no_stream(self):
        outcome, _ = self.check(kept=sse.DONE)
        self.assertIsInstance(outcome, outcomes.Answered)
        outcome, _ = self.check(kept=sse.DONE, endpoint="e-2")
        self.assertEqual("stream_lost", outcome.code)

    def test_a_token_of_another_request_is_refused(self):
        def other_account(exchange):
            exchange.account = exchange.account._replace(name="other")

        def other_body(exchange):
            exchange.request = exchange.request._replace(body=b"{}")

        def other_key(exchange):
            exchange.request_key = "key-2"

        def whole(exchange):
            exchange.stream = False

        for change in (other_account, other_body, other_key, whole):
            outcome, _ = self.check(change)
            self.assertIsInstance(outcome, outcomes.NotRun)
            self.assertEqual("resume_mismatch", outcome.code)


class KeptAnswerTest(support.TestCase):
    """A host that keeps the answer of another run of the request."""

    async def take_up(self, began_at):
        """Run a request at e-1, then take it up as one that began at `began_at`.

        Returns the outcome and what the caller gets.
        """
        caller = endpoints.Caller()
        async with endpoints.running(engine.Engine()) as (forwarder, endpoint):
            host = forwarder._host
            chain = exchanges.chain(
                [
                    filters.make_check(host=host),
                    deduplicate.make(runs=deduplicate.Runs(), bill_lookups=None),
                    lambda exchange, proceed: forwarder.chat(exchange),
                ]
            )
            first = endpoints.chat(endpoint, endpoints.Caller())
            first.request.headers["x-attempt"] = "1"
            await chain(first)
            self.assertEqual("e-1", endpoint.name)
            ticket = TICKET._replace(
                endpoint=began_at,
                fingerprint=first.fingerprint,
                expires=clock.wall() + 60,
            )
            again = endpoints.chat(endpoint, caller)
            token = resume.sign(ticket, fleet_key=FLEET_KEY)
            again.request.headers.update(
                {"x-resume-token": token, "last-event-id": "2"}
            )
            outcome = await chain(again)
            return outcome, caller.data + b"".join(again.deferred_body)

    def test_an_answer_of_another_engine_is_not_joined_to_a_stream(self):
        """Its first part came from e-2, perhaps of other software."""
        outcome, data = self.run_async(self.take_up("e-2"))
        self.assertEqual("stream_lost", getattr(outcome, "code", outcome))
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertNotIn(b"id: 3", data)

    def test_an_answer_of_the_same_engine_goes_on(self):
        outcome, data = self.run_async(self.take_up("e-1"))
        self.assertIsInstance(outcome, outcomes.Answered)
        ids = [sse.event_id(event) for event in sse.events(data)]
        self.assertEqual(["3", "4", "5", "6", "7", None], ids)


class TwoHostsTest(support.TestCase):
    """Two daemons in one event loop that share a table and an engine."""

    def test_a_killed_hosts_stream_goes_on_at_another_with_one_bill(self):
        text, bills, standin = self.run_async(self.kill_and_continue(engine.Engine()))
        events = sse.events(text)
        ids = [sse.event_id(event) for event in events]
        self.assertEqual([str(n) for n in range(TOKENS)] + [None], ids)
        self.assertEqual(b"data: [DONE]", events[-1])
        self.assertEqual([TOKENS + 1], bills)
        self.assertEqual((1, 1), (len(standin.runs), len(standin.resumed)))

    def test_a_stream_that_the_engine_lost_is_unknown_and_bills_what_it_used(self):
        standin = engine.Engine(resumable=False)
        text, bills, _ = self.run_async(self.kill_and_continue(standin))
        self.assertIn(b'"code":"stream_lost"', text.replace(b": ", b":"))
        self.assertIn(b'"outcome":"unknown"', text.replace(b": ", b":"))
        (sequence,) = standin.batch.recent.values()
        self.assertEqual([sequence.usage["total_tokens"]], bills)
        self.assertTrue(bills[0] < TOKENS)

    def test_a_stream_does_not_go_on_at_another_engine_under_the_same_name(self):
        """A release note moved the name, and the engine there goes on with any."""
        other = engine.Engine(software="v2")
        other.resumes_any = True
        text, _, standin = self.run_async(
            self.kill_and_continue(engine.Engine(software="v1"), moved_to=other)
        )
        self.assertNotIn(b"v2", text)
        self.assertIn(b'"code":"stream_lost"', text.replace(b": ", b":"))
        self.assertIn(b'"outcome":"unknown"', text.replace(b": ", b":"))
        self.assertEqual(([], []), (other.runs, other.resumed))

    def test_a_stream_does_not_go_on_at_other_software_at_the_same_address(self):
        """The engine was started again, and goes on with any stream."""
        standin = engine.Engine(software="v1")

        def restart():
            standin.restart(software="v2")
            standin.resumes_any = True

        text, _, _ = self.run_async(self.kill_and_continue(standin, between=restart))
        self.assertNotIn(b"v2", text)
        self.assertIn(b'"code":"stream_lost"', text.replace(b": ", b":"))
        self.assertIn(b'"outcome":"unknown"', text.replace(b": ", b":"))

    def test_a_stream_goes_on_at_the_same_software_that_was_started_again(self):
        standin = engine.Engine(software="v1")

        def restart():
            standin.restart(software="v1")
            standin.resumes_any = True

        text, _, _ = self.run_async(self.kill_and_continue(standin, between=restart))
        ids = [sse.event_id(event) for event in sse.events(text)]
        self.assertEqual([str(n) for n in range(TOKENS)] + [None], ids)

    def test_an_engine_that_was_started_again_has_lost_the_stream(self):
        """This is what engines promise, whatever their software tells of itself."""
        standin = engine.Engine()
        text, _, _ = self.run_async(
            self.kill_and_continue(standin, between=standin.restart)
        )
        self.assertIn(b'"code":"stream_lost"', text.replace(b": ", b":"))
        self.assertIn(b'"outcome":"unknown"', text.replace(b": ", b":"))

    async def kill_and_continue(self, standin, *, moved_to=None, between=lambda: None):
        """Kill the host of a stream and resume it at another.

        With `moved_to` the second host has that engine under the same name. `between`
        is called before the stream is resumed.
        Returns all events that the caller received, the tokens of the bills and the
        engine.
        """
        standin.batch.token_seconds = 0.01
        memory = standin_table.MemoryTable()
        engine_site = site.Site(app=standin.app())
        other_site = site.Site(app=(moved_to or engine.Engine()).app())
        await engine_site.start()
        await other_site.start()
        addresses = {endpoints.CHAT.name: engine_site.address}
        second_address = (other_site if moved_to else engine_site).address
        second_addresses = {endpoints.CHAT.name: second_address}
        second = await endpoints.start_host(memory, second_addresses)
        others = asyncio.all_tasks()
        first = await endpoints.start_host(memory, addresses)
        async with aiohttp.ClientSession() as session:
            first_response, received, headers = await self.begin(session, first)
            await self.kill(first, others)
            first_response.close()
            between()
            headers["Last-Event-ID"] = sse.event_id(sse.events(received)[-1])
            async with endpoints.post_chat(
                session, second, tokens=TOKENS, headers=headers
            ) as response:
                received += await response.read()
        bills = [r.value["tokens"] for k, r in memory.rows.items() if "bill/" in k]
        await second.stop()
        await engine_site.stop()
        await other_site.stop()
        return received, bills, standin

    async def begin(self, session, host):
        """Read a few events; return the reply, the events and headers for a resume."""
        response = await endpoints.post_chat(session, host, tokens=TOKENS, headers={})
        received = b""
        while received.count(b"\n\n") < 3:
            received += await response.content.readany()
        names = ("X-Resume-Token", "Idempotency-Key")
        headers = {name: response.headers[name] for name in names}
        return response, received[: received.rfind(b"\n\n") + 2], headers

    async def kill(self, host, others):
        """Stop a host abruptly, so that none of its code runs any more.

        `others` are the tasks from before the host was started.
        """
        for task in asyncio.all_tasks() - others - {asyncio.current_task()}:
            source = task.get_coro().cr_code.co_filename
            if "aiohttp/web" not in source and "standins" not in source:
                task.cancel()
        await host.forwarder.stop()
        host.callers._server.close()
        for connection in list(host.callers._server.connections):
            connection.transport.abort()
