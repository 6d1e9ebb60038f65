"""Witnesses of hosts that use more than their last commit's limit."""

import asyncio
import contextlib
import itertools
import math

import aiohttp
import msgpack

from dogwoodchute import server
from dogwoodchute.coordination import escrow, witnesses
from dogwoodchute.gateway.accounts import account_rows, witness_protocol, witnessing
from dogwoodchute.tests import support

LIMITS = {"body_bytes": 1 << 20, "header_bytes": 16384, "idle_timeout": 30.0}
COMMITTED_AT = 5.0
# Before, at and after the commit, and the same of the end of the window for contacts.
TIMES = [
    COMMITTED_AT + window + shift
    for window in (0.0, witnesses.CONTACT_WINDOW)
    for shift in (-1.0, 0.0, 1.0)
]


def contradictions():
    """Return the sequences after which a witness has both confirmed and denied.

    All sequences of four events at one witness are tried: it has contact with the
    store, is asked to confirm, or is asked to deny. Its answers may arrive late, so
    each one counts for good.
    """
    events = [("deny", None)]
    events += [(kind, time) for kind in ("contact", "confirm") for time in TIMES]
    return [
        sequence
        for sequence in itertools.product(events, repeat=4)
        if is_contradiction(sequence)
    ]


def is_contradiction(sequence):
    memory, contact = witnesses.Memory(), -math.inf
    confirmed = denied = False
    for kind, time in sequence:
        if kind == "contact":
            contact = max(contact, time)
        elif kind == "confirm":
            answer = memory.confirm("h", time, contact=contact)
            confirmed = confirmed or answer.covers(COMMITTED_AT)
        else:
            at = COMMITTED_AT
            denied = denied or memory.denies("h", at, at, contact=contact)
    return confirmed and denied


class ContradictionTest(support.TestCase):
    """A commit that is both confirmed and denied would be paid twice (BUDGET)."""

    def test_no_witness_both_confirms_and_denies_a_commit(self):
        self.assertEqual([], contradictions())

    def test_there_are_never_enough_of_both(self):
        for count in range(20):
            needed = witnesses.needed_confirmations(count)
            self.assertGreater(needed + witnesses.needed_denials(count), count)

    def check_found(self, owner, name, replacement):
        """Check that the search finds a weakening of the rules."""
        self.patch(owner, name, replacement)
        self.assertTrue(contradictions())

    def test_the_search_finds_a_witness_that_forgets_what_it_confirmed(self):
        def denies(memory, holder, first, last, *, contact):
            return contact >= last + witnesses.CONTACT_WINDOW

        self.check_found(witnesses.Memory, "denies", denies)

    def test_the_search_finds_confirmations_that_come_after_a_denial(self):
        def covers(confirmation, committed_at):
            return committed_at <= confirmation.asked

        self.check_found(witnesses.Confirmation, "covers", covers)

    def test_the_search_finds_confirmations_of_later_commits(self):
        def covers(confirmation, committed_at):
            return confirmation.contact < committed_at + witnesses.CONTACT_WINDOW

        self.check_found(witnesses.Confirmation, "covers", covers)


class WitnessTest(support.TestCase):
    def test_without_witnesses_nothing_is_ever_denied(self):
        self.assertEqual(0, witnesses.needed_confirmations(0))
        self.assertGreater(witnesses.needed_denials(0), 0)

    def test_two_of_three_decide(self):
        self.assertEqual(2, witnesses.needed_confirmations(3))
        self.assertEqual(2, witnesses.needed_denials(3))

    def test_witnesses_stay_the_same_while_they_live(self):
        others = [f"edge-{number}" for number in range(60)]
        chosen = witnesses.choose("own", others)
        self.assertEqual(witnesses.COUNT, len(set(chosen)))
        gone = next(name for name in others if name not in chosen)
        kept = [name for name in others if name != gone]
        self.assertEqual(chosen, witnesses.choose("own", kept))

    def test_what_is_forgotten_is_not_denied(self):
        self.patch(witnesses, "MAX_REMEMBERED", 2)
        memory = witnesses.Memory()
        for number in range(4):
            memory.confirm(f"h{number}", 10.0, contact=5.0)
        for holder in ("h0", "h3", "new"):
            self.assertFalse(memory.denies(holder, 9.0, 9.0, contact=100.0), holder)
        self.assertTrue(memory.denies("new", 11.0, 11.0, contact=100.0))

    def test_a_holding_s_row_tells_its_witnesses(self):
        holding = escrow.Holding(granted=5, limit=3, witnesses=("a-1", "b-2"))
        value = account_rows.encode_value(list(holding))
        self.assertEqual(holding, account_rows.decode_holding(value))

    def test_rows_without_witnesses_can_be_read(self):
        value = account_rows.encode_value([5, 1, 3])
        self.assertEqual((), account_rows.decode_holding(value).witnesses)

    def test_odd_witnesses_make_a_row_unreadable(self):
        for odd in ("abc", [1], [""], {"a": 1}, [["a"]], None):
            plain = escrow.Holding()._replace(witnesses=odd)
            for fields in (list(plain), list(plain)[:-1]):
                value = account_rows.encode_value(fields)
                self.assertRaises(ValueError, account_rows.decode_holding, value)

    def test_an_odd_era_makes_a_row_unreadable(self):
        for odd in ("abc", [1], -1, 1.5, True, None):
            value = account_rows.encode_value(list(escrow.Holding()._replace(era=odd)))
            self.assertRaises(ValueError, account_rows.decode_holding, value)


class Witness:
    """Answers as a witness that is away, or in touch."""

    def __init__(self):
        self.away = True
        self.asked = []

    async def confirm(self, holder, asked):
        self.asked.append((holder, asked))
        return witnesses.Confirmation(7.5, asked) if self.away else None

    def denies(self, question):
        self.asked.append(question)
        return not self.away


@contextlib.asynccontextmanager
async def running():
    """Run the routes of the witness "w-1"; yields it, its address and a client."""
    witness = Witness()
    listener = server.Server(name=f"witness-{id(witness)}", **LIMITS)
    witness_protocol.add_routes(listener.app, id="w-1", witness=witness)
    await listener.start("127.0.0.1", 0)
    client = witness_protocol.Client()
    try:
        yield witness, f"127.0.0.1:{listener.port}", client
    finally:
        await client.close()
        await listener.stop()


class ProtocolTest(support.TestCase):
    def test_a_witness_answers_for_its_own_incarnation_only(self):
        async def scenario():
            async with running() as (witness, address, client):
                question = witnessing.Denial("h-1", 1.0, 2.0)
                found = await client.confirm(address, "w-1", "h-1", 3.0)
                self.assertEqual(witnesses.Confirmation(7.5, 3.0), found)
                self.assertFalse(await client.denies(address, "w-1", question))
                witness.away = False
                self.assertIsNone(await client.confirm(address, "w-1", "h-1", 3.0))
                self.assertTrue(await client.denies(address, "w-1", question))
                asked = len(witness.asked)
                self.assertIsNone(await client.confirm(address, "w-2", "h-1", 3.0))
                self.assertFalse(await client.denies(address, "w-2", question))
                self.assertEqual(asked, len(witness.asked))

        self.run_async(scenario())

    def test_a_host_that_does_not_answer_neither_confirms_nor_denies(self):
        async def scenario():
            client = witness_protocol.Client()
            question = witnessing.Denial("h-1", 1.0, 2.0)
            nobody = "127.0.0.1:1"
            self.assertIsNone(await client.confirm(nobody, "w-1", "h-1", 3.0))
            self.assertFalse(await client.denies(nobody, "w-1", question))
            await client.close()

        self.run_async(scenario())

    def test_garbage_is_refused_and_the_witness_lives(self):
        async def scenario():
            async with running() as (_, address, client):
                bodies = [b"", b"\xc1", msgpack.packb(5), msgpack.packb([])]
                for fields in (
                    ["w-1", "h-1", math.nan],
                    ["w-1", "h-1", math.inf],
                    ["w-1", 5, 1.0],
                    ["w-1", "h-1", "x"],
                    ["w-1", "h-1", 1.0, 2.0, 3.0],
                ):
                    bodies.append(msgpack.packb(fields))
                async with aiohttp.ClientSession() as session:
                    for path in (
                        witness_protocol.CONFIRM_PATH,
                        witness_protocol.DENY_PATH,
                    ):
                        for body in bodies:
                            url = f"http://{address}{path}"
                            async with session.post(url, data=body) as answer:
                                self.assertEqual(400, answer.status, body)
                found = await client.confirm(address, "w-1", "h-1", 3.0)
                self.assertIsNotNone(found)

        self.run_async(asyncio.wait_for(scenario(), 20))
