"""The registered endpoints, and which of them take new requests."""

import typing
from collections import abc

import prometheus_client

from dogwoodchute import log
from dogwoodchute.coordination import hold_offs, leaving
from dogwoodchute.gateway import endpoint_limits, model, row_reader, rows

# Seconds after an outage of the store in which endpoints renew entries that expired.
RENEWAL_TIME = 2.5
OWN_ANSWER = "answer"  # the endpoint said so in an answer to this host
OTHER_HOST = "other_host"  # another host reported that it did

leaving_signals = prometheus_client.Counter(
    "dogwoodchute_endpoints_left",
    "Endpoints that began to leave, by how this host learned of it.",
    ["source"],
)
hold_off_requests = prometheus_client.Counter(
    "dogwoodchute_endpoint_hold_offs",
    "Refusals by which an endpoint asked for a pause, by whether it was granted.",
    ["outcome"],
)

Decode = abc.Callable[[str, bytes], model.Endpoint]


class Departure(typing.NamedTuple):
    """An endpoint's own word that it is leaving."""

    endpoint: str
    started_at_ms: int  # of the endpoint's process, see `model.Endpoint`
    age: float  # seconds since the endpoint said so


class Listeners(typing.NamedTuple):
    """What is called after changes of the table."""

    changed: abc.Callable[[], None]
    removed: abc.Callable[[str], None]
    restarted: abc.Callable[[str], None]


class EndpointTable:
    """The endpoints' rows, and what the endpoints say of themselves in answers."""

    def __init__(
        self,
        *,
        table: str,
        decode: Decode,
        listeners: Listeners,
        limits: endpoint_limits.EndpointLimits,
        now: abc.Callable[[], float],
    ) -> None:
        self.limits = limits  # that endpoints name in answers
        self.is_loaded = False  # whether the table was read at least once
        self._reader = row_reader.RowReader(table=table, decode=decode)
        self._listeners = listeners
        self._now = now
        self._all: dict[str, model.Endpoint] = {}  # by id
        # Endpoints without a row that may renew it, and the monotonic seconds at which
        # the row was removed.
        self._missing: dict[str, float] = {}
        # Endpoints at whose address another one answered, until their rows change.
        self._replaced: set[str] = set()
        self._leaving = leaving.LeavingEndpoints()
        self._hold_offs = hold_offs.HoldOffs()
        self._reported_hold_offs: set[str] = set()  # endpoints with a logged bad value
        self._regained_at: abc.Callable[[], float] = lambda: 0.0

    def set_regained_at(self, regained_at: abc.Callable[[], float]) -> None:
        """Set the source of the time at which the table was readable again.

        `regained_at` returns the monotonic seconds of the end of the last outage.
        """
        self._regained_at = regained_at

    def apply_changes(
        self, all_rows: dict[str, rows.Row], changed: list[rows.Row]
    ) -> None:
        """Apply changed rows of the table."""
        self.is_loaded = True
        for row in changed:
            self._replaced.discard(row.key)
            endpoint = self._reader.read(row)
            if endpoint is None:
                self._remove(row.key)
                continue
            self._register(endpoint, row.version)
        self._listeners.changed()

    @property
    def count(self) -> int:
        """The number of registered endpoints, draining ones included."""
        return len(self._all)

    def __contains__(self, name: str) -> bool:
        return name in self._all

    def names(self, service: str) -> list[str]:
        """Return the ids of a service's endpoints, also of those that are leaving."""
        return [e.id for e in self._all.values() if e.service == service]

    def usable(self, service: str) -> list[model.Endpoint]:
        """Return the endpoints of a service that take new requests now."""
        now = self._now()
        return [
            endpoint
            for endpoint in self._staying(service)
            if not self._hold_offs.remaining(endpoint.id, now)
        ]

    def seconds_until_usable(self, service: str) -> float | None:
        """Return when the first endpoint takes requests, None if none is known to.

        This is 0 if one does now.
        """
        now = self._now()
        return min(
            (self._hold_offs.remaining(e.id, now) for e in self._staying(service)),
            default=None,
        )

    def mark_ended(self, endpoint: model.Endpoint) -> None:
        """Exclude an endpoint at whose address another one answered.

        It is used again once its row changes, since only a running endpoint renews it.
        """
        self._replaced.add(endpoint.id)
        log.warning("endpoint_ended", endpoint=endpoint.id, address=endpoint.address)

    def mark_leaving(self, endpoint: model.Endpoint) -> None:
        """Exclude an endpoint that said in an answer that it is leaving.

        It is used again if it restarts, or if it stays registered and doesn't repeat
        that for `leaving.SIGNAL_LIFETIME` seconds.
        """
        self._set_leaving(endpoint.id, self._now(), OWN_ANSWER)

    def learn_departures(self, departures: abc.Iterable[Departure]) -> None:
        """Exclude endpoints that told another host that they are leaving."""
        for each in departures:
            endpoint = self._all.get(each.endpoint)
            is_same_run = endpoint and endpoint.started_at_ms == each.started_at_ms
            if not is_same_run or not 0 <= each.age < leaving.SIGNAL_LIFETIME:
                continue
            said_at = self._now() - each.age
            known_at = self._leaving.signalled_at(each.endpoint, leaving.ENDPOINT)
            if known_at is None or known_at < said_at:
                self._set_leaving(each.endpoint, said_at, OTHER_HOST)

    def departures(self) -> list[Departure]:
        """Return the endpoints that said that they are leaving, to tell other hosts."""
        now = self._now()
        self._leaving.expire(now)
        found = []
        for name, said_at in self._leaving.signalled(leaving.ENDPOINT).items():
            if name not in self._all:
                continue
            started_at_ms = self._all[name].started_at_ms
            found.append(Departure(name, started_at_ms, max(0.0, now - said_at)))
        return found

    def hold_off(self, endpoint: model.Endpoint, seconds: float) -> None:
        """Send an endpoint nothing for `seconds`, as it asked when it refused."""
        self._hold_offs.record(endpoint.id, seconds, self._now())
        hold_off_requests.labels("granted").inc()
        log.info("endpoint_hold_off", endpoint=endpoint.id, seconds=f"{seconds:.3f}")

    def ignore_hold_off(self, endpoint: model.Endpoint, text: str) -> None:
        """Log, once for each endpoint, that it asked for a pause that is no number."""
        hold_off_requests.labels("ignored").inc()
        if endpoint.id in self._reported_hold_offs:
            return
        self._reported_hold_offs.add(endpoint.id)
        log.warning("endpoint_hold_off_ignored", endpoint=endpoint.id, value=text)

    def _staying(self, service: str) -> list[model.Endpoint]:
        """Return the endpoints of a service that aren't leaving, replaced or gone."""
        self._delete_expired()
        self._leaving.expire(self._now())
        return [
            e
            for e in self._all.values()
            if e.service == service
            and e.state == model.READY
            and e.id not in self._replaced
            and not self._leaving.is_leaving(e.id)
        ]

    def _set_leaving(self, name: str, said_at: float, source: str) -> None:
        if not self._leaving.set_signal(name, leaving.ENDPOINT, said_at):
            return
        leaving_signals.labels(source).inc()
        age = self._now() - said_at
        log.info("endpoint_leaving", endpoint=name, source=source, age=f"{age:.3f}")

    def _register(self, endpoint: model.Endpoint, version: int) -> None:
        before = self._all.get(endpoint.id)
        self._missing.pop(endpoint.id, None)
        self._all[endpoint.id] = endpoint
        if before == endpoint:
            return
        log.info(
            "endpoint_changed",
            endpoint=endpoint.id,
            service=endpoint.service,
            address=endpoint.address,
            state=endpoint.state,
            version=version,
        )
        if before is not None and before.started_at_ms != endpoint.started_at_ms:
            log.info("endpoint_restarted", endpoint=endpoint.id)
            self._forget(endpoint.id)
            self._listeners.restarted(endpoint.id)

    def _remove(self, name: str) -> None:
        if name not in self._all:
            return
        # While the store is unavailable endpoints can't renew their rows, which expire;
        # they come back soon after it is available again.
        if self._now() - self._regained_at() < RENEWAL_TIME:
            self._missing.setdefault(name, self._now())
            log.info("endpoint_lapsed", endpoint=name)
            return
        self._delete(name)

    def _delete_expired(self) -> None:
        if not self._missing or self._now() - self._regained_at() < RENEWAL_TIME:
            return
        for name in list(self._missing):
            del self._missing[name]
            self._delete(name)

    def _delete(self, name: str) -> None:
        endpoint = self._all.pop(name, None)
        self._forget(name)
        self._reported_hold_offs.discard(name)
        if endpoint is not None:
            log.info("endpoint_gone", endpoint=name, service=endpoint.service)
        self._listeners.removed(name)

    def _forget(self, name: str) -> None:
        """Drop what a run of an endpoint's process said of itself."""
        self._replaced.discard(name)
        self._hold_offs.forget(name)
        self.limits.forget(name)
        self._leaving.clear_signal(name, leaving.ENDPOINT)
