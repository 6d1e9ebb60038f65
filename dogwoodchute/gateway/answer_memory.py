"""Bounds the memory of all answers that are held until they are complete.

One answer may be large, but a faulty endpoint may send bytes without end to all
requests at the same time. The largest answers are given up then, so that small ones of
other requests are not affected.
"""

from collections import abc

import prometheus_client

from dogwoodchute import log

LIMIT = 16 * 1024 * 1024  # bytes

held_bytes = prometheus_client.Gauge(
    "dogwoodchute_answer_bytes_held",
    "Bytes of endpoints' answers that are held until they are complete.",
)
answers_given_up = prometheus_client.Counter(
    "dogwoodchute_answers_given_up",
    "Answers that were given up, as all held ones together were too large.",
)


class Share:
    """What one answer holds; `give_up` ends the answer and logs the reason."""

    def __init__(
        self, *, memory: "AnswerMemory", peer: str, give_up: abc.Callable[[str], None]
    ) -> None:
        self.size = 0  # bytes
        self.peer = peer
        self.give_up = give_up
        self._memory = memory

    def hold(self, size: int) -> None:
        """Set the bytes that are held now; this may end any answer."""
        self._memory.change(self, size)

    def release(self) -> None:
        """Hold nothing any more."""
        self._memory.change(self, 0)


class AnswerMemory:
    """The answers of all endpoints that this host holds."""

    def __init__(self, *, limit: int = LIMIT) -> None:
        self._limit = limit
        self._held = 0  # bytes
        self._shares: set[Share] = set()  # those that hold bytes

    def open(self, peer: str, give_up: abc.Callable[[str], None]) -> Share:
        """Return the share of an answer of the endpoint `peer`."""
        return Share(memory=self, peer=peer, give_up=give_up)

    def change(self, share: Share, size: int) -> None:
        """Set what one answer holds; give up the largest ones beyond the limit."""
        self._held += size - share.size
        share.size = size
        if size:
            self._shares.add(share)
        else:
            self._shares.discard(share)
        while self._held > self._limit:
            self._give_up(max(self._shares, key=lambda each: each.size))
        held_bytes.set(self._held)

    def _give_up(self, share: Share) -> None:
        log.warning(
            "answer_given_up", peer=share.peer, bytes=share.size, held=self._held
        )
        answers_given_up.inc()
        self._held -= share.size
        share.size = 0
        self._shares.discard(share)
        share.give_up("the answers of endpoints take too much memory")
