"""Calls of other hosts for the changes of one table, and which answer is best."""

import asyncio
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import sources
from dogwoodchute.gateway.following import mirror, tables

ANSWER_TIMEOUT = 1.0  # seconds beyond the hold to wait for any source
FRESH = (True, True, 0)  # the lowest rank of a recent answer


class SourceCalls:
    """The calls of one host to others about one table, whose results `chooser` gets."""

    def __init__(
        self,
        *,
        chooser: sources.Sources,
        ask: tables.Ask,
        table: str,
        now: abc.Callable[[], float],
    ) -> None:
        self._chooser = chooser
        self._ask = ask
        self._table = table
        self._now = now
        self._stale: set[str] = set()  # hosts whose last answer was too old

    async def ask_all(
        self, peers: abc.Sequence[sources.Peer], since: int | None, hold: float
    ) -> mirror.Fetched | None:
        """Return the first recent answer of these hosts, else the best one.

        Returns None if no answer is recent or has rows. Hosts that take longer than
        `hold` and `ANSWER_TIMEOUT` together are not waited for.
        """
        calls = [
            asyncio.create_task(self._ask_one(peer, since, hold)) for peer in peers
        ]
        best = None
        try:
            async with asyncio.timeout(hold + ANSWER_TIMEOUT):
                for call in asyncio.as_completed(calls):
                    best = max((best, await call), key=rank)
                    if is_recent(best):
                        return best
        except TimeoutError:
            log.warning("sources_slow", table=self._table, asked=len(calls))
        finally:
            for call in calls:
                call.cancel()
        return best

    async def ask_unranked(
        self, addresses: abc.Sequence[str], since: int | None
    ) -> mirror.Fetched | None:
        """Return a recent answer of hosts that may be no sources, None without one.

        Whether they answer says nothing to `chooser`.
        """
        calls = [self._ask(address, self._table, since, 0.0) for address in addresses]
        answers = await asyncio.gather(*calls)
        fetched = [
            self._fetched(answer, address)
            for address, answer in zip(addresses, answers, strict=True)
            if isinstance(answer, tables.Answer)
        ]
        best = max(fetched, key=rank, default=None)
        return best if is_recent(best) else None

    async def _ask_one(
        self, peer: sources.Peer, since: int | None, hold: float
    ) -> mirror.Fetched | None:
        answer = await self._ask(peer.address, self._table, since, hold)
        if isinstance(answer, tables.NoAnswer):
            self._chooser.record_peer_result(peer.name, answered=False, now=self._now())
            log.warning(
                "source_failed", table=self._table, peer=peer.name, reason=answer.reason
            )
            return None
        fetched = self._fetched(answer, peer.name)
        if fetched.is_fresh:
            self._stale.discard(peer.name)
            return fetched
        self._chooser.record_peer_result(peer.name, answered=True, now=self._now())
        if peer.name not in self._stale:
            self._stale.add(peer.name)
            age = round(answer.age, 3)
            log.info("source_stale", table=self._table, peer=peer.name, age=age)
        return fetched

    def _fetched(self, answer: tables.Answer, name: str) -> mirror.Fetched:
        """Return another host's answer in this host's time."""
        return mirror.Fetched(
            changes=answer.changes,
            read_at=self._now() - answer.age,
            store_returned_at=self._now() - answer.seconds_since_return,
            is_fresh=sources.is_fresh(answer.age, receiving=answer.receiving),
            receiving=answer.receiving,
            peer=name,
        )


def rank(answer: mirror.Fetched | None) -> tuple[bool, bool, int]:
    """Return the sort key of an answer: is it usable, is it recent, its version."""
    if answer is None or not (answer.is_fresh or answer.changes.rows):
        return False, False, 0
    return True, answer.is_fresh, answer.changes.version


def is_recent(answer: mirror.Fetched | None) -> bool:
    """Return whether there is an answer and it is recent."""
    return rank(answer) >= FRESH
