"""Simulates a fleet's requests to engines, which process prompts in order.

The engines cache the prompts that they have processed.
"""

import heapq
import itertools
import random
import statistics
import typing

from dogwoodchute.coordination import load_groups, placement
from dogwoodchute.gateway import gossip, model
from dogwoodchute.gateway.registered import endpoints
from dogwoodchute.tests import gateway_calls, warm_endpoints

SERVICE = "engines"
PREFILL_RATE = 49_600.0  # prompt tokens that an engine processes per second
MEMORY = 404_000  # tokens of an engine
CACHE = 0.9  # of an engine's memory, for prompts that have been processed
STEP = 0.012  # seconds of an engine's first step
RUN_TIME = 1.0  # seconds from the first event to the last
WARM_UP = 12.0  # seconds until each shared part was processed once

ROUTE = model.Route(
    name="r1",
    host="site.example",
    prefix="/s/",
    kind=model.STREAM,
    timeout=10.0,
    target_latency=0.8,
    priority=0,
    splits=(("engines", 1),),
    max_attempts=2,
    public=True,
    resumable=True,
)


class Kind(typing.NamedTuple):
    """Requests of one kind; sizes are in tokens."""

    rate: float  # requests per second, of the whole fleet
    prefixes: int  # different shared parts in use
    shared: int  # size of a shared part
    own: int  # size of the rest of the prompt


# The long, middle and short prompts of a deployment of 60 hosts.
KINDS = (
    Kind(36.8, 417, 13_300, 3_720),
    Kind(27.7, 208, 6_300, 2_890),
    Kind(55.0, 414, 350, 1_110),
)


class Result(typing.NamedTuple):
    """Seconds to the first event, tokens processed again, and the balance of load."""

    median: float
    late: float  # the 95th percentile
    processed_again: float  # share of the shared tokens of all requests
    imbalance: float  # requests of the busiest engine, as a multiple of the mean


class _Engine:
    def __init__(self):
        self.cache = placement.SentPrompts(
            memory_tokens=int(MEMORY * CACHE / placement.MEMORY_SHARE)
        )
        self.free_at = 0.0  # seconds: all prompts so far have been processed
        self.requests = 0


def _endpoint(number):
    zone = f"z{number % 6}"
    return model.Endpoint(
        f"e{number}", SERVICE, f"10.0.0.{number}:1", zone, model.READY, 64
    )


def _max_report_age(hosts):
    """Return the seconds between reports of a load.

    In a fleet with groups a load is reported in two steps.
    """
    if load_groups.group_count(hosts) == 1:
        return gossip.INTERVAL
    return 2 * gossip.GROUPS_INTERVAL


def _deployment(number):
    zone = f"z{number % 6}"
    return model.Deployment(
        host=f"h{number}",
        data_centre=zone,
        region=f"r{number % 2}",
        regions={f"z{n}": f"r{n % 2}" for n in range(6)},
        callers="",
        readiness="",
        control="",
        gossip="",
        heartbeats="",
        directory="",
        seeds=(),
        store="",
        bounds=model.Bounds(),
    )


class _FixedEndpoints(endpoints.Endpoints):
    """A host's endpoints, set directly instead of by rows of a table."""

    def set_endpoints(self, fixed):
        self.table._all = {e.id: e for e in fixed}
        self.table.is_loaded = True


class Simulation:
    """The fleet, its engines and the virtual time."""

    def __init__(self, *, hosts, engines, seed):
        self._now = 0.0
        self._rng = random.Random(seed)
        self._engines = {f"e{n}": _Engine() for n in range(engines)}
        self._service = model.Service(SERVICE, model.Engine(64, MEMORY, 4))
        self._reports = {}  # time and load of the last report, by host
        self._hosts = [self._make_host(n, hosts) for n in range(hosts)]
        for host in self._hosts:
            host.set_endpoints([_endpoint(n) for n in range(engines)])
        self._interval = _max_report_age(hosts)
        self._order = itertools.count()

    def run(self, *, seconds, kinds=KINDS):
        """Simulate requests for some seconds; return the result after the warm-up."""
        events = []
        for number in range(len(self._hosts)):
            first = self._rng.uniform(0, self._interval)
            self._schedule(events, first, self._report_load, number)
        for kind in kinds:
            self._schedule(events, 0.0, self._arrive, kind)
        waits, repeated_tokens, shared_tokens = [], 0, 0
        while events:
            at, _, action, argument = heapq.heappop(events)
            if at > seconds:
                break
            self._now = at
            sent = action(events, argument)
            if sent is None or at < WARM_UP:
                continue
            waits.append(sent[0])
            repeated_tokens += sent[1]
            shared_tokens += sent[2]
        requests = [engine.requests for engine in self._engines.values()]
        waits.sort()
        return Result(
            waits[len(waits) // 2],
            waits[int(0.95 * len(waits))],
            repeated_tokens / shared_tokens,
            max(requests) / statistics.mean(requests),
        )

    def _make_host(self, number, hosts):
        return _FixedEndpoints(
            deployment=_deployment(number),
            decode=None,
            table_name="servers",
            host_count=lambda: hosts,
            other_hosts=lambda: (),
            loads=lambda: self._loads(number),
            **warm_endpoints.parts(lambda: self._now),
            now=lambda: self._now,
        )

    def _loads(self, number):
        others = [report for n, report in self._reports.items() if n != number]
        if not others:
            return gossip.Loads([], 0.0)
        age = statistics.mean(self._now - at for at, _ in others)
        return gossip.Loads([load for _, load in others], age)

    def _schedule(self, events, at, action, argument):
        heapq.heappush(events, (at, next(self._order), action, argument))

    def _report_load(self, events, number):
        self._reports[number] = (self._now, self._hosts[number].load())
        pause = self._interval * self._rng.uniform(0.9, 1.1)
        self._schedule(events, self._now + pause, self._report_load, number)

    def _arrive(self, events, kind):
        pause = self._rng.expovariate(kind.rate)
        self._schedule(events, self._now + pause, self._arrive, kind)
        prefix = self._rng.randrange(kind.prefixes)
        own = f"own{next(self._order)}"
        parts = (
            model.Part(f"{kind.shared}-{prefix}", kind.shared),
            model.Part(own, kind.own),
        )
        return self._send(events, self._rng.choice(self._hosts), kind, parts)

    def _send(self, events, host, kind, parts):
        call = self._call(parts)
        endpoint = host.choose(call)
        send = host.start_request(call, endpoint)
        engine = self._engines[endpoint.id]
        engine.requests += 1
        uncached = kind.shared + kind.own - engine.cache.cached(parts)
        repeated_tokens = kind.shared if uncached > kind.own else 0
        engine.cache.record(parts)
        engine.free_at = max(engine.free_at, self._now) + uncached / PREFILL_RATE
        first = engine.free_at + STEP
        sent = (host, send)
        self._schedule(events, first, self._handle_first_event, sent)
        self._schedule(events, first + RUN_TIME, self._finish, sent)
        return first - self._now, repeated_tokens, kind.shared

    def _handle_first_event(self, events, sent):
        host, send = sent
        host.remove_waiting_tokens(send)
        host.record_first_event(send)

    def _finish(self, events, sent):
        host, send = sent
        host.finish_request(send.endpoint)

    def _call(self, parts):
        tokens = sum(part.tokens for part in parts)
        prompt = model.Prompt(tokens, 120, parts)
        call = gateway_calls.call(received=self._now, prompt=prompt)
        call.service = self._service
        call.route = ROUTE
        return call
