"""Writes this host's row in the register, and reads the rows of all hosts.

The register is the set of host rows in the store. An incarnation is one run of a
host's process. Each registration of another incarnation gets a higher generation, and
the highest one is valid.
"""

import asyncio
import dataclasses
import secrets
import typing

from dogwoodchute import clock, log, state
from dogwoodchute.coordination import membership, rows
from dogwoodchute.platform import table

EXPIRY_INTERVALS = 10  # missed renewals after which a dead host's row is deleted
MAX_TRIES = 5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Registered:
    """The register has this incarnation of the host."""

    generation: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Superseded:
    """A newer incarnation of this host has registered."""

    incarnation: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreUnreachable:
    """The store gave no definite answer, so the state of the row is not known."""

    reason: str
    step: str = "register"
    peer: str | None = None


Outcome = Registered | Superseded | StoreUnreachable


class _Sighting(typing.NamedTuple):
    """The version of a row and when this host first read it, in monotonic seconds."""

    version: int
    since: float


class Register:
    """Reads and writes the register for this host."""

    def __init__(self, *, host: state.HostState) -> None:
        self.generation = 0  # 0 until the first registration
        self._host = host
        self._key = rows.host(host.config.host.id)
        self._sightings: dict[str, _Sighting] = {}

    async def write(
        self, core: membership.Core, *, at_least: int = 0, left: bool = False
    ) -> Outcome:
        """Register this incarnation, or renew its row.

        The first registration gets a generation above that of the row and not below
        `at_least`. `left` says that the process exits.
        """
        for _ in range(MAX_TRIES):
            found = await self._host.store.read([self._key])
            if isinstance(found, table.Unavailable):
                return StoreUnreachable(reason=found.reason, peer=found.peer)
            row = found.rows.get(self._key)
            rival = self._rival(row)
            if rival is not None:
                return rival
            generation = self._next_generation(row, at_least)
            outcome = await self._host.store.commit(
                secrets.token_hex(8),
                [table.Check(self._key, row.version if row is not None else 0)],
                [table.Write(self._key, self._row_value(core, generation, left))],
            )
            if isinstance(outcome, table.Committed):
                self.generation = generation
                return Registered(generation=generation)
            if not isinstance(outcome, table.Conflict):
                return StoreUnreachable(reason=outcome.reason, peer=outcome.peer)
        return StoreUnreachable(reason="too many racing writes")

    async def check(self) -> Outcome:
        """Return whether the register has this incarnation, without a write."""
        found = await self._host.store.read([self._key])
        if isinstance(found, table.Unavailable):
            return StoreUnreachable(reason=found.reason, peer=found.peer)
        rival = self._rival(found.rows.get(self._key))
        return rival or Registered(generation=self.generation)

    def _rival(self, row: table.Row | None) -> Superseded | None:
        if self.generation == 0 or row is None:
            return None
        incarnation = row.value["incarnation"]
        if incarnation == self._host.incarnation:
            return None
        if row.value["generation"] < self.generation:
            return None
        return Superseded(incarnation=incarnation)

    def _next_generation(self, row: table.Row | None, at_least: int) -> int:
        if self.generation > 0:
            return max(self.generation, at_least)
        if row is None:
            return max(1, at_least)
        if row.value["incarnation"] == self._host.incarnation:
            return max(row.value["generation"], at_least)
        return max(row.value["generation"] + 1, at_least)

    def _row_value(self, core: membership.Core, generation: int, left: bool) -> dict:
        return {
            "incarnation": self._host.incarnation,
            "generation": generation,
            "region": core.region,
            "data_centre": core.data_centre,
            "address": core.address,
            "caller_address": core.caller_address,
            "renewed": round(clock.wall()),
            "left": left,
        }

    async def scan(self, alive: frozenset[str]) -> list[membership.Core] | None:
        """Return the cores of all registered hosts, None if the store does not answer.

        Deletes the rows of dead hosts that have not been renewed for
        `EXPIRY_INTERVALS` and are not on the host list. Hosts that have exited and
        expired ones are left out.
        """
        found = await self._host.store.scan(rows.host(""))
        if isinstance(found, table.Unavailable):
            log.warning("register_scan_failed", reason=found.reason, peer=found.peer)
            return None
        cores = []
        sightings = {}
        expired = []
        for row in found.rows.values():
            name = row.key.removeprefix(rows.host(""))
            sighting = self._sightings.get(name)
            if sighting is None or sighting.version != row.version:
                sighting = _Sighting(row.version, self._host.now())
            sightings[name] = sighting
            if name not in alive and self._is_expired(sighting):
                expired.append(row)
                continue
            if name not in alive and row.value["left"]:
                continue
            cores.append(core_of(name, row.value))
        self._sightings = sightings
        await asyncio.gather(*(self._delete(row) for row in expired))
        return cores

    def _is_expired(self, sighting: _Sighting) -> bool:
        age = self._host.now() - sighting.since
        return age > EXPIRY_INTERVALS * self._host.config.peers.register_interval

    async def _delete(self, row: table.Row) -> None:
        name = row.key.removeprefix(rows.host(""))
        listed = self._host.host_list
        if listed is None or name in listed.hosts:
            return
        outcome = await self._host.store.commit(
            secrets.token_hex(8),
            [table.Check(row.key, row.version)],
            [table.Write(row.key, None)],
        )
        if isinstance(outcome, table.Committed):
            log.info("host_unregistered", peer=name)


def core_of(name: str, value: dict) -> membership.Core:
    """Return the core of a register row.

    Its version is 0, so that any core of the same incarnation from gossip replaces it.
    """
    return membership.Core(
        name,
        value["generation"],
        value["incarnation"],
        0,
        value["region"],
        value["data_centre"],
        value["address"],
        value["caller_address"],
        leaving=value["left"],
        stale=False,
        hears=(),
    )
