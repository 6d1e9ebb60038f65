"""Determines the home host of an account, which holds its tokens for a region.

In a large fleet each account has a home in each region: the ready host that rendezvous
hashing ranks first. In a small fleet accounts have no home as long as the store is fast
enough for every host to draw for itself.
"""

import typing
from collections import abc

from dogwoodchute.coordination import ranking
from dogwoodchute.gateway import host_rows

# Hosts; with so few, each gets enough of an account's requests to draw for itself.
SMALL_FLEET = 16


class _Ranking(typing.NamedTuple):
    """The hosts that rank first for an account, as long as the same ones are ready."""

    others: dict[str, str]  # id of the best other host, by region
    is_local: bool  # this host ranks before the others of its region


class Homes:
    """The homes of accounts, ranked anew only after a change of the ready hosts."""

    def __init__(
        self,
        *,
        host: str,
        region: str,
        live: abc.Callable[[], tuple[host_rows.Host, ...]],
        store_is_slow: abc.Callable[[], bool] = lambda: False,
    ) -> None:
        self._host = host
        self._region = region
        self._live = live  # returns the same tuple until a host changes
        self._store_is_slow = store_is_slow  # whether draws by all are too slow
        self._last_live: tuple[host_rows.Host, ...] = ()
        self._ready: dict[str, host_rows.Host] = {}  # by id
        self._rankings: dict[str, _Ranking] = {}  # by account

    def is_local(self, account: str) -> bool:
        """Return whether this host is the account's home in its region."""
        return self._is_large() and self._ranking(account).is_local

    def remote_home(self, account: str) -> host_rows.Host | None:
        """Return the account's home in this region if it is another host, else None."""
        if not self._is_large():
            return None
        entry = self._ranking(account)
        if entry.is_local:
            return None
        return self._ready[entry.others[self._region]]

    def best_by_region(self, account: str) -> list[host_rows.Host]:
        """Return the best other host of each region, that of this region first."""
        entry = self._ranking(account)
        regions = sorted(entry.others, key=lambda region: region != self._region)
        return [self._ready[entry.others[region]] for region in regions]

    def _is_large(self) -> bool:
        return 1 + len(self._live()) > SMALL_FLEET or self._store_is_slow()

    def _ranking(self, account: str) -> _Ranking:
        self._drop_stale_rankings()
        entry = self._rankings.get(account)
        if entry is None:
            entry = self._rankings[account] = self._compute(account)
        return entry

    def _drop_stale_rankings(self) -> None:
        """Drop all rankings if the set of ready hosts or their regions changed."""
        live = self._live()
        if live is self._last_live:
            return
        self._last_live = live
        ready = {host.id: host for host in live if host.state == host_rows.READY}
        if _ids_and_regions(ready) != _ids_and_regions(self._ready):
            self._rankings.clear()
        self._ready = ready

    def _compute(self, account: str) -> _Ranking:
        best: dict[str, tuple[float, str]] = {}
        for host in self._ready.values():
            score = ranking.score(account, host.name, 1.0)
            if host.region not in best or score > best[host.region][0]:
                best[host.region] = (score, host.id)
        own = ranking.score(account, self._host, 1.0)
        return _Ranking(
            others={region: incarnation for region, (_, incarnation) in best.items()},
            is_local=self._region not in best or best[self._region][0] <= own,
        )


def _ids_and_regions(ready: dict[str, host_rows.Host]) -> set[tuple[str, str]]:
    return {(host.id, host.region) for host in ready.values()}
