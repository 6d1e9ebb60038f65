"""Admission checked against a simple model, and the model against mutants."""

import math
import random

import hypothesis
from hypothesis import stateful, strategies

from dogwoodchute.coordination import (
    admission,
    ejection,
    limits,
    prefix_index,
    retry_budget,
    samples,
)
from dogwoodchute.tests import support

NAMES = ("a", "b", "c", "far")
FAR_LIMIT = 1  # requests in the other region
DONE = samples.Progress(0.1, 4.0, 200)
ACCOUNTS = {"growers": 1, "desk": 3, "lab": 1}


def make_endpoint(name, capacity=1):
    if name == "far":
        return admission.Endpoint(name, "arusha", capacity + FAR_LIMIT)
    return admission.Endpoint(name, "dar", capacity)


def ticket(number, account="growers", *, deadline=math.inf, **fields):
    return admission.AdmissionRequest(
        str(number), account, ACCOUNTS[account], 100, deadline, **fields
    )


def make(leaving=frozenset(), kind=admission.Admission, seed=1):
    return kind(
        region="dar",
        rng=random.Random(seed),
        leaving=lambda name: name in leaving,
        index=prefix_index.PrefixIndex(max_entries=100),
    )


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Tracks each request's state; every request must end exactly once."""

    kind = admission.Admission

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.leaving = set()
        self.admission = make(self.leaving, self.kind)
        self.admission.far_limit = FAR_LIMIT
        self.admission.configure([make_endpoint(name) for name in NAMES])
        self.names = set(NAMES)
        self.waiting = {}
        self.running = {}  # endpoint by request
        self.ended = set()
        self.tickets = {}
        self.offers = 0
        self.retries = 0

    def progress(self, seconds):
        """Return an answer whose first token came `seconds` ago, None for no token."""
        if seconds is None:
            return samples.Progress()
        return samples.Progress(self.now - seconds, self.now, 1 + int(seconds * 20))

    def check_decision(self, decision):
        request = decision.ticket.id
        assert request not in self.ended, "a request ended twice"
        assert request not in self.running, "a request was sent twice"
        if isinstance(decision, admission.Shed):
            assert 0.5 <= decision.retry_after <= 40
            self.ended.add(request)
            return
        assert self.now <= decision.ticket.deadline, "sent after its deadline"
        self.check_dispatch(request, decision.endpoint)

    def check_dispatch(self, request, endpoint):
        assert endpoint not in self.leaving, "new work for a leaving endpoint"
        assert endpoint in self.names, "new work for a withdrawn endpoint"
        self.running[request] = endpoint
        held = list(self.running.values()).count(endpoint)
        assert held <= self.admission.limit(endpoint).value, "above the limit"
        assert endpoint != "far" or held <= FAR_LIMIT, "too many in another region"

    def dispatch_waiting(self):
        for decision in self.admission.dispatch_waiting(self.now):
            del self.waiting[decision.ticket.id]
            self.check_decision(decision)

    @stateful.rule(
        accounts=strategies.lists(
            strategies.sampled_from(sorted(ACCOUNTS)), min_size=1, max_size=6
        ),
        patience=strategies.sampled_from((0.2, 1.2, 60.0)),
        block=strategies.integers(1, 3),
    )
    def offer(self, accounts, patience, block):
        for account in accounts:
            self.offer_one(account, patience, block)

    def offer_one(self, account, patience, block):
        self.offers += 1
        new = ticket(
            self.offers, account, deadline=self.now + patience, blocks=(block,)
        )
        self.tickets[new.id] = new
        decision = self.admission.submit(new, self.now)
        if decision is None:
            self.waiting[new.id] = new
            return
        self.check_decision(decision)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        data=strategies.data(),
        first_token=strategies.sampled_from((None, 0.1, 5.0)),
        twice=strategies.booleans(),
    )
    def release(self, data, first_token, twice):
        request = data.draw(strategies.sampled_from(sorted(self.running)))
        del self.running[request]
        for _ in range(1 + twice):
            self.admission.release(
                request, self.now, progress=self.progress(first_token)
            )
        self.ended.add(request)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data())
    def fail_and_retry(self, data):
        request = data.draw(strategies.sampled_from(sorted(self.running)))
        endpoint = self.running.pop(request)
        self.admission.release(request, self.now, failed=True)
        other = self.admission.retry(self.tickets[request], {endpoint}, self.now)
        if other is None:
            self.ended.add(request)
            return
        assert other != endpoint, "moved to the endpoint that failed"
        self.retries += 1
        self.check_dispatch(request, other)

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=strategies.data())
    def cancel(self, data):
        request = data.draw(strategies.sampled_from(sorted(self.waiting)))
        assert self.admission.cancel(request)
        assert not self.admission.cancel(request), "cancelled twice"
        del self.waiting[request]
        self.ended.add(request)

    @stateful.rule(
        name=strategies.sampled_from(NAMES),
        running=strategies.integers(0, 4),
        waiting=strategies.integers(0, 4),
        capacity=strategies.sampled_from((0, 1, 2, 8)),
    )
    def report(self, name, running, waiting, capacity):
        load = limits.Load(running, waiting, capacity, False, self.now)
        self.admission.update_report(name, load)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def toggle_leaving(self, name):
        self.leaving ^= {name}

    @stateful.rule(
        names=strategies.one_of(
            strategies.just({"far"}), strategies.sets(strategies.sampled_from(NAMES))
        )
    )
    def reconfigure(self, names):
        self.names = set(names)
        self.admission.configure([make_endpoint(name) for name in sorted(names)])

    @stateful.rule(
        seconds=strategies.sampled_from((0.05, 0.5, 2.0, 20.0)),
        hosts=strategies.integers(1, 4),
        late=strategies.sampled_from((None, 0.1, 5.0)),
    )
    def advance(self, seconds, hosts, late):
        self.now += seconds
        self.admission.hosts = hosts
        self.admission.tick(self.now, lambda request: self.progress(late))
        self.dispatch_waiting()

    @stateful.invariant()
    def permits_add_up(self):
        assert self.admission.in_flight == len(self.running), "permits were lost"
        assert self.admission.queued == len(self.waiting), "a request was lost"
        for name in self.names:
            held = list(self.running.values()).count(name)
            assert self.admission.limit(name).own == held, "permits were lost"

    @stateful.invariant()
    def shares_are_bounded(self):
        allowed = 1 + retry_budget.SHARE * self.offers
        assert self.retries <= allowed, "too many retries"
        weights = [self.admission.ejector.weight(n, self.now) for n in self.names]
        allowed = ejection.MAX_SHARE * len(self.names)
        assert weights.count(0.0) <= allowed, "too many ejected"

    @stateful.rule()
    def drain(self):
        self.now += 100.0
        self.leaving.clear()
        self.dispatch_waiting()
        while self.running:
            for request in list(self.running):
                self.admission.release(request, self.now)
                del self.running[request]
                self.ended.add(request)
            self.dispatch_waiting()
        assert not self.waiting, "a request never ended"
        assert len(self.ended) == self.offers, "a request never ended"


class AdmissionMachineTest(AdmissionMachine.TestCase):
    settings = support.fuzz_settings(60)


class IgnoresLeaving(admission.Admission):
    def __init__(self, **parts):
        super().__init__(**{**parts, "leaving": lambda name: False})


class ReleasesTwice(admission.Admission):
    def release(self, request_id, now, **sample):
        found = self._in_flight.get(request_id)
        super().release(request_id, now, **sample)
        if found and found.endpoint in self._limits:
            limit = self._limits[found.endpoint]
            limit.own = max(0, limit.own - 1)


class KeepsPermit(admission.Admission):
    def release(self, request_id, now, *, failed=False, **sample):
        if not failed:
            super().release(request_id, now, **sample)


class RetriesFreely(admission.Admission):
    def retry(self, ticket, tried, now):
        self.retries._balance = 9.0
        return super().retry(ticket, tried, now)


class CancelsHalf(admission.Admission):
    def cancel(self, request_id):
        return request_id in self._queued_requests


class EjectsAll(admission.Admission):
    def release(self, request_id, now, *, failed=False, **sample):
        super().release(request_id, now, failed=failed, **sample)
        if failed:
            for record in self.ejector._records.values():
                record.ejections, record.ejected_until = 1, now + 9.0


class ForgetsDeadlines(admission.Admission):
    def dispatch_waiting(self, now):
        return super().dispatch_waiting(now) if len(self._queued_requests) % 2 else []


class OverfillsEndpoints(admission.Admission):
    def configure(self, endpoints):
        super().configure(endpoints)
        for limit in self._limits.values():
            limit.has_room = lambda now, hosts: True


class CrossesFreely(admission.Admission):
    def _dispatch(self, ticket, endpoint, now):
        sent = super()._dispatch(ticket, endpoint, now)
        self._remote_in_flight = 0
        return sent


FAULT_MESSAGES = {
    CrossesFreely: "too many in another region",
    IgnoresLeaving: "new work for a leaving endpoint",
    # The limit of an endpoint may be dropped while another request needs it.
    ReleasesTwice: "permits were lost|release without acquire|^'[a-z]+'$",
    KeepsPermit: "permits were lost",
    ForgetsDeadlines: "a request never ended|sent after its deadline",
    RetriesFreely: "too many retries",
    CancelsHalf: "a request was lost|cancelled twice",
    EjectsAll: "too many ejected",
    OverfillsEndpoints: "above the limit",
}


class PlantedFaultsTest(support.TestCase):
    def test_the_machine_catches_each_planted_fault(self):
        for kind, message in FAULT_MESSAGES.items():
            machine = type("Mutant", (AdmissionMachine,), {"kind": kind})
            options = hypothesis.settings(
                support.fuzz_settings(400),
                phases=(hypothesis.Phase.generate,),
                report_multiple_bugs=False,
            )
            error = self.assertRaises(
                (AssertionError, ValueError, KeyError),
                stateful.run_state_machine_as_test,
                machine,
                settings=options,
            )
            self.assertRegex(str(error), message, kind.__name__)


class AdmissionTest(support.TestCase):
    def filled(self, *names, capacity=2):
        admitted = make()
        admitted.configure([make_endpoint(name, capacity) for name in names])
        for number in range(capacity * len(names)):
            decision = admitted.submit(ticket(f"fill{number}"), 0.0)
            self.assertIsInstance(decision, admission.Dispatch)
        return admitted

    def test_hopeless_request_is_shed_at_once(self):
        admitted = self.filled("a")
        for number in range(2):
            admitted.release(f"fill{number}", 4.0, progress=DONE)
            admitted.submit(ticket(f"more{number}"), 4.0)
        # Two at a time of four seconds each: a slot becomes free every two seconds.
        late = admitted.submit(ticket("x", deadline=5.2), 4.0)
        self.assertIsInstance(late, admission.Shed)
        self.assertEqual("overloaded", late.code)
        self.assertIsNone(admitted.submit(ticket("y", deadline=9.0), 4.0))

    def test_waiting_request_is_shed_before_its_deadline(self):
        admitted = self.filled("a")
        self.assertIsNone(admitted.submit(ticket("x", deadline=1.2), 0.0))
        self.assertEqual([], admitted.dispatch_waiting(1.1))
        shed = admitted.dispatch_waiting(1.2)
        self.assertEqual(["x"], [decision.ticket.id for decision in shed])
        self.assertIsInstance(shed[0], admission.Shed)

    def test_other_region_is_used_when_the_wait_is_dearer(self):
        admitted = make()
        admitted.configure([make_endpoint("a", 1), make_endpoint("far", 1)])
        admitted.submit(ticket("first"), 0.0)
        admitted.release("first", 4.0, progress=DONE)
        near = admitted.submit(ticket("x", link_seconds=0.2), 4.0)
        self.assertEqual("a", near.endpoint)
        far = admitted.submit(ticket("y", link_seconds=60.0, deadline=900.0), 4.0)
        self.assertIsNone(far)
        self.assertTrue(admitted.cancel("y"))
        far = admitted.submit(ticket("z", link_seconds=0.2), 4.0)
        self.assertEqual("far", far.endpoint)

    def test_requests_in_other_regions_are_bounded(self):
        admitted = make()
        admitted.configure([make_endpoint("far", 8)])
        admitted.far_limit = 2
        for number in range(2):
            sent = admitted.submit(ticket(number), 0.0)
            self.assertIsInstance(sent, admission.Dispatch)
        self.assertIsNone(admitted.submit(ticket("waits"), 0.0))
        admitted.release("0", 0.1)
        self.assertEqual(
            ["waits"], [d.ticket.id for d in admitted.dispatch_waiting(0.1)]
        )

    def test_refused_callers_are_spread_out(self):
        admitted = make()
        admitted.configure([])
        waits = [admitted.submit(ticket(n), 0.0).retry_after for n in range(20)]
        self.assertGreater(waits[-1], 10.0)
        self.assertEqual(20, len(set(waits)))

    def test_priority_orders_an_account_s_own_requests(self):
        admitted = self.filled("a", capacity=1)
        admitted.submit(ticket("later", priority=5), 0.0)
        admitted.submit(ticket("sooner", priority=-5), 0.0)
        admitted.release("fill0", 0.1)
        self.assertEqual(
            ["sooner"], [d.ticket.id for d in admitted.dispatch_waiting(0.1)]
        )
