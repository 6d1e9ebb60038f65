"""Exchanges releases between hosts while the store is unavailable.

What a peer sends is used only if it is chained by digest to the state that this host
has in force, or is a full state with a matching digest and a higher revision.
"""

import collections
import hashlib

from dogwoodchute import catalog, peers, state
from dogwoodchute.controllers import release_store
from dogwoodchute.coordination import releases

CALL_TIMEOUT = 2.0  # seconds
PART_BYTES = 128_000  # of an encoded state, in one answer
MAX_PARTS = 1_000  # of one encoded state
RECENT_DELTAS = 512


class ReleaseExchange:
    """Serves this host's recent deltas to peers, and fetches theirs."""

    def __init__(self, *, host: state.HostState) -> None:
        self._host = host
        self._recent: collections.deque[tuple[str, releases.Delta]]
        self._recent = collections.deque(maxlen=RECENT_DELTAS)
        self._encoded_state: tuple[int, bytes] = (-1, b"")  # revision, content
        host.peers.handle("release_since", self._answer_since)
        host.peers.handle("release_part", self._answer_part)

    def record_deltas(self, before: str, deltas: list[releases.Delta]) -> None:
        """Keep deltas that came into force after the state with digest `before`."""
        for delta in deltas:
            self._recent.append((before, delta))
            before = releases.chain_digest(before, delta)

    def newest_peer(self) -> peers.Peer | None:
        """Return the live peer whose hint has the highest revision."""
        newest = None
        for peer in self._host.peers.known():
            if not peer.alive or revision_of(peer) is None:
                continue
            if newest is None or revision_of(peer) > revision_of(newest):
                newest = peer
        return newest

    async def fetch(
        self, host: str
    ) -> (
        tuple[catalog.Catalog, list[releases.Delta], float] | release_store.ReadFailure
    ):
        """Return a peer's state, its last deltas, and its age in seconds.

        A state that is older than this host's is a failure.
        """
        current = self._host.current
        body = {"revision": current.revision, "digest": current.digest}
        answer = await self._host.peers.call(host, "release_since", body, CALL_TIMEOUT)
        if not isinstance(answer, peers.Answer):
            return release_store.ReadFailure(reason=answer.reason, peer=host)
        reply = answer.body
        if reply["revision"] < current.revision:
            return release_store.ReadFailure(reason="peer is behind", peer=host)
        if not reply["whole"]:
            deltas = [releases.from_plain(plain) for plain in reply["deltas"]]
            newer = release_store.apply(current, deltas, reply["digest"])
            if newer is not None:
                return newer, deltas, reply["age"]
        newer = await self._fetch_whole(host)
        if isinstance(newer, release_store.ReadFailure):
            return newer
        if newer.revision < current.revision:
            return release_store.ReadFailure(reason="peer is behind", peer=host)
        return newer, [], reply["age"]

    async def _fetch_whole(
        self, host: str
    ) -> catalog.Catalog | release_store.ReadFailure:
        content = b""
        revision = None
        for _ in range(MAX_PARTS):
            body = {"offset": len(content), "revision": revision}
            answer = await self._host.peers.call(
                host, "release_part", body, CALL_TIMEOUT
            )
            if not isinstance(answer, peers.Answer):
                return release_store.ReadFailure(reason=answer.reason, peer=host)
            reply = answer.body
            if revision is not None and reply["revision"] != revision:
                return release_store.ReadFailure(
                    reason="peer's revision changed meanwhile", peer=host
                )
            revision = reply["revision"]
            content += reply["part"]
            if len(content) >= reply["size"]:
                return await release_store.decode(content, reply["sha256"])
        return release_store.ReadFailure(reason="state is too large", peer=host)

    async def _answer_since(self, sender: str, body: dict) -> dict:
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

    async def _answer_part(self, sender: str, body: dict) -> dict:
        revision, content = self._encoded_state
        current = self._host.current
        if body["revision"] != revision and revision != current.revision:
            content = await release_store.encode(current)
            revision = current.revision
            self._encoded_state = (revision, content)
        offset = body["offset"]
        return {
            "revision": revision,
            "size": len(content),
            "sha256": hashlib.sha256(content).hexdigest(),
            "part": content[offset : offset + PART_BYTES],
        }


def revision_of(peer: peers.Peer) -> int | None:
    """Return the revision in force on a peer by its hint, None without a hint."""
    revision = peer.hints.get("revision")
    return revision if isinstance(revision, int) else None
