"""Polls the platform's host list, which lags, and keeps the newest one seen."""

from dogwoodchute import controller, log, state
from dogwoodchute.platform import hostlist

POLL_INTERVAL = 1.0  # seconds


async def poll(host: state.HostState) -> None:
    """Fetch the list and keep it unless an older one than the last came."""
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
    """Return the controller that polls."""

    async def step() -> None:
        await poll(host)

    return controller.periodic("hostlist", step, interval=POLL_INTERVAL)
