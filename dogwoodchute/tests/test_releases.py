"""Verdicts on notes, hosts without the store, and effects of a withdrawal."""

import asyncio
import math
from unittest import mock

import aiohttp

from dogwoodchute import exchange as exchanges, operators_releases, outcomes, state
from dogwoodchute.controllers import (
    order_client,
    release_store,
    release_submit,
    releases,
)
from dogwoodchute.coordination import rows
from dogwoodchute.filters import admit
from dogwoodchute.platform import table
from dogwoodchute.tests import (
    release_support,
    support,
    support_fleet,
    test_drain,
)
from dogwoodchute.tools import demo

account, note = release_support.account, release_support.note
IN_FORCE_SECONDS = 3.0  # until a note is in force everywhere, as promised to operators


class SubmitTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = release_support.Fleet()
        for name in ("a", "b"):
            self.fleet.start(name)

    def submit(self, text, host="a"):
        return self.run_async(self.fleet.releases[host].submit(text))

    def test_the_loser_of_a_race_learns_the_conflicting_lines(self):
        self.submit(note(0, account("added", "growers"), id="start"))
        self.submit(note(1, account("changed", "growers", weight=2), id="first"))
        text = note(1, account("changed", "growers", weight=3), id="second")
        verdict = self.submit(text, host="b")
        self.assertEqual("conflict", verdict.code)
        self.assertEqual(
            [
                "[note] base = '1': head is 2",
                "[changed account growers] weight = '3': changed since base 1 by "
                "revision 2 (note 'first')",
            ],
            verdict.faults,
        )

    def test_a_note_on_other_items_is_accepted_on_the_newer_state(self):
        self.submit(note(0, account("added", "growers")))
        text = note(0, account("added", "buyers"))
        self.assertEqual(2, self.submit(text, host="b").revision)
        strict = note(1, account("changed", "growers", weight=2), rebase="no")
        self.assertEqual("conflict", self.submit(strict).code)

    def test_a_reference_withdrawn_since_the_base_refuses_a_note(self):
        service = "[added service llm]\nkind = chat"
        self.submit(note(0, service))
        self.submit(note(1, "[withdrawn service llm]"))
        text = note(1, account("added", "growers", services="llm"))
        verdict = self.submit(text, host="b")
        self.assertEqual("bad_note", verdict.code)
        self.assertIn("no such service", verdict.faults[0])

    def test_the_same_note_gets_the_same_answer(self):
        text = note(0, account("added", "growers"), id="start")
        first = self.submit(text)
        self.submit(note(1, account("changed", "growers", weight=2)))
        self.assertEqual(first, self.submit(text, host="b"))
        other = note(2, account("added", "buyers"), id="start")
        self.assertEqual("note_id_reused", self.submit(other).code)

    def test_a_lost_answer_is_resolved(self):
        self.fleet.table.lose_answers = 2
        verdict = self.submit(note(0, account("added", "growers")))
        self.assertIsInstance(verdict, release_submit.Accepted)

    def test_without_the_store_nothing_is_refused_for_good(self):
        self.fleet.table.down = True
        verdict = self.submit(note(0, account("added", "growers")))
        self.assertIsInstance(verdict, release_submit.Undecided)
        self.fleet.table.down = False
        verdict = self.submit(note(0, account("added", "growers")))
        self.assertIsInstance(verdict, release_submit.Accepted)

    def test_an_account_that_comes_back_keeps_its_budget(self):
        self.submit(note(0, account("added", "growers", budget=100)))
        key = rows.budget("growers")
        row = self.fleet.table.rows[key]
        spent = [table.Write(key, {"paid": 100, "drawn": 60})]
        self.fleet.table.apply("draw", [table.Check(key, row.version)], spent)
        self.submit(note(1, "[withdrawn account growers]"))
        self.submit(note(2, account("added", "growers", budget=100)))
        found = self.fleet.table.rows[key].value
        self.assertEqual({"paid": 100, "drawn": 60}, found)

    def test_a_base_that_is_older_than_the_history_is_refused(self):
        self.submit(note(0, account("added", "growers")))
        self.fleet.table.rows.pop(rows.release(1))
        verdict = self.submit(note(0, account("added", "buyers")))
        self.assertEqual("base_too_old", verdict.code)


class HostTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = release_support.Fleet()
        for name in ("a", "b"):
            self.fleet.start(name)
        text = note(0, account("added", "growers"))
        self.run_async(self.fleet.releases["a"].submit(text))
        self.run_async(self.fleet.wait(IN_FORCE_SECONDS))

    def test_a_new_host_takes_the_state_of_its_peers_without_the_store(self):
        self.fleet.table.down = True
        self.fleet.start("c")
        self.run_async(self.fleet.wait(releases.START_STORE_TIMEOUT - 1))
        self.assertFalse(self.fleet.hosts["c"].ready)
        self.run_async(self.fleet.wait(IN_FORCE_SECONDS))
        self.assertTrue(self.fleet.hosts["c"].ready)
        self.assertEqual(1, self.fleet.hosts["c"].current.revision)

    def test_a_fleet_that_starts_without_the_store_stays_closed(self):
        self.fleet.table.down = True
        for name in ("a", "b"):
            self.fleet.start(name)
        self.run_async(self.fleet.wait(30.0))
        self.assertFalse(any(host.ready for host in self.fleet.hosts.values()))

    def test_a_store_that_went_back_changes_nothing(self):
        self.fleet.table.rows.pop(rows.RELEASE_HEAD)
        self.run_async(self.fleet.wait(IN_FORCE_SECONDS))
        self.assertEqual(1, self.fleet.hosts["a"].current.revision)
        self.assertIn("revision 0", self.fleet.releases["a"].failure)

    def test_age_grows_only_while_no_host_reaches_the_store(self):
        self.fleet.no_store.add("b")
        self.run_async(self.fleet.wait(20.0))
        self.assertLess(self.fleet.hosts["b"].release_age, 5.0)
        self.fleet.table.down = True
        self.run_async(self.fleet.wait(20.0))
        self.assertGreater(self.fleet.hosts["b"].release_age, 15.0)

    def test_a_damaged_snapshot_is_not_taken(self):
        content = self.run_async(release_store.encode(self.fleet.hosts["a"].current))
        found = self.run_async(release_store.decode(content, "0" * 64))
        self.assertIsInstance(found, release_store.ReadFailure)

    def test_status_names_the_hosts_that_lag_and_why(self):
        self.fleet.start("c")
        self.fleet.net.down.add("b")
        head = release_store.Head(2, "", 1)
        own = {"host": "a", "revision": 2, "why": ""}
        known = self.fleet.hosts["a"].peers.known()
        found = operators_releases.report(own, known, head, False)
        self.assertEqual((3, 1), (found["hosts"], found["in_force"]))
        reasons = {lag["host"]: lag["why"] for lag in found["lagging"]}
        self.assertEqual({"b": "no heartbeats", "c": "starting"}, reasons)


class AdmitTest(support.TestCase):
    def admit(self, *, ready, age, refuse_after):
        fleet = release_support.Fleet()
        fleet.start("a")
        host: state.HostState = fleet.hosts["a"]
        host.ready = ready
        host.release_checked_at = None if age == math.inf else fleet.time - age
        release = host.config.release.model_copy(update={"refuse_after": refuse_after})
        host.config = host.config.model_copy(update={"release": release})
        answered = outcomes.Answered(status=200, tokens=0, endpoint="")

        async def proceed():
            return answered

        exchange = exchanges.Exchange(
            request=None, reply=None, received=0.0, request_key="k"
        )
        outcome = self.run_async(admit.make(host=host)(exchange, proceed))
        return getattr(outcome, "code", "answered")

    def test_hosts_serve_by_their_age_as_set(self):
        for ready, age, refuse_after, expected in (
            (False, math.inf, 0.0, "starting"),
            (True, 9_000.0, 0.0, "answered"),
            (True, 10.0, 60.0, "answered"),
            (True, 61.0, 60.0, "release_stale"),
        ):
            found = self.admit(ready=ready, age=age, refuse_after=refuse_after)
            self.assertEqual(expected, found)


class WithdrawalTest(support.TestCase):
    """Tests with a complete daemon over real sockets."""

    async def operate(self, running, method, path, **options):
        url = f"http://127.0.0.1:{running.daemon.operators.port}{path}"
        headers = {"Authorization": f"Bearer {demo.OPERATOR_KEY}"}
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.request(method, url, **options) as response,
        ):
            return response.status, await response.json()

    def withdraw(self, *sections):
        """Withdraw `sections` while a stream runs.

        Return the answers of the stream and of a new request, and the engine's runs.
        """

        async def scenario():
            async with test_drain.serving() as (running, session):
                stream = asyncio.create_task(test_drain.chat(session))
                await support_fleet.until(lambda: running.engine.runs)
                status, _ = await self.operate(
                    running, "POST", "/ops/v1/releases", data=note(1, *sections)
                )
                self.assertEqual(200, status)
                new = await test_drain.chat(session)
                return await stream, new, len(running.engine.runs)

        return self.run_async(scenario())

    def test_running_requests_end_whole_and_new_ones_do_not_start(self):
        service = "[withdrawn service assistant-llm]"
        endpoint = "[withdrawn endpoint llm-1]"
        for sections, refused in (
            (["[withdrawn account growers]"], 401),
            ([service, endpoint], 404),
            ([endpoint], 503),
        ):
            stream, new, runs = self.withdraw(*sections)
            self.assertTrue(test_drain.is_whole(stream), stream)
            self.assertEqual((refused, 1), (new[0], runs))

    def test_operators_see_revisions_burn_and_orders(self):
        async def scenario():
            async with test_drain.serving(token_seconds=0.0) as (running, session):
                await test_drain.chat(session)
                text = note(1, "[changed service assistant-llm]\navailability = 99%")
                await self.operate(running, "POST", "/ops/v1/releases", data=text)
                found = {}
                for path in ("releases/status", "releases/diff?from=0&to=2", "burn"):
                    status, found[path] = await self.operate(
                        running, "GET", f"/ops/v1/{path}"
                    )
                    self.assertEqual(200, status)
                engines = order_client.http_engines()
                address = running.daemon.host.current.endpoints["llm-1"].address
                order = {"fence": 1, "want": {"models": ["assistant-llm"]}}
                ordered = await engines.order(address, order)
                reported = await engines.report(address)
                await engines.close()
                return found, ordered, reported

        found, ordered, reported = self.run_async(scenario())
        self.assertEqual(2, found["releases/status"]["accepted"])
        self.assertEqual(2, len(found["releases/diff?from=0&to=2"]["deltas"]))
        self.assertNotIn(demo.catalog.hash_key(demo.CLIENT_KEY), str(found))
        (objective,) = found["burn"]["objectives"]
        self.assertEqual((1, 0), (objective["total"], objective["bad"]))
        self.assertEqual(["assistant-llm"], ordered.state["models"])
        self.assertEqual(ordered, reported)

    def test_a_submit_that_hangs_is_reported_as_undecided(self):
        text = note(1, account("added", "buyers"))
        path = "/ops/v1/releases"

        async def scenario():
            async with test_drain.serving() as (running, _):
                running.table.hold_commits = 1_000
                hung = await self.operate(running, "POST", path, data=text)
                running.table.hold_commits = 0
                again = await self.operate(running, "POST", path, data=text)
                return hung, again

        with mock.patch.object(operators_releases, "SUBMIT_TIMEOUT", 0.3):
            hung, again = self.run_async(scenario())
        self.assertEqual((503, "answer_lost"), (hung[0], hung[1]["error"]["code"]))
        self.assertEqual((200, 2), (again[0], again[1]["revision"]))
