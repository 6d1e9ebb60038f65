"""Tells which host holds a client account's tokens for the others of its region.

Each account has a home in each region of a large fleet: the ready host that rendezvous
hashing ranks first. In a small fleet accounts have none, as long as the store is quick
enough for draws by every host.
"""

import typing
from collections import abc

from dogwoodchute.coordination import ranking
from dogwoodchute.gateway import hosts

SMALL_FLEET = 16  # hosts, each of which has enough of an account's requests itself


class Ranked(typing.NamedTuple):
    """An account's homes, as long as the same hosts are ready."""

    others: dict[str, str]  # lifetime of the best other host by region
    is_here: bool  # this host ranks before the others of its region


class Homes:
    """The homes of accounts; ranked once for each change of the ready hosts."""

    def __init__(
        self,
        *,
        host: str,
        region: str,
        live: abc.Callable[[], tuple[hosts.Host, ...]],
        strained: abc.Callable[[], bool] = lambda: False,
    ) -> None:
        self._host = host
        self._region = region
        self._live = live  # the same tuple as long as nothing changed
        self._strained = strained  # whether the store is too slow for draws by all
        self._seen: tuple[hosts.Host, ...] = ()
        self._ready: dict[str, hosts.Host] = {}  # by lifetime
        self._ranked: dict[str, Ranked] = {}  # by account

    def is_here(self, account: str) -> bool:
        """Whether this host holds the account's tokens for others of its region."""
        return self._is_large() and self._rank(account).is_here

    def elsewhere(self, account: str) -> hosts.Host | None:
        """Return the other host that is the account's home in this host's region."""
        if not self._is_large():
            return None
        ranked = self._rank(account)
        if ranked.is_here:
            return None
        return self._ready[ranked.others[self._region]]

    def others(self, account: str) -> list[hosts.Host]:
        """Return the best other host for the account in each region, the own first."""
        ranked = self._rank(account)
        regions = sorted(ranked.others, key=lambda region: region != self._region)
        return [self._ready[ranked.others[region]] for region in regions]

    def _is_large(self) -> bool:
        return 1 + len(self._live()) > SMALL_FLEET or self._strained()

    def _rank(self, account: str) -> Ranked:
        self._look()
        ranked = self._ranked.get(account)
        if ranked is None:
            ranked = self._ranked[account] = self._find(account)
        return ranked

    def _look(self) -> None:
        """Drop what was ranked if other hosts are ready than before."""
        live = self._live()
        if live is self._seen:
            return
        self._seen = live
        ready = {host.id: host for host in live if host.state == hosts.READY}
        if _places(ready) != _places(self._ready):
            self._ranked.clear()
        self._ready = ready

    def _find(self, account: str) -> Ranked:
        best: dict[str, tuple[float, str]] = {}
        for host in self._ready.values():
            score = ranking.score(account, host.name, 1.0)
            if host.region not in best or score > best[host.region][0]:
                best[host.region] = (score, host.id)
        own = ranking.score(account, self._host, 1.0)
        return Ranked(
            others={region: lifetime for region, (_, lifetime) in best.items()},
            is_here=self._region not in best or best[self._region][0] <= own,
        )


def _places(ready: dict[str, hosts.Host]) -> set[tuple[str, str]]:
    return {(host.id, host.region) for host in ready.values()}
