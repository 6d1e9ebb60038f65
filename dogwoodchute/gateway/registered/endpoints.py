"""The endpoints of the deployment: their load, and the choice for a request."""

import math
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import (
    ejection,
    placement,
    retry_budget,
    sizing,
    unanswered,
)
from dogwoodchute.gateway import calls, gossip, host_rows, model
from dogwoodchute.gateway.places import evacuations
from dogwoodchute.gateway.registered import endpoint_limits, endpoint_table
from dogwoodchute.gateway.warmup import cold_endpoints

PROMPT_RATE_WINDOW = 4.0  # seconds over which the sent prompt tokens are averaged
# Target latencies for which an endpoint may be silent with several requests.
QUIET_LATENCIES = 2.0
# Of the retry slack of the whole fleet that its hosts share. The rest covers hosts that
# restart, whose budgets begin anew.
BUDGET_SHARE = 0.5
# Of a cold endpoint against a warm one, so that it gets what others have no room for.
COLD_WEIGHT = 0.5

# Returns those of some endpoints, by id, at which a call may run.
MayRun = abc.Callable[
    [calls.Call, dict[str, model.Endpoint]], dict[str, model.Endpoint]
]


class _Usage:
    """This host's requests at one endpoint, and what it observed of them."""

    def __init__(self, *, memory_tokens: int) -> None:
        self.running = 0  # requests
        self.waiting_tokens = 0  # prompt tokens that the engine has yet to process
        self.heard_at = -math.inf  # monotonic seconds of the last bytes received
        self.unanswered = unanswered.Unanswered()
        self._memory_tokens = memory_tokens
        self.forget_run()

    def forget_run(self) -> None:
        """Forget what was observed of the endpoint's process, as a new one runs."""
        self.unanswered.record_sign_of_life()
        self.sent = placement.SentPrompts(memory_tokens=self._memory_tokens)
        self.slowness_estimator = placement.SlownessEstimator()
        # Monotonic seconds of the latest send whose answer has begun.
        self.latest_started_send = 0.0


class Endpoints:
    """The registered endpoints and this host's usage of them."""

    def __init__(
        self,
        *,
        deployment: model.Deployment,
        table_name: str,
        decode: endpoint_table.Decode,
        host_count: abc.Callable[[], int],
        other_hosts: abc.Callable[[], tuple[host_rows.Host, ...]],
        loads: abc.Callable[[], gossip.Loads],
        now: abc.Callable[[], float],
        evacuated: evacuations.Evacuations,
        cold: cold_endpoints.ColdEndpoints,
        may_run: MayRun = lambda call, endpoints: endpoints,
    ) -> None:
        self._deployment = deployment
        self._host_count = host_count
        self._loads = loads
        self._may_run = may_run
        self._evacuated = evacuated
        self._now = now
        self._prompt_rate = sizing.Demand(
            window=PROMPT_RATE_WINDOW, bias_corrected=True
        )
        self.table = endpoint_table.EndpointTable(
            table=table_name,
            decode=decode,
            listeners=endpoint_table.Listeners(
                changed=self._configure_ejectors,
                removed=self._drop_unused,
                restarted=self._forget_run,
            ),
            limits=endpoint_limits.EndpointLimits(
                host=deployment.host, others=other_hosts, now=now
            ),
            evacuated=evacuated,
            cold=cold,
            now=now,
        )
        self._usage: dict[str, _Usage] = {}
        self._ejectors: dict[str, ejection.Ejector] = {}
        self._retry_budgets: dict[str, retry_budget.RetryBudget] = {}

    def load(self) -> dict[str, tuple[int, int]]:
        """Return this host's running requests and waiting prompt tokens by endpoint."""
        return {
            name: (usage.running, usage.waiting_tokens)
            for name, usage in self._usage.items()
            if usage.running
        }

    def choose(self, call: calls.Call) -> model.Endpoint | None:
        """Return the endpoint for the next try of a call, None if none is left.

        Endpoints that the call was sent to before are left out.
        """
        self.table.count_held_back(call.service.name)
        untried = self._untried(call)
        if not untried:
            return None
        candidates = self._candidates(list(untried.values()), call.service)
        prompt = call.request.prompt
        if call.service.engine is None or prompt is None:
            chosen = placement.choose_plain(candidates)
            return untried[chosen.name] if chosen is not None else None
        choice = placement.choose_engine(
            candidates,
            parts=prompt.parts,
            input_tokens=prompt.input_tokens,
            cached=lambda name: self._usage_of(name, call.service).sent.cached(
                prompt.parts
            ),
            unreported_seconds=self._unreported_seconds(),
        )
        if choice is None:
            return None
        engine = choice.engine
        call.expected_wait = placement.queue_seconds(
            engine
        ) + placement.network_seconds(engine)
        call.cached_tokens = choice.cached
        return untried[engine.name]

    def has_untried(self, call: calls.Call) -> bool:
        """Return whether an endpoint is left for another try of a call."""
        return bool(self._untried(call))

    def _untried(self, call: calls.Call) -> dict[str, model.Endpoint]:
        """Return the endpoints for the next try of a call, by id.

        If all were tried, these are the ones to which connecting took too long. Silent
        endpoints are left out; engines only while others answer, as they may rightly
        be silent for seconds.
        """
        found = self.table.usable(call.service.name, self._accepts(call))
        usable = {e.id: e for e in found}
        usable = self._may_run(call, usable)
        answering = {i: e for i, e in usable.items() if not self._silence(call, i)}
        if answering or call.service.engine is None:
            usable = answering
        untried = {i: e for i, e in usable.items() if i not in call.tried_endpoints}
        if untried:
            return untried
        return {i: e for i, e in usable.items() if i in call.slow_to_connect}

    def seconds_until_turn(self, call: calls.Call) -> float:
        """Return when the caller of a call without an endpoint should return."""
        service, accepts = call.service.name, self._accepts(call)
        seconds = self.table.next_turn(service, accepts)
        if seconds:
            return seconds
        usable = self.table.usable(service, accepts)
        return min((self._silence(call, each.id) for each in usable), default=0.0)

    def seconds_until_usable(self, call: calls.Call) -> float | None:
        """Return when an endpoint takes a call, 0 for now, None if none is known to."""
        return self.table.seconds_until_usable(call.service.name, self._accepts(call))

    def has_endpoint(self, service: str, regions: frozenset[str]) -> bool:
        """Return whether a service has an endpoint in some regions, usable or not."""
        return self.table.has_accepted(service, self._in_regions(regions))

    def progress(self, data_centre: str) -> evacuations.Progress:
        """Return what this host has at the endpoints of a data centre."""
        names = self.table.in_data_centre(data_centre)
        usages = (self._usage.get(name) for name in names)
        running = sum(usage.running for usage in usages if usage is not None)
        return evacuations.Progress(len(names), running)

    def _accepts(self, call: calls.Call) -> endpoint_table.Accepts:
        """Return whether a call may use an endpoint, by the regions it is allowed."""
        if call.allowed_regions is None:
            return endpoint_table.accept_all
        return self._in_regions(call.allowed_regions)

    def _in_regions(self, regions: frozenset[str]) -> endpoint_table.Accepts:
        region_of = self._deployment.regions
        return lambda endpoint: region_of.get(endpoint.data_centre) in regions

    def _silence(self, call: calls.Call, name: str) -> float:
        """Return the seconds for which an endpoint is left out, as it is silent."""
        usage = self._usage.get(name)
        if usage is None:
            return 0.0
        quiet = QUIET_LATENCIES * call.route.target_latency
        return usage.unanswered.seconds_until_trial(quiet, self._now())

    def start_request(self, call: calls.Call, endpoint: model.Endpoint) -> calls.Send:
        """Count a call as sent to an endpoint that was just chosen for it."""
        self.table.limits.take(endpoint.id)
        if self.table.cold.may_have_any:
            self.table.cold.take(endpoint)
        usage = self._usage_of(endpoint.id, call.service)
        usage.running += 1
        usage.unanswered.record_send(self._now())
        send = calls.Send(
            endpoint=endpoint, at=self._now(), expected_wait=call.expected_wait
        )
        prompt = call.request.prompt
        if prompt is not None:
            send.waiting_tokens = max(0, prompt.input_tokens - call.cached_tokens)
            usage.sent.record(prompt.parts)
            self._prompt_rate.record_use(send.at, send.waiting_tokens)
            usage.waiting_tokens += send.waiting_tokens
        return send

    def remove_waiting_tokens(self, send: calls.Send) -> bool:
        """Remove prompt tokens that the engine has processed or will not process.

        Returns whether they were still counted.
        """
        if not send.is_waiting:
            return False
        send.is_waiting = False
        self._usage[send.endpoint.id].waiting_tokens -= send.waiting_tokens
        return True

    def record_first_event(self, send: calls.Send) -> None:
        """Record how long an engine took to the first event of its answer."""
        now = self._now()
        usage = self._usage[send.endpoint.id]
        usage.latest_started_send = max(usage.latest_started_send, send.at)
        prefill_seconds = send.waiting_tokens / placement.PREFILL_TOKENS_PER_SECOND
        usage.slowness_estimator.record(
            now, took=now - send.at, expected=send.expected_wait + prefill_seconds
        )

    def record_sign_of_life(self, endpoint: str) -> None:
        """Record that bytes of an endpoint have just arrived."""
        usage = self._usage[endpoint]
        usage.heard_at = self._now()
        usage.unanswered.record_sign_of_life()

    def record_not_sent(self, endpoint: str) -> None:
        """Record that no byte of a request was sent to an endpoint."""
        self._usage[endpoint].unanswered.record_not_sent()

    def seconds_silent(self, endpoint: str) -> float:
        """Return the seconds since the last bytes of an endpoint arrived here."""
        return self._now() - self._usage[endpoint].heard_at

    def was_overtaken(self, send: calls.Send) -> bool:
        """Return whether an engine started requests sent after this unanswered call.

        Engines start requests in order, so an overtaken call was started and its answer
        lost. A call that was not overtaken still waits there and uses no tokens.
        """
        return self._usage[send.endpoint.id].latest_started_send > send.at

    def finish_request(self, endpoint: model.Endpoint) -> None:
        """Count a call as no longer running at an endpoint."""
        self._usage[endpoint.id].running -= 1
        self._evacuated.record_finished(endpoint.data_centre)
        if endpoint.id not in self.table:
            self._drop_unused(endpoint.id)

    def record_success(self, endpoint: model.Endpoint) -> None:
        """Record a complete answer for the ejection of endpoints."""
        self._ejector_of(endpoint.service).record_success(endpoint.id)

    def record_failure(self, endpoint: model.Endpoint, reason: str) -> None:
        """Record a failure, which may eject the endpoint for a while."""
        if self._ejector_of(endpoint.service).record_failure(endpoint.id, self._now()):
            log.warning("endpoint_ejected", endpoint=endpoint.id, reason=reason)

    def count_request(self, service: str) -> None:
        """Count a request towards the retry budget of a service."""
        self._retry_budget(service).count_request()

    def take_retry(self, service: str) -> bool:
        """Take a retry from the budget of a service; return False if it is used up."""
        return self._retry_budget(service).try_spend()

    def _retry_budget(self, service: str) -> retry_budget.RetryBudget:
        bounds = self._deployment.bounds
        maximum = max(1.0, BUDGET_SHARE * bounds.retry_slack / self._host_count())
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = retry_budget.RetryBudget(
                share=bounds.retry_ratio, max_balance=maximum
            )
        budget.set_max_balance(maximum)
        return budget

    def _candidates(
        self, endpoints: list[model.Endpoint], service: model.Service
    ) -> list[placement.Candidate]:
        loads = self._loads().reported
        ejector = self._ejector_of(service.name)
        now = self._now()
        weights = {e.id: ejector.weight(e.id, now) for e in endpoints}
        if not any(weights.values()):
            weights = dict.fromkeys(weights, 1.0)
        has_cold = self.table.cold.may_have_any
        candidates = []
        for endpoint in endpoints:
            weight = weights[endpoint.id]
            if has_cold and self.table.cold.is_cold(endpoint):
                weight *= COLD_WEIGHT
            usage = self._usage_of(endpoint.id, service)
            running, waiting_tokens = usage.running, usage.waiting_tokens
            for load in loads:
                at_endpoint = load.get(endpoint.id)
                if at_endpoint is None:
                    continue
                running += at_endpoint[0]
                waiting_tokens += at_endpoint[1]
            candidates.append(
                placement.Candidate(
                    name=endpoint.id,
                    distance=self._distance(endpoint),
                    running=running,
                    waiting_tokens=waiting_tokens,
                    weight=weight,
                    slots=endpoint.slots,
                    slowness=usage.slowness_estimator.slowness(now),
                )
            )
        return candidates

    def _unreported_seconds(self) -> float:
        """Return the processing time in seconds of prompts not yet in reported loads.

        Other hosts sent these prompts to engines after they reported their loads.
        Callers spread over all hosts, so each host sends about as much as this one.
        """
        sent_tokens = self._prompt_rate.rate(self._now()) * self._loads().age
        other_hosts = self._host_count() - 1
        return other_hosts * sent_tokens / placement.PREFILL_TOKENS_PER_SECOND

    def _distance(self, endpoint: model.Endpoint) -> int:
        own = self._deployment
        if endpoint.data_centre == own.data_centre:
            return 0
        same_region = own.regions.get(endpoint.data_centre) == own.region
        return 1 if same_region else 2

    def _usage_of(self, name: str, service: model.Service) -> _Usage:
        usage = self._usage.get(name)
        if usage is None:
            engine = service.engine
            memory = engine.memory_tokens if engine is not None else 0
            usage = self._usage[name] = _Usage(memory_tokens=memory)
        return usage

    def _ejector_of(self, service: str) -> ejection.Ejector:
        ejector = self._ejectors.get(service)
        if ejector is None:
            ejector = ejection.Ejector(floors=ejection.Floors())
            self._ejectors[service] = ejector
            self._configure_ejectors()
        return ejector

    def _configure_ejectors(self) -> None:
        for service, ejector in self._ejectors.items():
            ejector.configure(self.table.names(service))

    def _drop_unused(self, name: str) -> None:
        """Drop the usage of an endpoint without a row, unless requests still run."""
        usage = self._usage.get(name)
        if usage is not None and usage.running == 0:
            del self._usage[name]

    def _forget_run(self, name: str) -> None:
        if name in self._usage:
            self._usage[name].forget_run()
