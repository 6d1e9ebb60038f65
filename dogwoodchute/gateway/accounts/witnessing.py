"""Asks this host's witnesses whether the store is away, and answers as a witness."""

import asyncio
import typing
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import escrow, witnesses
from dogwoodchute.gateway import contact as contacts, host_rows, rows

CHECK_INTERVAL = 0.2  # seconds between checks whether witnesses must be asked
ASK_INTERVAL = 0.4  # seconds between questions to witnesses that have not confirmed


class Denial(typing.NamedTuple):
    """A question whether commits of a holder are unconfirmed, and will stay so.

    Times are in seconds of the store's clock; both commits are included.
    """

    holder: str
    first: float
    last: float


class Client(typing.NamedTuple):
    """Asks a witness, by its control address and incarnation."""

    # Returns its confirmation of commits up to a time, None without one.
    confirm: abc.Callable[
        [str, str, str, float], abc.Awaitable[witnesses.Confirmation | None]
    ]  # arguments: address, witness, holder, time
    # Returns whether it certainly has not confirmed these commits, and never will.
    denies: abc.Callable[[str, str, Denial], abc.Awaitable[bool]]


class Witnessing:
    """What this host's witnesses confirmed, and what it confirms to others.

    `live` returns the other live hosts.
    """

    def __init__(
        self,
        *,
        id: str,
        live: abc.Callable[[], tuple[host_rows.Host, ...]],
        contact: contacts.Contact,
        store: rows.Store,
        client: Client,
        now: abc.Callable[[], float],
    ) -> None:
        self._id = id  # of this incarnation
        self._live = live
        self._contact = contact
        self._store = store
        self._client = client
        self._now = now
        self._memory = witnesses.Memory()
        self._confirmations: dict[str, witnesses.Confirmation] = {}  # by witness
        self._chosen: dict[str, str] = {}  # control addresses of the latest witnesses
        self._last_live: tuple[host_rows.Host, ...] | None = None
        self._committed_at = 0.0  # store's clock, of the latest commit

    def names(self) -> tuple[str, ...]:
        """Return the witnesses of a commit that is sent now."""
        live = self._live()
        if live is not self._last_live:
            self._last_live = live
            ready = {
                host.id: host.control for host in live if host.state == host_rows.READY
            }
            chosen = witnesses.choose(self._id, ready)
            self._chosen = {name: ready[name] for name in chosen}
            known = {name: self._confirmations.get(name) for name in chosen}
            self._confirmations = {name: each for name, each in known.items() if each}
        self._committed_at = self._store.now()
        return tuple(self._chosen)

    def may_rise(self, holding: escrow.Holding) -> bool:
        """Return whether enough witnesses have confirmed a commit of this host."""
        confirmed = sum(
            name in self._confirmations and self._confirmations[name].covers(holding.at)
            for name in holding.witnesses
        )
        return confirmed >= witnesses.needed_confirmations(len(holding.witnesses))

    async def run(self) -> None:
        """Ask this host's witnesses while the store is away, until cancelled."""
        while True:
            pause = CHECK_INTERVAL
            try:
                if self._contact.is_away and self._unconfirmed():
                    await self._ask_witnesses()
                    pause = ASK_INTERVAL
            except Exception:
                log.exception("witnessing_failed")
            await asyncio.sleep(pause)

    async def confirm(self, holder: str, asked: float) -> witnesses.Confirmation | None:
        """Answer as a witness of `holder`; None while this host reaches the store."""
        if not self._contact.is_away:
            if self._now() - self._contact.answered_at >= contacts.SILENT_AFTER:
                # Nothing was asked of the store lately.
                part = host_rows.part_of(self._id)
                await self._store.read(host_rows.TABLE, part, self._id, f"{self._id}\0")
            if not self._contact.is_away:
                return None
        return self._memory.confirm(holder, asked, contact=self._contact.last_contact)

    def denies(self, question: Denial) -> bool:
        """Return whether this host has not confirmed these commits, and never will."""
        return self._memory.denies(*question, contact=self._contact.last_contact)

    async def count_denials(self, names: tuple[str, ...], question: Denial) -> int:
        """Return how many of these witnesses of another host deny its commits."""
        addresses = {host.id: host.control for host in self._live()}
        asked = [
            self._client.denies(addresses[name], name, question)
            for name in names
            if name in addresses
        ]
        own = self._id in names and self.denies(question)
        return own + sum(await asyncio.gather(*asked))

    def _unconfirmed(self) -> list[str]:
        """Return the witnesses that have not confirmed this host's latest commit."""
        return [
            name
            for name in self._chosen
            if name not in self._confirmations
            or not self._confirmations[name].covers(self._committed_at)
        ]

    async def _ask_witnesses(self) -> None:
        asked = self._store.now()
        names = self._unconfirmed()
        answers = await asyncio.gather(
            *(
                self._client.confirm(self._chosen[name], name, self._id, asked)
                for name in names
            )
        )
        for name, answer in zip(names, answers, strict=True):
            log.info(
                "witness_asked",
                peer=name,
                confirmed=answer is not None,
                contact=f"{answer.contact:.3f}" if answer is not None else None,
                asked=f"{asked:.3f}",
            )
            if answer is not None:
                self._confirmations[name] = answer
