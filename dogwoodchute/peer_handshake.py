"""The handshake of a stream, in which both sides prove that they hold the fleet key.

Both proofs are HMAC-SHA256 under a key derived from the fleet key. Each covers the name
of the proving side, both identities, the target host and both fresh nonces, so a proof
can't be replayed, reflected, or used for another host, incarnation or region.
"""

import hashlib
import hmac
import secrets
from collections import abc

import msgpack

from dogwoodchute import peer_wire

NONCE_BYTES = 16
KEY_LABEL = b"dogwoodchute peer stream 1"


class HandshakeError(Exception):
    """The other side failed to authenticate, or is not the intended host."""


def stream_key(fleet_key: str) -> bytes:
    """Return the key of proofs, separate from other uses of the fleet key."""
    return hmac.digest(fleet_key.encode(), KEY_LABEL, hashlib.sha256)


def compute_proof(
    key: bytes,
    side: str,
    hello: peer_wire.Hello,
    accepting: peer_wire.Identity,
    nonce: bytes,
) -> bytes:
    """Return the proof of `side`, "accept" or "dial".

    `nonce` is the accepting side's; the dialling side's is part of `hello`.
    """
    transcript = msgpack.packb([side, *hello, *accepting, nonce])
    return hmac.digest(key, transcript, hashlib.sha256)


class DiallingSide:
    """The side that dials; `target` is the host to be reached, empty for any."""

    def __init__(
        self,
        *,
        key: bytes,
        identity: peer_wire.Identity,
        target: str,
        new_nonce: abc.Callable[[int], bytes] = secrets.token_bytes,
    ) -> None:
        self.peer: peer_wire.Identity | None = None  # set when the stream is open
        self._key = key
        self._hello = peer_wire.Hello(
            peer_wire.PROTOCOL, *identity, target, new_nonce(NONCE_BYTES)
        )
        self._proven: peer_wire.Identity | None = None  # by the other side's challenge

    def start(self) -> list[peer_wire.Message]:
        """Return the messages that open the handshake."""
        return [self._hello]

    def receive(self, message: peer_wire.Message) -> list[peer_wire.Message]:
        """Handle the next message and return the answers; raises `HandshakeError`."""
        if isinstance(message, peer_wire.Challenge) and self._proven is None:
            return [self._answer_challenge(message)]
        if isinstance(message, peer_wire.Opened) and self._proven is not None:
            self.peer = self._proven
            return []
        raise HandshakeError(f"unexpected {type(message).__name__}")

    def _answer_challenge(self, challenge: peer_wire.Challenge) -> peer_wire.Proof:
        accepting = peer_wire.Identity(*challenge[:4])
        if self._hello.target not in ("", accepting.host):
            raise HandshakeError(f"reached host {accepting.host}")
        if accepting.host == self._hello.host:
            raise HandshakeError("reached itself")
        expected = compute_proof(
            self._key, "accept", self._hello, accepting, challenge.nonce
        )
        if not hmac.compare_digest(expected, challenge.proof):
            raise HandshakeError("wrong key")
        self._proven = accepting
        proof = compute_proof(
            self._key, "dial", self._hello, accepting, challenge.nonce
        )
        return peer_wire.Proof(proof)


class AcceptingSide:
    """The side that is dialled."""

    def __init__(
        self,
        *,
        key: bytes,
        identity: peer_wire.Identity,
        new_nonce: abc.Callable[[int], bytes] = secrets.token_bytes,
    ) -> None:
        self.peer: peer_wire.Identity | None = None  # set when the stream is open
        self._key = key
        self._identity = identity
        self._nonce = new_nonce(NONCE_BYTES)
        self._hello: peer_wire.Hello | None = None

    def start(self) -> list[peer_wire.Message]:
        """Return no messages: the dialling side starts."""
        return []

    def receive(self, message: peer_wire.Message) -> list[peer_wire.Message]:
        """Handle the next message and return the answers; raises `HandshakeError`."""
        if isinstance(message, peer_wire.Hello) and self._hello is None:
            return [self._answer_hello(message)]
        if isinstance(message, peer_wire.Proof) and self._hello is not None:
            hello = self._hello
            expected = compute_proof(
                self._key, "dial", hello, self._identity, self._nonce
            )
            if not hmac.compare_digest(expected, message.proof):
                raise HandshakeError("wrong key")
            self.peer = peer_wire.Identity(*hello[1:5])
            return [peer_wire.Opened(peer_wire.PROTOCOL)]
        raise HandshakeError(f"unexpected {type(message).__name__}")

    def _answer_hello(self, hello: peer_wire.Hello) -> peer_wire.Challenge:
        if hello.protocol != peer_wire.PROTOCOL:
            raise HandshakeError(f"protocol {hello.protocol}")
        if hello.target not in ("", self._identity.host):
            raise HandshakeError(f"meant host {hello.target}")
        if hello.host == self._identity.host:
            raise HandshakeError("dialled by itself")
        self._hello = hello
        proof = compute_proof(self._key, "accept", hello, self._identity, self._nonce)
        return peer_wire.Challenge(*self._identity, self._nonce, proof)
