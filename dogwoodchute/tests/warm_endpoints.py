"""What tables of endpoints need where nothing is evacuated or cold."""

from dogwoodchute.gateway import host_rows, model
from dogwoodchute.gateway.places import evacuations
from dogwoodchute.gateway.warmup import cold_endpoints, recent_hosts


class Fleet:
    """Other hosts by their names; `registered_at` is this host's own registration."""

    def __init__(self, names=(), *, registered_at=0.0):
        self.live = tuple(_host(name) for name in names)
        self.registered_at = registered_at


def _host(name):
    place = ("z1", "r1", "", "", "", "")
    return host_rows.Host(f"{name}-1", name, *place, host_rows.READY)


def parts(now, *, fleet=None, services=None, host="h1", bounds=None):
    """Return the arguments `evacuated` and `cold` of a table of endpoints."""
    evacuated = evacuations.Evacuations(
        data_centre_of=data_centre_of,
        progress=lambda data_centre: evacuations.Progress(0, 0),
        now=now,
    )
    cold = cold_endpoints.ColdEndpoints(
        host=host,
        others=recent_hosts.RecentHosts(fleet=fleet or Fleet(), read_at=now, now=now),
        service_of=(services or {}).get,
        evacuated=evacuated,
        bounds=bounds or model.Bounds(),
        now=now,
    )
    return {"evacuated": evacuated, "cold": cold}


def data_centre_of(key):
    """Return the data centre that an operator's row evacuates, by its key."""
    _, found, name = key.partition("evacuate/")
    return name if found else None
