"""The state that the controllers, filters and routes of one daemon share."""

import math
import random
import secrets
from collections import abc

from dogwoodchute import catalog, clock, peers, settings
from dogwoodchute.platform import hostlist, objects, table, weights


class HostState:
    """The state of one host process, from its start to its exit.

    `current` is the catalog in force. An incarnation is one run of a host's process;
    each has a name of its own.
    """

    def __init__(
        self,
        *,
        config: settings.Settings,
        store: table.Table,
        objects_store: objects.Objects,
        hosts: hostlist.Hosts,
        peer_layer: peers.Peers,
        weight_store: weights.Weights | None = None,
        now: abc.Callable[[], float] = clock.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.config = config
        self.store = store
        # The same store once it is guarded: no commit ends in `Unknown`.
        self.definite_store = store
        self.objects = objects_store
        self.hosts = hosts
        self.peers = peer_layer
        self.weights = weight_store or weights.unlimited()
        self.now = now  # monotonic seconds
        self.rng = rng or random.Random(secrets.randbits(64))
        self.incarnation = f"{config.host.id}-{self.rng.getrandbits(48):012x}"
        self.draining = False
        self.ready = False
        self.stale = False  # the store or a release was last read too long ago
        self.in_flight = 0
        self.caller_address = ""  # IP number and port, set once callers are served
        self.host_list: hostlist.HostList | None = None
        self.release_checked_at: float | None = None  # monotonic seconds
        self._current = catalog.indexed(catalog.EMPTY)

    @property
    def current(self) -> catalog.Catalog:
        """The catalog in force on this host."""
        return self._current

    @property
    def load(self) -> float:
        """Requests in flight as a share of this host's capacity, rounded to tenths."""
        return round(self.in_flight / self.config.locate.capacity, 1)

    @property
    def leaving(self) -> bool:
        """Whether this host drains or is marked as leaving in the host list."""
        return self.draining or self.is_listed_as_leaving(self.config.host.id)

    def is_listed_as_leaving(self, name: str) -> bool:
        """Return whether a host is marked as leaving in the host list."""
        entry = self.host_list.hosts.get(name) if self.host_list is not None else None
        return entry is not None and entry.leaving

    def adopt(self, newer: catalog.Catalog) -> bool:
        """Put a catalog in force if its revision is higher; return whether it was."""
        if newer.revision <= self._current.revision:
            return False
        self._current = newer if newer.index is not None else catalog.indexed(newer)
        return True

    @property
    def release_age(self) -> float:
        """Seconds since the catalog in force was last known to be the newest."""
        if self.release_checked_at is None:
            return math.inf
        return max(0.0, self.now() - self.release_checked_at)

    def account_of_key(self, key: str) -> catalog.ClientAccount | None:
        """Return the client account of a bearer key."""
        keys = self._current.index.accounts_by_key
        return catalog.account_of_key(self._current, keys, key)
