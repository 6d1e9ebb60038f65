"""The registered endpoints, and which of them take new requests."""

import math
import typing
from collections import abc

import prometheus_client

from dogwoodchute import log
from dogwoodchute.coordination import hold_offs, leaving, turns
from dogwoodchute.gateway import model, rows
from dogwoodchute.gateway.following import row_reader
from dogwoodchute.gateway.places import evacuations
from dogwoodchute.gateway.registered import (
    endpoint_history,
    endpoint_limits,
    endpoint_words,
)
from dogwoodchute.gateway.warmup import cold_endpoints

# Seconds after an outage of the store in which endpoints renew entries that expired.
RENEWAL_TIME = 2.5
# Seconds after which a caller finds another host, if this one may send nothing to
# endpoints at their limits.
OTHER_HOSTS_WAIT = 0.3

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

held_back = prometheus_client.Counter(
    "dogwoodchute_sends_held_back",
    "Choices of an endpoint that left out others at their limits.",
    ["service"],
)

Decode = abc.Callable[[str, bytes], model.Endpoint]


# Returns whether a call may use an endpoint, whatever that one's state.
Accepts = abc.Callable[[model.Endpoint], bool]


def accept_all(endpoint: model.Endpoint) -> bool:
    """Accept any endpoint."""
    return True


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
        evacuated: evacuations.Evacuations,
        cold: cold_endpoints.ColdEndpoints,
        now: abc.Callable[[], float],
    ) -> None:
        self.limits = limits  # that endpoints name in answers
        self.cold = cold
        self._evacuated = evacuated
        self.is_loaded = False  # whether the table was read at least once
        self._reader = row_reader.RowReader(table=table, decode=decode)
        self._listeners = listeners
        self._now = now
        self._all: dict[str, model.Endpoint] = {}  # by id
        # Software versions by service, found anew after a change of rows.
        self._versions: dict[str, frozenset[str]] = {}
        self._history = endpoint_history.EndpointHistory(now=now)
        # Endpoints without a row that may renew it, and the monotonic seconds at which
        # the row was removed.
        self._missing: dict[str, float] = {}
        # Endpoints at whose address another one answered, until their rows change.
        self._replaced: set[str] = set()
        self._leaving = leaving.LeavingEndpoints()
        self._hold_offs = hold_offs.HoldOffs()
        self._reported_hold_offs: set[str] = set()  # endpoints with a logged bad value
        self._turns = turns.Turns()
        self._store_returned_at: abc.Callable[[], float] = lambda: 0.0

    def set_store_returned_at(self, returned_at: abc.Callable[[], float]) -> None:
        """Set the source of the monotonic seconds at which the store was back."""
        self._store_returned_at = returned_at

    def apply_changes(
        self, all_rows: dict[str, rows.Row], changed: list[rows.Row]
    ) -> None:
        """Apply changed rows of the table."""
        self.is_loaded = True
        for row in changed:
            self._replaced.discard(row.key)
            endpoint = self._reader.read(row)
            if endpoint is None:
                self._history.record_removal(row.key)
                self._remove(row.key)
                continue
            if self._history.is_outdated(endpoint, row.version):
                log.info("endpoint_outdated", endpoint=row.key, version=row.version)
                continue
            self._history.record(endpoint)
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

    def versions(self, service: str) -> frozenset[str]:
        """Return the software versions of a service's registered endpoints."""
        known = self._versions.get(service)
        if known is None:
            known = frozenset(
                e.software for e in self._all.values() if e.service == service
            )
            self._versions[service] = known
        return known

    def has_accepted(self, service: str, accepts: Accepts) -> bool:
        """Return whether a service has an endpoint that is accepted, usable or not."""
        return any(e.service == service and accepts(e) for e in self._all.values())

    def in_data_centre(self, data_centre: str) -> list[str]:
        """Return the ids of the endpoints in a data centre."""
        return [e.id for e in self._all.values() if e.data_centre == data_centre]

    def usable(
        self, service: str, accepts: Accepts = accept_all
    ) -> list[model.Endpoint]:
        """Return the accepted endpoints of a service that take new requests now."""
        return [
            endpoint
            for endpoint in self._staying(service)
            if accepts(endpoint) and not self._seconds_held_off(endpoint)
        ]

    def seconds_until_usable(
        self, service: str, accepts: Accepts = accept_all
    ) -> float | None:
        """Return when the first accepted endpoint takes requests.

        This is 0 if one does now, and None if none is known to.
        """
        accepted = filter(accepts, self._staying(service))
        waits = [self._seconds_held_off(each) for each in accepted]
        if not waits:
            return None
        first = min(waits)
        return first if math.isfinite(first) else OTHER_HOSTS_WAIT

    def next_turn(self, service: str, accepts: Accepts = accept_all) -> float | None:
        """Return when a refused caller should return, None if that isn't known.

        Unlike `seconds_until_usable` this leaves each caller a turn of its own at
        endpoints that are at their limits.
        """
        first = self.seconds_until_usable(service, accepts)
        if not first:
            return first
        accepted = [each for each in self._staying(service) if accepts(each)]
        rate = self.limits.granted([each.id for each in accepted])
        if self.cold.may_have_any:
            rate += self.cold.granted(accepted)
        return self._turns.next(service, first, rate, self._now()) if rate else first

    def count_held_back(self, service: str) -> None:
        """Count a choice that leaves out endpoints of a service at their limits."""
        if not self.limits.has_any and not self.cold.may_have_any:
            return
        if any(self._seconds_limited(each) for each in self._staying(service)):
            held_back.labels(service).inc()

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
        self._set_leaving(endpoint.id, self._now(), endpoint_words.OWN_ANSWER)

    def learn_words(self, words: abc.Iterable[endpoint_words.Word]) -> None:
        """Heed what endpoints said of themselves to other hosts."""
        for word in words:
            endpoint = self._all.get(word.endpoint)
            is_same_run = endpoint and endpoint.started_at_ms == word.started_at_ms
            if not is_same_run or not 0 <= word.age < leaving.SIGNAL_LIFETIME:
                continue
            said_at = self._now() - word.age
            if word.kind == endpoint_words.LIMIT:
                self.limits.learn(word.endpoint, word.rate, said_at)
                continue
            known_at = self._leaving.signalled_at(word.endpoint, leaving.ENDPOINT)
            if known_at is None or known_at < said_at:
                self._set_leaving(word.endpoint, said_at, endpoint_words.OTHER_HOST)

    def words(self) -> list[endpoint_words.Word]:
        """Return what endpoints said of themselves, to tell other hosts."""
        now = self._now()
        self._leaving.expire(now)
        signals = self._leaving.signalled(leaving.ENDPOINT).items()
        said = [(name, at, endpoint_words.LEAVING, None) for name, at in signals]
        said += [
            (name, at, endpoint_words.LIMIT, rate)
            for name, rate, at in self.limits.said()
        ]
        return [
            endpoint_words.Word(
                name, self._all[name].started_at_ms, max(0.0, now - at), kind, rate
            )
            for name, at, kind, rate in said
            if name in self._all
        ]

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

    def _seconds_held_off(self, endpoint: model.Endpoint) -> float:
        """Return the seconds until an endpoint takes a request of this host.

        This is infinite if its limit leaves nothing to this host.
        """
        pause = self._hold_offs.remaining(endpoint.id, self._now())
        return max(pause, self._seconds_limited(endpoint))

    def _seconds_limited(self, endpoint: model.Endpoint) -> float:
        """Return the seconds until this host's share of a rate lets a request pass."""
        seconds = self.limits.wait(endpoint.id)
        if self.cold.may_have_any:
            return max(seconds, self.cold.wait(endpoint))
        return seconds

    def _staying(self, service: str) -> list[model.Endpoint]:
        """Return the endpoints of a service that may get requests, now or later.

        These aren't leaving, evacuated, replaced or gone.
        """
        self._delete_expired()
        self._leaving.expire(self._now())
        evacuated = self._evacuated.in_force
        return [
            e
            for e in self._all.values()
            if e.service == service
            and e.state == model.READY
            and e.data_centre not in evacuated
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
        self._versions.clear()
        if before is not None and before.started_at_ms != endpoint.started_at_ms:
            log.info("endpoint_restarted", endpoint=endpoint.id)
            self._forget(endpoint.id)
            self._listeners.restarted(endpoint.id)
        self.cold.hear(endpoint.id, endpoint.cold_for)
        if before is not None and before == endpoint._replace(
            sequence=before.sequence, cold_for=before.cold_for
        ):
            return
        log.info(
            "endpoint_changed",
            endpoint=endpoint.id,
            service=endpoint.service,
            address=endpoint.address,
            state=endpoint.state,
            software=endpoint.software or None,
            version=version,
        )

    def _remove(self, name: str) -> None:
        if name not in self._all:
            return
        # While the store is unavailable endpoints can't renew their rows, which expire;
        # they come back soon after it is available again.
        if self._now() - self._store_returned_at() < RENEWAL_TIME:
            self._missing.setdefault(name, self._now())
            log.info("endpoint_lapsed", endpoint=name)
            return
        self._delete(name)

    def _delete_expired(self) -> None:
        if not self._missing or self._now() - self._store_returned_at() < RENEWAL_TIME:
            return
        for name in list(self._missing):
            del self._missing[name]
            self._delete(name)

    def _delete(self, name: str) -> None:
        endpoint = self._all.pop(name, None)
        self._versions.clear()
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
        self.cold.forget(name)
        self._leaving.clear_signal(name, leaving.ENDPOINT)
