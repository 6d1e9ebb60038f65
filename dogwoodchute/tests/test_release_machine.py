"""Hosts that submit release notes under faults, compared with a replay of the notes.

A note that was accepted must never be reverted. The seed of the search is a digest of
the source of the machine's class, without its comments, so any other change of the
class draws other examples.
"""

import asyncio
import typing
from unittest import mock

import hypothesis
from hypothesis import stateful, strategies as st

from dogwoodchute import catalog, state
from dogwoodchute.controllers import (
    release_store,
    release_submit,
    releases,
)
from dogwoodchute.coordination import releases as decisions, rows
from dogwoodchute.platform import table
from dogwoodchute.tests import release_support, support

HOSTS = ("a", "b", "c", "d")
NAMES = ("growers", "nurseries", "buyers")
CONVERGENCE = 3.0  # seconds until all hosts are up to date, as promised to operators
BUDGET = 100  # tokens

hosts = st.sampled_from(HOSTS)
names = st.sampled_from(NAMES)
actions = st.sampled_from(("added", "changed", "withdrawn"))


class Sent(typing.NamedTuple):
    """A note that was submitted."""

    base: int
    action: str
    name: str
    weight: int
    text: str


def replay(notes: list[Sent]) -> dict[str, int]:
    """Return the weight of each account after the notes."""
    weights: dict[str, int] = {}
    for sent in notes:
        if sent.action == "withdrawn":
            weights.pop(sent.name)
            continue
        weights[sent.name] = sent.weight
    return weights


class ReleaseMachine(stateful.RuleBasedStateMachine):
    """Operators, hosts, store and network doing their worst."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.fleet = release_support.Fleet(seed=1)
        self.sent: dict[str, Sent] = {}
        self.accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.history: dict[int, str] = {}
        self.seen: dict[str, tuple[str, int]] = {}
        self.before: tuple[int, dict] = (0, {})  # as of the last check
        self.drawn: dict[str, int] = {}
        for name in HOSTS:
            self.fleet.start(name)

    def teardown(self):
        self.loop.run_until_complete(self.fleet.settle())
        self.loop.close()

    def run_all(self, *coroutines):
        async def gathered():
            results = await asyncio.gather(*coroutines)
            await self.fleet.settle()
            return results

        return self.loop.run_until_complete(gathered())

    def write(self, action, name, lag):
        base = max(0, max(self.history, default=0) - lag)
        number = len(self.sent) + 1
        fields = {} if action == "withdrawn" else {"weight": number}
        if action == "added":
            fields["budget"] = BUDGET
        section = release_support.account(action, name, **fields)
        note_id = f"n{number}"
        text = release_support.note(base, section, id=note_id)
        self.sent[note_id] = Sent(base, action, name, number, text)
        return note_id

    async def submit(self, host, note_id):
        verdict = await self.fleet.releases[host].submit(self.sent[note_id].text)
        if isinstance(verdict, release_submit.Accepted):
            self.accepted.setdefault(note_id, verdict.revision)
            assert self.accepted[note_id] == verdict.revision
        if isinstance(verdict, release_submit.Refused):
            self.refused.add(note_id)

    @stateful.rule(host=hosts, action=actions, name=names, lag=st.integers(0, 2))
    def submit_one(self, host, action, name, lag):
        self.run_all(self.submit(host, self.write(action, name, lag)))

    @stateful.rule(one=hosts, other=hosts, name=names, second=names, action=actions)
    def race(self, one, other, name, second, action):
        self.fleet.table.delay = 1.0
        notes = [self.write(action, name, 0), self.write(action, second, 0)]
        polls = [self.fleet.releases[one].poll(), self.fleet.releases[other].poll()]
        self.run_all(self.submit(one, notes[0]), self.submit(other, notes[1]), *polls)
        self.fleet.table.delay = 0.0

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(host=hosts, data=st.data())
    def repeat(self, host, data):
        self.run_all(self.submit(host, data.draw(st.sampled_from(sorted(self.sent)))))

    @stateful.rule(host=hosts)
    def poll(self, host):
        self.run_all(self.fleet.releases[host].poll())

    @stateful.rule(seconds=st.sampled_from((0.4, 2.0, 5.0)))
    def wait(self, seconds):
        self.run_all(self.fleet.wait(seconds))

    @stateful.rule(down=st.booleans())
    def store(self, down):
        self.fleet.table.down = down

    @stateful.rule(down=st.booleans())
    def object_store(self, down):
        self.fleet.objects.down = down

    @stateful.rule(host=hosts, cut=st.booleans())
    def store_path(self, host, cut):
        (self.fleet.no_store.add if cut else self.fleet.no_store.discard)(host)

    @stateful.rule(lost=st.integers(0, 2), held=st.integers(0, 2))
    def lose(self, lost, held):
        self.fleet.table.lose_answers = lost
        self.fleet.table.hold_commits = held

    @stateful.rule()
    def deliver(self):
        self.fleet.table.deliver_held()

    @stateful.rule(one=hosts, other=hosts, cut=st.booleans())
    def partition(self, one, other, cut):
        pair = frozenset((one, other))
        (self.fleet.net.cut.add if cut else self.fleet.net.cut.discard)(pair)

    @stateful.rule(calls=st.integers(0, 2), answers=st.integers(0, 2))
    def lose_calls(self, calls, answers):
        self.fleet.net.lose_calls = calls
        self.fleet.net.lose_answers = answers

    @stateful.rule(host=hosts)
    def restart(self, host):
        self.fleet.start(host)

    @stateful.rule(name=names)
    def draw(self, name):
        row = self.fleet.table.rows.get(rows.budget(name))
        if row is None or row.value["drawn"] == row.value["paid"]:
            return
        value = {**row.value, "drawn": row.value["drawn"] + 1}
        checks = [table.Check(row.key, row.version)]
        self.fleet.table.apply("draw", checks, [table.Write(row.key, value)])
        self.drawn[name] = value["drawn"]

    @stateful.rule()
    def converge(self):
        fleet = self.fleet
        fleet.table.down = False
        fleet.no_store.clear()
        fleet.table.hold_commits = 0
        fleet.objects.down = False
        self.run_all(fleet.wait(CONVERGENCE))
        newest = max(self.history, default=0)
        for name, host in fleet.hosts.items():
            assert host.ready, name
            assert host.current.revision == newest, (name, newest)

    @stateful.invariant()
    def check(self):
        self.history_grows_only()
        self.accepted_stay_and_refused_never_come()
        self.one_of_two_conflicting_notes()
        self.hosts_hold_the_replayed_state()
        self.hosts_are_ready_with_cause()
        self.budgets_are_written_once()

    def history_grows_only(self):
        for revision, note_id in self.history.items():
            row = self.fleet.table.rows.get(rows.release(revision))
            assert row is None or row.value["delta"]["note"] == note_id
        newest = max(self.history, default=0)
        while (row := self.fleet.table.rows.get(rows.release(newest + 1))) is not None:
            newest += 1
            self.history[newest] = row.value["delta"]["note"]
        head = self.fleet.table.rows.get(rows.RELEASE_HEAD)
        assert (head.value["revision"] if head is not None else 0) == newest

    def accepted_stay_and_refused_never_come(self):
        positions = {note_id: revision for revision, note_id in self.history.items()}
        assert len(positions) == len(self.history), "a note is in force twice"
        for note_id, revision in self.accepted.items():
            assert positions.get(note_id) == revision, f"{note_id} is lost"
        assert not self.refused & positions.keys()

    def one_of_two_conflicting_notes(self):
        for revision, note_id in self.history.items():
            sent = self.sent[note_id]
            for between in range(sent.base + 1, revision):
                other = self.sent[self.history[between]]
                assert other.name != sent.name, (sent, other)

    def hosts_hold_the_replayed_state(self):
        for name, host in self.fleet.hosts.items():
            revision = host.current.revision
            incarnation, highest = self.seen.get(name, ("", 0))
            if incarnation == host.incarnation:
                assert revision >= highest, f"{name} went back to {revision}"
            self.seen[name] = (host.incarnation, revision)
            notes = [self.sent[self.history[r]] for r in range(1, revision + 1)]
            accounts = host.current.accounts.values()
            assert {a.name: a.weight for a in accounts} == replay(notes)
            indexed = catalog.indexed(host.current)
            assert indexed.index == host.current.index

    def hosts_are_ready_with_cause(self):
        fleet = self.fleet
        newest, ready_before = self.before
        for name, host in fleet.hosts.items():
            if not host.ready or host.incarnation in ready_before:
                continue
            peers = [
                revision
                for other, revision in ready_before.values()
                if other != name and fleet.net.reaches(name, other)
            ]
            known = min(newest, max(peers, default=newest))
            assert host.current.revision >= known, f"{name} serves an old state"
        self.before = (
            max(self.history, default=0),
            {
                host.incarnation: (name, host.current.revision)
                for name, host in fleet.hosts.items()
                if host.ready
            },
        )

    def budgets_are_written_once(self):
        for name in NAMES:
            row = self.fleet.table.rows.get(rows.budget(name))
            if row is not None:
                drawn = self.drawn.get(name, 0)
                assert row.value == {"paid": BUDGET, "drawn": drawn}


def search(phases=tuple(hypothesis.Phase)):
    """Run the machine with limits so small that snapshots are written and read."""
    settings = hypothesis.settings(
        support.fuzz_settings(30, 40), phases=phases, report_multiple_bugs=False
    )
    with (
        mock.patch.object(release_store, "SNAPSHOT_EVERY", 3),
        mock.patch.object(release_store, "KEPT_DELTAS", 4),
        mock.patch.object(release_store, "MAX_DELTAS", 3),
        mock.patch.object(release_submit, "RESOLVE_TRIES", 2),
    ):
        stateful.run_state_machine_as_test(ReleaseMachine, settings=settings)


class ReleaseMachineTest(support.TestCase):
    def test_machine_keeps_every_invariant(self):
        search()

    def assert_caught(self, target, name, mutant):
        expected = AssertionError | KeyError | ExceptionGroup
        with mock.patch.object(target, name, mutant):
            self.assertRaises(expected.__args__, search, (hypothesis.Phase.generate,))

    def test_machine_catches_a_lower_revision(self):
        def adopt(host, newer):
            host._current = catalog.indexed(newer)
            return True

        async def ask(release_controller):
            for peer in release_controller._host.peers.known():
                found = await release_controller._exchange._fetch_whole(peer.host)
                if isinstance(found, catalog.Catalog):
                    release_controller.adopt(found, [])

        with mock.patch.object(releases.Releases, "_ask_peers", ask):
            self.assert_caught(state.HostState, "adopt", adopt)

    def test_machine_catches_a_head_moved_without_its_check(self):
        real_resolve = release_submit.Submitter._resolve

        async def unchecked(submitter, checks, writes):
            kept = [check for check in checks if check.key != rows.RELEASE_HEAD]
            return await real_resolve(submitter, kept, writes)

        self.assert_caught(release_submit.Submitter, "_resolve", unchecked)

    def test_machine_catches_an_ignored_conflict(self):
        self.assert_caught(decisions, "conflicts", lambda note, since: [])

    def test_machine_catches_a_lost_answer_reported_as_a_refusal(self):
        real_submit = release_submit.Submitter.submit

        async def refuse_undecided(submitter, text):
            verdict = await real_submit(submitter, text)
            if isinstance(verdict, release_submit.Undecided):
                return release_submit.Refused(code=verdict.code, faults=[])
            return verdict

        self.assert_caught(release_submit.Submitter, "submit", refuse_undecided)

    def test_machine_catches_a_budget_written_again(self):
        real_budgets = release_submit.Submitter._budgets

        async def write_again(submitter, note, delta):
            checks, writes = await real_budgets(submitter, note, delta)
            for change in note.changes:
                value = {"paid": BUDGET, "drawn": 0}
                writes.append(table.Write(rows.budget(change.name), value))
            return checks, writes

        self.assert_caught(release_submit.Submitter, "_budgets", write_again)

    def test_machine_catches_a_host_that_is_ready_before_it_read(self):
        async def poll(release_controller):
            release_controller._confirm(release_controller._host.now())

        self.assert_caught(releases.Releases, "poll", poll)

    def test_machine_catches_a_missed_convergence(self):
        async def skip_tick(release_controller):
            return None

        self.assert_caught(releases.Releases, "tick", skip_tick)
