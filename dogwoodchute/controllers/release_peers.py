"""Passes releases between hosts while the store is away.

What a peer hands over is used only if it is chained by digest to the state that this
host holds, or is a whole state with a matching digest and a higher revision.
"""

import collections
import hashlib

from dogwoodchute import catalog, peers, state
from dogwoodchute.controllers import release_store
from dogwoodchute.coordination import releases

CALL_TIMEOUT = 2.0  # seconds
PART_BYTES = 128_000
MAX_PARTS = 1_000
RECENT_DELTAS = 512


class Exchange:
    """Hands out this host's recent deltas and fetches those of peers."""

    def __init__(self, *, host: state.HostState) -> None:
        self._host = host
        self._recent: collections.deque[tuple[str, releases.Delta]]
        self._recent = collections.deque(maxlen=RECENT_DELTAS)
        self._encoded: tuple[int, bytes] = (-1, b"")
        host.peers.handle("release_since", self._since)
        host.peers.handle("release_part", self._part)

    def adopted(self, before: str, deltas: list[releases.Delta]) -> None:
        """Keep deltas that were put in force after the state with digest `before`."""
        for delta in deltas:
            self._recent.append((before, delta))
            before = releases.chain_digest(before, delta)

    def highest(self) -> peers.Peer | None:
        """Return the live peer that says it holds the highest revision."""
        best = None
        for peer in self._host.peers.known():
            if not peer.alive or revision_of(peer) is None:
                continue
            if best is None or revision_of(peer) > revision_of(best):
                best = peer
        return best

    async def fetch(
        self, host: str
    ) -> tuple[catalog.Catalog, list[releases.Delta], float] | release_store.Failed:
        """Return a peer's state if it is no older, its deltas, and its age."""
        current = self._host.current
        body = {"revision": current.revision, "digest": current.digest}
        answer = await self._host.peers.call(host, "release_since", body, CALL_TIMEOUT)
        if not isinstance(answer, peers.Answer):
            return release_store.Failed(reason=answer.reason, peer=host)
        told = answer.body
        if told["revision"] < current.revision:
            return release_store.Failed(reason="peer is behind", peer=host)
        if not told["whole"]:
            deltas = [releases.from_plain(plain) for plain in told["deltas"]]
            newer = release_store.apply(current, deltas, told["digest"])
            if newer is not None:
                return newer, deltas, told["age"]
        newer = await self._fetch_whole(host)
        if isinstance(newer, release_store.Failed):
            return newer
        if newer.revision < current.revision:
            return release_store.Failed(reason="peer is behind", peer=host)
        return newer, [], told["age"]

    async def _fetch_whole(self, host: str) -> catalog.Catalog | release_store.Failed:
        content = b""
        wanted = None
        for _ in range(MAX_PARTS):
            body = {"offset": len(content), "revision": wanted}
            answer = await self._host.peers.call(
                host, "release_part", body, CALL_TIMEOUT
            )
            if not isinstance(answer, peers.Answer):
                return release_store.Failed(reason=answer.reason, peer=host)
            told = answer.body
            if wanted is not None and told["revision"] != wanted:
                return release_store.Failed(reason="peer moved on", peer=host)
            wanted = told["revision"]
            content += told["part"]
            if len(content) >= told["size"]:
                return await release_store.decode(content, told["sha256"])
        return release_store.Failed(reason="state is too large", peer=host)

    async def _since(self, sender: str, body: dict) -> dict:
        current = self._host.current
        answer = {
            "revision": current.revision,
            "digest": current.digest,
            "age": min(self._host.release_age, 1e9),
            "whole": False,
            "deltas": [],
        }
        if body["revision"] >= current.revision:
            answer["whole"] = body["digest"] != current.digest
            return answer
        found = [
            (before, delta)
            for before, delta in self._recent
            if delta.revision > body["revision"]
        ]
        expected = current.revision - body["revision"]
        if len(found) != expected or found[0][0] != body["digest"]:
            answer["whole"] = True
            return answer
        answer["deltas"] = [releases.to_plain(delta) for _, delta in found]
        return answer

    async def _part(self, sender: str, body: dict) -> dict:
        revision, content = self._encoded
        current = self._host.current
        if body["revision"] != revision and revision != current.revision:
            content = await release_store.encode(current)
            revision = current.revision
            self._encoded = (revision, content)
        offset = body["offset"]
        return {
            "revision": revision,
            "size": len(content),
            "sha256": hashlib.sha256(content).hexdigest(),
            "part": content[offset : offset + PART_BYTES],
        }


def revision_of(peer: peers.Peer) -> int | None:
    """Return the revision that a peer says it has in force, None if it says none."""
    revision = peer.hints.get("revision")
    return revision if isinstance(revision, int) else None
