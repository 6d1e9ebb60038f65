"""Polls the platform's host list, which may lag, and keeps the newest revision."""

from dogwoodchute import controller, log, state
from dogwoodchute.platform import hostlist

POLL_INTERVAL = 1.0  # seconds


async def poll(host: state.HostState) -> None:
    """Fetch the host list, and keep it if its revision is newer than the known one."""
    fetched = await host.hosts.fetch()
    if isinstance(fetched, hostlist.Unavailable):
        log.warning("hostlist_failed", reason=fetched.reason, peer=fetched.peer)
        return
    known = host.host_list
    if known is not None and fetched.revision <= known.revision:
        return
    host.host_list = fetched
    leaving = sorted(name for name, entry in fetched.hosts.items() if entry.leaving)
    log.info(
        "hostlist_changed",
        revision=fetched.revision,
        hosts=len(fetched.hosts),
        leaving=",".join(leaving) or None,
    )


def make(host: state.HostState) -> controller.Controller:
    """Return the controller that polls the host list."""

    async def step() -> None:
        await poll(host)

    return controller.periodic("hostlist", step, interval=POLL_INTERVAL)
