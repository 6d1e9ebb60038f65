"""The endpoints of the deployment: who is there, how loaded, and which to use."""

from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import ejection, placement, retry_budget, sizing
from dogwoodchute.gateway import calls, gossip, model, rows

RETURN_TIME = 2.5  # seconds after an outage in which lapsed entries come back
READ_RATE_WINDOW = 4.0  # seconds over which the prompts sent to engines are averaged
BUDGET_SHARE = 0.5  # of the fleet's slack that hosts hand out, for those that restart

Decode = abc.Callable[[str, bytes], model.Endpoint]


class _Use:
    """What this host has under way at one endpoint."""

    def __init__(self, *, memory_tokens: int) -> None:
        self.running = 0
        self.waiting_tokens = 0
        self.sent = placement.Sent(memory_tokens=memory_tokens)
        self.pace = placement.Pace()
        self.latest_begun = 0.0  # monotonic seconds: the latest send that was begun


class Endpoints:
    """The registered endpoints and this host's use of them."""

    def __init__(
        self,
        *,
        deployment: model.Deployment,
        decode: Decode,
        format_error: type[Exception],
        hosts_known: abc.Callable[[], int],
        loads: abc.Callable[[], gossip.Loads],
        now: abc.Callable[[], float],
    ) -> None:
        self.known = False  # whether the list was ever read
        self._deployment = deployment
        self._decode = decode
        self._format_error = format_error
        self._hosts_known = hosts_known
        self._loads = loads
        self._now = now
        self._read_rate = sizing.Demand(window=READ_RATE_WINDOW, quick=True)
        self._all: dict[str, model.Endpoint] = {}
        self._lapsed: dict[str, float] = {}  # monotonic seconds when it went missing
        self._ended: set[str] = set()  # until their rows change
        self._uses: dict[str, _Use] = {}
        self._ejectors: dict[str, ejection.Ejector] = {}
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self._regained_at: abc.Callable[[], float] = lambda: 0.0

    def follow(self, regained_at: abc.Callable[[], float]) -> None:
        """Set what tells when the list could be read again after an outage."""
        self._regained_at = regained_at

    def changed(self, all_rows: dict[str, rows.Row], changed: list[rows.Row]) -> None:
        """Take in changed rows of the endpoints' table."""
        self.known = True
        for row in changed:
            self._ended.discard(row.key)
            if row.value is None:
                self._remove(row.key)
                continue
            try:
                endpoint = self._decode(row.key, row.value)
            except self._format_error as error:
                log.warning(
                    "endpoint_unreadable",
                    endpoint=row.key,
                    version=row.version,
                    reason=str(error),
                )
                self._remove(row.key)
                continue
            before = self._all.get(endpoint.id)
            self._lapsed.pop(endpoint.id, None)
            self._all[endpoint.id] = endpoint
            if before != endpoint:
                log.info(
                    "endpoint_changed",
                    endpoint=endpoint.id,
                    service=endpoint.service,
                    address=endpoint.address,
                    state=endpoint.state,
                    version=row.version,
                )
        self._configure()

    @property
    def count(self) -> int:
        """Endpoints that are registered, with those that drain."""
        return len(self._all)

    def ready(self, service: str) -> list[model.Endpoint]:
        """Return the endpoints of a service that take new requests."""
        self._expire()
        return [
            e
            for e in self._all.values()
            if e.service == service
            and e.state == model.READY
            and e.id not in self._ended
        ]

    def load(self) -> dict[str, tuple[int, int]]:
        """Return this host's requests and unread prompt tokens by endpoint."""
        return {
            name: (use.running, use.waiting_tokens)
            for name, use in self._uses.items()
            if use.running
        }

    def choose(self, call: calls.Call) -> model.Endpoint | None:
        """Return the endpoint to send a call to, None if there is none left."""
        usable = {e.id: e for e in self.ready(call.service.name)}
        fresh = {i: e for i, e in usable.items() if i not in call.tried}
        if not fresh:
            return None
        candidates = self._candidates(list(fresh.values()), call.service)
        prompt = call.request.prompt
        if call.service.engine is None or prompt is None:
            chosen = placement.choose_plain(candidates)
            return fresh[chosen.name] if chosen is not None else None
        choice = placement.choose_engine(
            candidates,
            parts=prompt.parts,
            input_tokens=prompt.input_tokens,
            cached=lambda name: self._use(name, call.service).sent.cached(prompt.parts),
            unseen=self._unseen(),
        )
        if choice is None:
            return None
        engine = choice.engine
        call.expected = placement.wait(engine) + placement.way(engine)
        call.cached = choice.cached
        return fresh[engine.name]

    def begin(self, call: calls.Call, endpoint: model.Endpoint) -> int:
        """Count a call as sent; return the prompt tokens that wait there for it."""
        use = self._use(endpoint.id, call.service)
        use.running += 1
        prompt = call.request.prompt
        if prompt is None:
            return 0
        waiting = max(0, prompt.input_tokens - call.cached)
        use.sent.note(prompt.parts)
        self._read_rate.note(self._now(), waiting)
        use.waiting_tokens += waiting
        return waiting

    def read(self, endpoint: str, waiting: int) -> None:
        """Count a prompt as read, or as no longer waiting to be."""
        self._uses[endpoint].waiting_tokens -= waiting

    def first_event(self, call: calls.Call, endpoint: str, waiting: int) -> None:
        """Take in how long an engine took to the first event of an answer."""
        now = self._now()
        use = self._uses[endpoint]
        use.latest_begun = max(use.latest_begun, call.sent_at)
        own = waiting / placement.PREFILL_TOKENS_PER_SECOND
        use.pace.note(now, took=now - call.sent_at, expected=call.expected + own)

    def passed_over(self, call: calls.Call, endpoint: str) -> bool:
        """Return whether an engine began later requests than a call without answer.

        Engines begin requests in order, so such a call was begun and its answer lost.
        One that none has overtaken still waits there, and uses no tokens.
        """
        return self._uses[endpoint].latest_begun > call.sent_at

    def end(self, endpoint: str) -> None:
        """Count a call as ended."""
        self._uses[endpoint].running -= 1

    def succeeded(self, endpoint: model.Endpoint) -> None:
        """Count a whole answer."""
        self._ejector(endpoint.service).succeed(endpoint.id)

    def ended(self, endpoint: model.Endpoint) -> None:
        """Leave out an endpoint at whose address another one answered.

        A heartbeat of it would show that it is there all the same.
        """
        self._ended.add(endpoint.id)
        log.warning("endpoint_ended", endpoint=endpoint.id, address=endpoint.address)

    def failed(self, endpoint: model.Endpoint, reason: str) -> None:
        """Count a failure, after which the endpoint may get nothing for a while."""
        if self._ejector(endpoint.service).fail(endpoint.id, self._now()):
            log.warning("endpoint_ejected", endpoint=endpoint.id, reason=reason)

    def note_request(self, service: str) -> None:
        """Pay into a service's budget of repeats."""
        self._budget(service).count_request()

    def may_repeat(self, service: str) -> bool:
        """Take one repeat from a service's budget; return whether it covered it."""
        return self._budget(service).take()

    def _budget(self, service: str) -> retry_budget.RetryBudget:
        bounds = self._deployment.bounds
        most = max(1.0, BUDGET_SHARE * bounds.retry_slack / self._hosts_known())
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = retry_budget.RetryBudget(
                share=bounds.retry_ratio, most=most
            )
        budget.limit(most)
        return budget

    def _candidates(
        self, endpoints: list[model.Endpoint], service: model.Service
    ) -> list[placement.Candidate]:
        loads = self._loads().told
        ejector = self._ejector(service.name)
        now = self._now()
        weights = {e.id: ejector.weight(e.id, now) for e in endpoints}
        if not any(weights.values()):
            weights = dict.fromkeys(weights, 1.0)
        found = []
        for endpoint in endpoints:
            use = self._use(endpoint.id, service)
            running, waiting = use.running, use.waiting_tokens
            for load in loads:
                theirs = load.get(endpoint.id)
                if theirs is None:
                    continue
                running += theirs[0]
                waiting += theirs[1]
            found.append(
                placement.Candidate(
                    name=endpoint.id,
                    distance=self._distance(endpoint),
                    running=running,
                    waiting_tokens=waiting,
                    weight=weights[endpoint.id],
                    slots=endpoint.slots,
                    slowness=use.pace.slowness(now),
                )
            )
        return found

    def _unseen(self) -> float:
        """Return the seconds of reading that other hosts sent since they told loads.

        Callers spread over all hosts, so others send as much as this one.
        """
        tokens = self._read_rate.rate(self._now()) * self._loads().age
        others = self._hosts_known() - 1
        return others * tokens / placement.PREFILL_TOKENS_PER_SECOND

    def _distance(self, endpoint: model.Endpoint) -> int:
        place = self._deployment
        if endpoint.data_centre == place.data_centre:
            return 0
        same = place.regions.get(endpoint.data_centre) == place.region
        return 1 if same else 2

    def _use(self, name: str, service: model.Service) -> _Use:
        use = self._uses.get(name)
        if use is None:
            engine = service.engine
            memory = engine.memory_tokens if engine is not None else 0
            use = self._uses[name] = _Use(memory_tokens=memory)
        return use

    def _ejector(self, service: str) -> ejection.Ejector:
        ejector = self._ejectors.get(service)
        if ejector is None:
            ejector = ejection.Ejector(floors=ejection.Floors())
            self._ejectors[service] = ejector
            self._configure()
        return ejector

    def _configure(self) -> None:
        for service, ejector in self._ejectors.items():
            names = [e.id for e in self._all.values() if e.service == service]
            ejector.configure(names)

    def _remove(self, name: str) -> None:
        endpoint = self._all.get(name)
        if endpoint is None:
            return
        # Entries lapse while the store is away, and come back soon after it has.
        if self._now() - self._regained_at() < RETURN_TIME:
            self._lapsed.setdefault(name, self._now())
            log.info("endpoint_lapsed", endpoint=name)
            return
        self._drop(name)

    def _expire(self) -> None:
        if not self._lapsed or self._now() - self._regained_at() < RETURN_TIME:
            return
        for name in list(self._lapsed):
            del self._lapsed[name]
            self._drop(name)

    def _drop(self, name: str) -> None:
        endpoint = self._all.pop(name, None)
        self._ended.discard(name)
        if endpoint is not None:
            log.info("endpoint_gone", endpoint=name, service=endpoint.service)
        use = self._uses.get(name)
        if use is not None and use.running == 0:
            del self._uses[name]
