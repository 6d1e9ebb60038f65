"""Requests tokens from other hosts, first from those that may have most of them."""

from collections import abc

from dogwoodchute.gateway import host_rows
from dogwoodchute.gateway.accounts import homes, reservations, transfer_protocol

MAX_SOURCES = 8  # other hosts that one request for tokens may try


class TransferSources:
    """The other hosts of the fleet, as sources of tokens."""

    def __init__(
        self,
        *,
        live: abc.Callable[[], tuple[host_rows.Host, ...]],
        homes: homes.Homes,
        request_from_host: transfer_protocol.RequestFromHost,
        give_back_to_host: transfer_protocol.GiveBack,
    ) -> None:
        self._live = live
        self._homes = homes
        self._request_from_host = request_from_host
        self._give_back_to_host = give_back_to_host

    async def request(
        self, account: str, tokens: int, holders: list[str]
    ) -> reservations.TokensReceived:
        """Request tokens from other hosts, one after the other, until enough came.

        The account's home hosts come first, then `holders`, then all others, up to
        `MAX_SOURCES` hosts in total.
        """
        live = {host.id: host for host in self._live()}
        first = [host.id for host in self._homes.best_by_region(account)]
        order = dict.fromkeys([*first, *holders, *live])
        sources = [live[name] for name in order if name in live]
        received = 0
        all_answered = len(sources) <= MAX_SOURCES
        for host in sources[:MAX_SOURCES]:
            given = await self._request_from_host(
                host.control, account, tokens - received
            )
            all_answered = all_answered and given is not None
            received += given or 0
            if received >= tokens:
                break
        return reservations.TokensReceived(received, all_answered)

    async def request_from_home(self, account: str, tokens: int) -> int | None:
        """Request tokens from the account's home; return how many it gave.

        Returns None if the account has no remote home or it did not answer.
        """
        home = self._homes.remote_home(account)
        if home is None:
            return None
        return await self._request_from_host(home.control, account, tokens)

    async def give_back_to_home(self, account: str, tokens: int) -> bool:
        """Give tokens back to the account's home in this region.

        Returns whether it certainly did not get them.
        """
        home = self._homes.remote_home(account)
        if home is None:
            return True
        return await self._give_back_to_host(home.control, account, tokens)
