"""Frames between hosts, and the handshake that opens a stream."""

import hypothesis
import msgpack
from hypothesis import strategies

from dogwoodchute import peer_handshake, peer_wire
from dogwoodchute.tests import support

DAR = peer_wire.Identity("dar-1", "dar-1-aa", "dar", "dar-a")
ARU = peer_wire.Identity("aru-1", "aru-1-bb", "aru", "aru-a")
KEY = peer_handshake.stream_key("a fleet key of this test")


def sides(*, target="aru-1", dial_key=KEY, dialling_identity=DAR):
    return (
        peer_handshake.DiallingSide(
            key=dial_key, identity=dialling_identity, target=target
        ),
        peer_handshake.AcceptingSide(key=KEY, identity=ARU),
    )


def is_accepted(accepting, messages):
    """Return whether the accepting side opens a stream after `messages`."""
    try:
        for message in messages:
            accepting.receive(message)
    except peer_handshake.HandshakeError:
        return False
    return accepting.peer is not None


class HandshakeTest(support.TestCase):
    def run_handshake(self, dialling, accepting):
        """Exchange messages until none is left; return those of the dialling side."""
        sent = []
        messages = dialling.start()
        while messages:
            sent += messages
            answers = [a for m in messages for a in accepting.receive(m)]
            messages = [a for m in answers for a in dialling.receive(m)]
        return sent

    def test_both_sides_learn_who_the_other_is(self):
        dialling, accepting = sides()
        self.run_handshake(dialling, accepting)
        self.assertEqual(ARU, dialling.peer)
        self.assertEqual(DAR, accepting.peer)

    def test_wrong_key_wrong_host_and_oneself_are_refused(self):
        wrong_key = peer_handshake.stream_key("another key of this test")
        for options, reason in (
            ({"dial_key": wrong_key}, "wrong key"),
            ({"target": "dar-2"}, "meant host"),
            ({"dialling_identity": ARU}, "dialled by itself"),
        ):
            dialling, accepting = sides(**options)
            error = self.assertRaises(
                peer_handshake.HandshakeError, self.run_handshake, dialling, accepting
            )
            self.assertIn(reason, str(error))
            self.assertIsNone(accepting.peer)

    def test_accepting_side_refuses_a_wrong_key(self):
        dialling, accepting = sides()
        hello = dialling.start()[0]
        self.assertFalse(is_accepted(accepting, [hello, peer_wire.Proof(b"x" * 32)]))

    def test_recorded_messages_open_no_second_stream(self):
        recorded = self.run_handshake(*sides())
        self.assertFalse(is_accepted(sides()[1], recorded))

    def test_check_sees_a_handshake_without_fresh_nonces(self):
        fixed = {"key": KEY, "identity": ARU, "new_nonce": bytes}
        recorded = self.run_handshake(sides()[0], peer_handshake.AcceptingSide(**fixed))
        self.assertTrue(is_accepted(peer_handshake.AcceptingSide(**fixed), recorded))

    def test_proofs_are_bound_to_every_field(self):
        for changed in (
            {"host": "dar-2"},
            {"incarnation": "dar-1-cc"},
            {"region": "aru"},
            {"data_centre": "dar-b"},
        ):
            dialling, accepting = sides()
            hello = dialling.start()[0]
            challenge = accepting.receive(hello._replace(**changed))[0]
            error = self.assertRaises(
                peer_handshake.HandshakeError, dialling.receive, challenge
            )
            self.assertIn("wrong key", str(error))

    def test_a_proof_is_not_reflected(self):
        dialling, accepting = sides()
        challenge = accepting.receive(dialling.start()[0])[0]
        error = self.assertRaises(
            peer_handshake.HandshakeError,
            accepting.receive,
            peer_wire.Proof(challenge.proof),
        )
        self.assertIn("wrong key", str(error))


class WireTest(support.TestCase):
    def test_messages_survive_any_cut(self):
        messages = [
            peer_wire.Call(1, "echo", {"a": [1, b"x", None], "b": {"c": 1.5}}),
            peer_wire.Failure(2, "why", True),
            peer_wire.Beat(3),
        ]
        content = b"".join(peer_wire.encode(m) for m in messages)
        for size in (1, 3, len(content)):
            decoder = peer_wire.Decoder(max_bytes=100)
            decoded = []
            for start in range(0, len(content), size):
                decoder.feed(content[start : start + size])
                while (message := decoder.next_message()) is not None:
                    decoded.append(message)
            self.assertEqual(messages, decoded)

    @support.fuzz_settings(300)
    @hypothesis.given(
        strategies.binary(max_size=60)
        | strategies.recursive(
            strategies.integers(-5, 12) | strategies.text(max_size=3),
            lambda inner: strategies.lists(inner, max_size=5),
        ).map(msgpack.packb)
    )
    def test_bad_content_is_refused_or_is_a_message(self, content):
        try:
            message = peer_wire.decode(content)
        except peer_wire.FrameError:
            return
        self.assertIsInstance(message, peer_wire.MESSAGE_TYPES)

    def test_large_frame_is_refused_before_it_is_read(self):
        decoder = peer_wire.Decoder(max_bytes=100)
        decoder.feed(peer_wire.LENGTH.pack(101))
        self.assertRaises(peer_wire.FrameError, decoder.next_message)
        self.assertRaises(
            peer_wire.FrameError, peer_wire.encode, peer_wire.Reply(1, {"a": object()})
        )
