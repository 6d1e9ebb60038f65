"""Asks other hosts for tokens, first those that may have most of an account."""

from collections import abc

from dogwoodchute.gateway import homes, hosts, reservations, tokens

MAX_ASKED = 8  # other hosts that are asked for tokens at once


class Givers:
    """The other hosts, as sources of tokens."""

    def __init__(
        self,
        *,
        live: abc.Callable[[], tuple[hosts.Host, ...]],
        homes: homes.Homes,
        ask_peer: tokens.AskPeer,
    ) -> None:
        self._live = live
        self._homes = homes
        self._ask_peer = ask_peer

    async def ask(
        self, account: str, tokens: int, holders: list[str]
    ) -> reservations.Collected:
        """Ask other hosts for tokens, one after the other.

        The account's homes come first, then `holders`.
        """
        live = {host.id: host for host in self._live()}
        first = [host.id for host in self._homes.others(account)]
        order = dict.fromkeys([*first, *holders, *live])
        known = [live[name] for name in order if name in live]
        got = 0
        whole = len(known) <= MAX_ASKED
        for host in known[:MAX_ASKED]:
            given = await self._ask_peer(host.control, account, tokens - got)
            whole = whole and given is not None
            got += given or 0
            if got >= tokens:
                break
        return reservations.Collected(got, whole)

    async def ask_home(self, account: str, tokens: int) -> int | None:
        """Ask the account's home for tokens; return what it gave, None without one."""
        home = self._homes.elsewhere(account)
        if home is None:
            return None
        return await self._ask_peer(home.control, account, tokens)
