"""Which version began a stream: the rules, and hosts with old copies of the note.

The seed of the search is a digest of the source of the machine's class, without its
comments, so any other change of the class draws other examples.
"""

import itertools
import typing
from unittest import mock

import hypothesis
from hypothesis import stateful, strategies as st

from dogwoodchute.coordination import stream_versions
from dogwoodchute.tests import support

VERSIONS = ("v1", "v2", "v3")
HOSTS = ("a", "b", "c")
START = 1000.0  # seconds of the store's clock
SETTLE = stream_versions.SETTLE
Note = stream_versions.Note
V1 = frozenset({"v1"})
V2 = frozenset({"v2"})
BOTH = V1 | V2
hosts = st.sampled_from(HOSTS)
versions = st.sampled_from(VERSIONS)
pauses = st.sampled_from((0.5, 12.0, 29.0, 59.0))  # seconds
views = st.frozensets(versions, min_size=1)
CALM = Note("v1", False, "v1", 0.0)
MIXED = Note("v1", True, None)
TURNING = Note("v1", True, "v2", START)


class AdvanceTest(support.TestCase):
    def advance(self, note, seen, now=START):
        return stream_versions.advance(note, seen, now)

    def test_a_first_note_is_calm_only_with_a_single_version(self):
        self.assertEqual(Note("v1", False, "v1", START), self.advance(None, V1))
        self.assertEqual(stream_versions.UNKNOWN, self.advance(None, BOTH))
        self.assertIsNone(self.advance(None, frozenset()))

    def test_a_calm_service_writes_nothing(self):
        self.assertIsNone(self.advance(CALM, V1))
        self.assertIsNone(self.advance(CALM, frozenset()))

    def test_a_second_version_makes_a_service_mixed(self):
        self.assertEqual(MIXED, self.advance(CALM, BOTH))
        self.assertEqual(TURNING, self.advance(CALM, V2))

    def test_a_mixed_service_notes_when_a_version_is_the_only_one(self):
        self.assertEqual(TURNING, self.advance(MIXED, V2))
        self.assertEqual(Note("v1", True, "v1", START), self.advance(MIXED, V1))
        self.assertIsNone(self.advance(MIXED, BOTH))
        self.assertIsNone(self.advance(MIXED, frozenset()))

    def test_a_version_that_comes_back_begins_the_time_anew(self):
        self.assertEqual(MIXED, self.advance(TURNING, BOTH, START + 5))
        rolled_back = Note("v1", True, "v1", START + 5)
        self.assertEqual(rolled_back, self.advance(TURNING, V1, START + 5))

    def test_the_base_changes_once_no_stream_of_the_old_one_can_last(self):
        self.assertIsNone(self.advance(TURNING, V2, START + SETTLE - 0.1))
        calm = Note("v2", False, "v2", START + SETTLE)
        self.assertEqual(calm, self.advance(TURNING, V2, START + SETTLE))

    def test_only_what_leads_towards_calm_may_wait(self):
        relaxed = stream_versions.is_relaxed
        self.assertTrue(relaxed(MIXED, TURNING))
        self.assertTrue(relaxed(TURNING, Note("v2", False, "v2", START)))
        self.assertFalse(relaxed(CALM, TURNING))
        self.assertFalse(relaxed(TURNING, MIXED))
        self.assertFalse(relaxed(None, CALM))

    def test_time_before_the_clock_went_back_does_not_count(self):
        """A restored store has an older clock; a host's reading is a bit behind."""
        went_back = self.advance(TURNING, V2, START - 500)
        self.assertEqual(TURNING._replace(sole_since=START - 500), went_back)
        self.assertIsNone(self.advance(TURNING, V2, START - 1))


class StreamTest(support.TestCase):
    def test_only_streams_at_a_steady_base_go_without_a_record(self):
        for note, free in (
            (None, ()),
            (stream_versions.UNKNOWN, ()),
            (CALM, ("v1",)),
            (MIXED, ("v1",)),
            (TURNING, ()),
        ):
            needed = [v for v in VERSIONS if stream_versions.needs_record(note, v)]
            self.assertEqual([v for v in VERSIONS if v not in free], needed)

    def test_a_record_says_more_than_the_base(self):
        self.assertEqual("v2", stream_versions.begun_at(CALM, "v2", START))
        self.assertEqual("v1", stream_versions.begun_at(CALM, None, START))
        self.assertEqual("v1", stream_versions.begun_at(MIXED, None, START))
        self.assertIsNone(stream_versions.begun_at(None, None, START))

    def test_a_base_that_may_have_changed_since_the_copy_is_unknown(self):
        before, after = START + SETTLE - 0.1, START + SETTLE
        self.assertEqual("v1", stream_versions.begun_at(TURNING, None, before))
        self.assertIsNone(stream_versions.begun_at(TURNING, None, after))


class Copy(typing.NamedTuple):
    """A host's copy of the note, and when it was current."""

    note: Note | None
    read_at: float


class Stream(typing.NamedTuple):
    """A stream whose first event went out at `begun_at`."""

    version: str
    begun_at: float
    is_recorded: bool


class LateCommit(typing.NamedTuple):
    """A commit without an answer, which takes effect if the row stays as it was."""

    note: Note
    version: int
    until: float


class StreamMachine(stateful.RuleBasedStateMachine):
    """Hosts with old copies of the note, of which each may know any endpoints.

    After each step, streams begin wherever they may, and all are taken up everywhere.
    """

    def __init__(self):
        super().__init__()
        self.now = START
        self.is_store_up = True
        self.note: Note | None = None
        self.version = 0  # of the note
        self.copies: dict[str, Copy] = {}
        self.late: LateCommit | None = None
        self.streams: list[Stream] = []

    def commit(self, note):
        self.note = note
        self.version += 1

    def usable_notes(self):
        for host, copy in self.copies.items():
            if self.now - copy.read_at < stream_versions.MAX_LAG:
                yield host, copy.note

    @stateful.initialize(seen=views)
    def write_first_note(self, seen):
        self.propose("a", seen)
        for host in HOSTS:
            self.read_note(host)

    @stateful.rule(seconds=pauses)
    def wait(self, seconds):
        self.now += seconds
        if self.late is not None and self.now > self.late.until:
            self.late = None

    @stateful.rule(host=hosts)
    def read_note(self, host):
        if self.is_store_up:
            self.copies[host] = Copy(self.note, self.now)

    @stateful.rule(host=hosts, seen=views)
    def propose(self, host, seen):
        if not self.is_store_up:
            return
        following = stream_versions.advance(self.note, seen, self.now)
        if following is not None:
            self.commit(following)
        self.read_note(host)

    @stateful.rule(
        version=versions,
        has_answer=st.booleans(),
        readers=st.lists(st.frozensets(hosts), min_size=4, max_size=4),
        pauses=st.lists(pauses, min_size=4, max_size=4),
    )
    def turn(self, version, has_answer, readers, pauses):
        """One host sees a single version for as long as a change of base may take."""
        seen = frozenset({version})
        if has_answer:
            self.propose("a", seen)
        else:
            self.propose_without_an_answer(seen)
            self.wait(9.0)
        for reading, pause in zip(readers, pauses, strict=True):
            for host in sorted(reading):
                self.read_note(host)
            if self.late is not None:
                self.land_late()
            self.begin()
            self.wait(pause)
            self.begin()
            self.propose("a", seen)
            self.begin()
            self.take_up()

    @stateful.rule(seen=views)
    def propose_without_an_answer(self, seen):
        following = stream_versions.advance(self.note, seen, self.now)
        if following is not None:
            until = self.now + stream_versions.LATE_COMMIT
            self.late = LateCommit(following, self.version, until)

    @stateful.precondition(lambda self: self.late is not None)
    @stateful.rule()
    def land_late(self):
        late, self.late = self.late, None
        if late.version == self.version:
            self.commit(late.note)

    @stateful.rule()
    def lose_or_regain_store(self):
        self.is_store_up = not self.is_store_up

    @stateful.rule(lost=st.frozensets(hosts, min_size=1))
    def kill(self, lost):
        for host in lost:
            self.copies.pop(host, None)

    @stateful.invariant()
    def begin(self):
        for (_, note), version in itertools.product(self.usable_notes(), VERSIONS):
            is_recorded = stream_versions.needs_record(note, version)
            if not is_recorded or self.is_store_up:
                self.streams.append(Stream(version, self.now, is_recorded))

    @stateful.invariant()
    def take_up(self):
        if not self.is_store_up:
            return
        self.streams = list(
            dict.fromkeys(
                stream
                for stream in self.streams
                if self.now - stream.begun_at <= stream_versions.LIFETIME
            )
        )
        for (host, note), stream in itertools.product(
            self.usable_notes(), self.streams
        ):
            record = stream.version if stream.is_recorded else None
            version = stream_versions.begun_at(note, record, self.now)
            assert version in (None, stream.version), (host, stream, note, self.now)


EXAMPLES = 400
MUTANT_EXAMPLES = 1000  # at most, until a mutant is caught
STEPS = 20


class StreamMachineTest(support.TestCase):
    def test_no_stream_is_taken_up_at_a_version_that_did_not_begin_it(self):
        stateful.run_state_machine_as_test(
            StreamMachine, settings=support.fuzz_settings(EXAMPLES, STEPS)
        )

    def assert_caught(self, name, replacement):
        settings = hypothesis.settings(
            support.fuzz_settings(MUTANT_EXAMPLES, STEPS),
            phases=[hypothesis.Phase.generate],
            report_multiple_bugs=False,
        )
        with mock.patch.object(stream_versions, name, replacement):
            self.assertRaises(
                AssertionError,
                stateful.run_state_machine_as_test,
                StreamMachine,
                settings=settings,
            )

    def test_machine_catches_a_base_that_changes_after_one_lifetime(self):
        self.assert_caught("SETTLE", stream_versions.LIFETIME)

    def test_machine_catches_a_base_that_changes_without_regard_to_old_copies(self):
        late = stream_versions.LIFETIME + stream_versions.LATE_COMMIT
        self.assert_caught("SETTLE", late)

    def test_machine_catches_a_base_that_changes_without_regard_to_late_commits(self):
        late = stream_versions.LIFETIME + stream_versions.MAX_LAG
        self.assert_caught("SETTLE", late)

    def test_machine_catches_unrecorded_streams_at_a_base_about_to_change(self):
        def needs_record(note, version):
            return note is None or note.base != version

        self.assert_caught("needs_record", needs_record)

    def test_machine_catches_take_ups_by_a_base_that_has_changed(self):
        def begun_at(note, record, now):
            return record or (note.base if note is not None else None)

        self.assert_caught("begun_at", begun_at)

    def test_machine_catches_a_base_that_changes_at_once(self):
        real = stream_versions.advance

        def advance(note, seen, now):
            following = real(note, seen, now)
            if following is not None and following.mixed:
                return following._replace(base=following.sole or following.base)
            return following

        self.assert_caught("advance", advance)

    def test_machine_catches_copies_that_are_used_for_longer(self):
        self.assert_caught("MAX_LAG", 1.5 * stream_versions.MAX_LAG)
