"""An in-memory host list that can be stale or unavailable."""

from dogwoodchute.platform import hostlist


class MemoryHostList:
    """Holds the current list; returns `frozen`, a stale list, in its place if set."""

    def __init__(self) -> None:
        self.revision = 0
        self.entries: dict[str, hostlist.ListedHost] = {}
        self.down = False
        self.frozen: hostlist.HostList | None = None

    def set(self, name: str, address: str, *, leaving: bool = False) -> None:
        """Add or change an entry."""
        self.revision += 1
        self.entries[name] = hostlist.ListedHost(address, leaving)

    def remove(self, name: str) -> None:
        """Remove an entry."""
        self.revision += 1
        self.entries.pop(name, None)

    def freeze(self) -> None:
        """Return the list as it is now until `thaw`."""
        self.frozen = hostlist.HostList(
            revision=self.revision, hosts=dict(self.entries)
        )

    def thaw(self) -> None:
        """Return the current list again."""
        self.frozen = None

    def client(self) -> hostlist.Hosts:
        """Return a client of the list."""

        async def fetch() -> hostlist.HostList | hostlist.Unavailable:
            if self.down:
                return hostlist.Unavailable(reason="host list is down")
            if self.frozen is not None:
                return self.frozen
            return hostlist.HostList(revision=self.revision, hosts=dict(self.entries))

        return hostlist.Hosts(fetch=fetch)
