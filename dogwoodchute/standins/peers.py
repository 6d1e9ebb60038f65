"""An in-memory network between the hosts of one test, with faults on demand."""

import asyncio
import copy

from dogwoodchute import peers


class PeerNet:
    """Connects hosts, and injects faults between them.

    `cut` holds the unordered pairs of hosts that can't reach each other and `down` the
    hosts that nobody reaches. `lose_answers` is how many of the next calls run at the
    peer and end in `NoAnswer`. `lose_calls` is how many of the next calls are lost
    before they run, which the caller can't tell from a lost answer. `duplicate_calls`
    is how many of the next calls run twice.
    """

    def __init__(self) -> None:
        self.cut: set[frozenset[str]] = set()
        self.down: set[str] = set()
        self.lose_answers = 0
        self.lose_calls = 0
        self.duplicate_calls = 0
        self.calls = 0
        self._members: dict[str, peers.Peer] = {}
        self._handlers: dict[str, dict[str, peers.Handler]] = {}

    def join(self, member: peers.Peer) -> peers.Peers:
        """Add a host, or a new incarnation of it, and return its peer layer."""
        name = member.host
        self._members[name] = member
        handlers = self._handlers[name] = {}

        async def call(
            host: str, kind: str, body: dict, timeout: float
        ) -> peers.CallOutcome:
            return await self._call(name, host, kind, body)

        def handle(kind: str, handler: peers.Handler) -> None:
            handlers[kind] = handler

        def known() -> list[peers.Peer]:
            return [
                other._replace(alive=self.reaches(name, other.host))
                for other in self._members.values()
                if other.host != name
            ]

        def set_hint(key: str, value: object) -> None:
            current = self._members[name]
            hints = {**current.hints, key: value}
            self._members[name] = current._replace(hints=hints)

        return peers.Peers(call=call, handle=handle, known=known, set_hint=set_hint)

    def reaches(self, one: str, other: str) -> bool:
        """Return whether two hosts are up and connected."""
        if one in self.down or other in self.down:
            return False
        return frozenset((one, other)) not in self.cut

    async def _call(
        self, sender: str, host: str, kind: str, body: dict
    ) -> peers.CallOutcome:
        if host not in self._members or not self.reaches(sender, host):
            return peers.NotSent(reason="not connected", peer=host)
        self.calls += 1
        if self.lose_calls > 0:
            self.lose_calls -= 1
            return peers.NoAnswer(reason="timed out", peer=host)
        handler = self._handlers[host].get(kind)
        if handler is None:
            return peers.NoAnswer(reason=f"no handler of {kind}", peer=host)
        if self.duplicate_calls > 0:
            self.duplicate_calls -= 1
            await handler(sender, copy.deepcopy(body))
        answer = await handler(sender, copy.deepcopy(body))
        await asyncio.sleep(0)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return peers.NoAnswer(reason="timed out", peer=host)
        if not self.reaches(sender, host):
            return peers.NoAnswer(reason="disconnected before the answer", peer=host)
        return peers.Answer(body=copy.deepcopy(answer))
