"""Faults of a release note are reported together, and a faulty note changes nothing."""

import pathlib

from dogwoodchute import catalog
from dogwoodchute.controllers import release_submit
from dogwoodchute.coordination import notes, releases
from dogwoodchute.tests import release_support, support

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
KEY = catalog.hash_key("growers")
START = f"""
[note]
base = 0
[added service llm]
kind = chat
availability = 99.5%
first_token = 95% within 1.2 s
[added endpoint llm-1]
service = llm
address = 10.0.0.1:8000
region = dar
data_centre = dar-a
[added account growers]
keys = {KEY}
services = llm
budget = 100
"""


def build(text, current=catalog.EMPTY):
    """Return the configuration after a note, or its faults as strings."""
    note = notes.parse(text)
    if isinstance(note, notes.Faults):
        return [str(fault) for fault in note.faults]
    view = release_submit.note_view(current)
    delta = releases.build(view, note, current.revision + 1)
    if isinstance(delta, notes.Faults):
        return [str(fault) for fault in delta.faults]
    return catalog.apply_changes(
        catalog.indexed(current),
        revision=delta.revision,
        digest="",
        puts=delta.puts,
        removes=delta.removes,
    )


class NoteTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.start = build(START)

    def faults(self, *sections):
        found = build(release_support.note(1, *sections), self.start)
        self.assertIsInstance(found, list)
        return found

    def test_a_note_builds_the_state(self):
        self.assertEqual("llm", self.start.endpoints["llm-1"].service)
        self.assertEqual(0.95, self.start.services["llm"].first_token_share)
        self.assertEqual(1.2, self.start.services["llm"].first_token_seconds)
        self.assertEqual({KEY: "growers"}, self.start.index.accounts_by_key)

    def test_all_faults_of_the_form_come_at_once(self):
        found = build(
            "[note]\nbase = x\nbsae = 1\n[addd account a]\n[added account b!]\n"
            "[withdrawn account c]\n[added account c]\nkeys = 1\nkeys = 2\n"
            "[withdrawn account c]\n"
        )
        for line in (
            "[note] base = 'x': Input should be a valid integer, unable to parse "
            "string as an integer",
            "[note] bsae = '1': unknown key; did you mean 'base'?",
            "[addd account a]: unknown section; did you mean '[added account a]'?",
            "[added account b!]: a name has 1 to 63 letters, digits, dots, dashes, "
            "underscores",
            "[added account c] keys: the key stands twice",
            "[withdrawn account c]: the section stands twice",
            "[added account c]: is named in another section too",
        ):
            self.assertIn(line, found)

    def test_all_faults_of_the_content_come_at_once(self):
        other = catalog.hash_key("other")
        found = self.faults(
            f"[added account growers]\nkeys = {other}",
            f"[added account buyers]\nkeys = {KEY} nothex\nservices = llm nosuch",
            "[changed endpoint nosuch]\nadress = 1",
            "[added endpoint e]\nservice = gone\naddress = host:1\nregion = dar",
            "[withdrawn service llm]\nkind = chat",
            "[changed service llm2]\nfirst_token = fast\nbetwen_tokens = 95%",
        )
        for line in (
            "[added account growers]: exists already; use 'changed'",
            "[added account buyers] keys = 'nothex': String should match pattern "
            "'^[0-9a-f]{64}$'",
            "[changed endpoint nosuch]: no such endpoint",
            "[changed endpoint nosuch] adress = '1': unknown key; did you mean "
            "'address'?",
            "[added endpoint e] data_centre: required, but absent",
            "[withdrawn service llm] kind = 'chat': a withdrawn section has no keys",
            "[withdrawn service llm]: 1 endpoints still serve it (llm-1); withdraw "
            "them",
            "[changed service llm2] first_token = 'fast': write as '95% within 1.2 s'",
            "[changed service llm2] betwen_tokens = '95%': unknown key; did you mean "
            "'between_tokens'?",
        ):
            self.assertIn(line, found)
        self.assertTrue(any("address = 'host:1'" in line for line in found))

    def test_references_must_hold(self):
        found = self.faults(
            f"[added account buyers]\nkeys = {KEY}\nservices = nosuch",
            "[changed account growers]\nbudget = 5",
            "[changed endpoint llm-1]\nservice = nosuch",
        )
        self.assertEqual(
            [
                "[changed account growers] budget = '5': only set when the account is "
                "added; use a top-up",
                "[added account buyers] services = 'nosuch': no such service",
                "[changed endpoint llm-1] service = 'nosuch': no such service",
                "[changed account growers] keys = "
                f"'{KEY[:8]}…': the key belongs to account 'buyers' too",
            ],
            found,
        )

    def test_a_change_gives_only_its_keys_and_rotates_bearer_keys(self):
        new = catalog.hash_key("new")
        changed = f"[changed account growers]\nkeys = {KEY} {new}"
        both = build(release_support.note(1, changed), self.start)
        self.assertEqual(("llm",), both.accounts["growers"].services)
        one = f"[changed account growers]\nkeys = {new}"
        after = build(release_support.note(2, one), both)
        self.assertEqual({new: "growers"}, after.index.accounts_by_key)

    def test_a_key_may_move_between_accounts_in_one_note(self):
        moved = build(
            release_support.note(
                1,
                "[withdrawn account growers]",
                f"[added account buyers]\nkeys = {KEY}",
            ),
            self.start,
        )
        self.assertEqual({KEY: "buyers"}, moved.index.accounts_by_key)

    def test_a_service_goes_with_its_endpoints(self):
        gone = build(
            release_support.note(
                1, "[withdrawn service llm]", "[withdrawn endpoint llm-1]"
            ),
            self.start,
        )
        self.assertEqual({}, gone.services)
        self.assertEqual([], catalog.endpoints_of(gone, "llm"))

    def test_the_example_notes_are_valid(self):
        for name, endpoints in (("kivuli", 12), ("hinokuni", 12)):
            text = (EXAMPLES / name / "first-note.ini").read_text(encoding="utf-8")
            state = build(text)
            self.assertIsInstance(state, catalog.Catalog, state)
            self.assertEqual(10, len(state.accounts))
            self.assertEqual(endpoints, len(state.endpoints))
