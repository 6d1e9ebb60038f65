"""Membership on simulated links and time, while hosts and links fail."""

import contextlib

import hypothesis
from hypothesis import stateful, strategies

from dogwoodchute.coordination import membership, topology
from dogwoodchute.tests import support, support_fleet

PLACES = [
    topology.Place(f"{centre}-{n}", centre[0], centre)
    for centre in ("a1", "a2", "b1", "b2")
    for n in range(2)
]
NAMES = [place.host for place in PLACES]
EDGES = topology.edges(PLACES)
TICK = 0.25  # seconds
SILENT = 1.6  # seconds without a byte after which a stream counts as broken
BOUND = 3.0  # seconds after the last fault until all hosts must agree


class Net:
    """Hosts and their streams.

    A cut link delivers nothing and reports no error, so that a host detects it by
    silence only. Closed streams are opened again at each tick if the link works.
    """

    def __init__(self, make=membership.Members):
        self.make = make
        self.now = 0.0
        self.last_fault_at = 0.0  # time of the last fault
        self.up = {}  # members by running host
        self.paused = set()
        self.cut = set()  # links, as sets of two hosts
        self.generations = dict.fromkeys(NAMES, 0)
        self.streams = {}  # open ones, time of the last byte by (host, peer)
        self.highest = {}  # greatest age key seen, by (host, known host)
        for name in NAMES:
            self.start(name)

    def fault(self):
        self.last_fault_at = self.now

    def start(self, name):
        self.generations[name] += 1
        place = PLACES[NAMES.index(name)]
        self.up[name] = self.make(
            own=support_fleet.core_of(place, self.generations[name])
        )
        self.highest = {k: v for k, v in self.highest.items() if k[0] != name}
        self.fault()

    def kill(self, name):
        self.up.pop(name, None)
        self.paused.discard(name)
        for pair in list(self.streams):
            if name in pair:
                self.lose(*pair, killed=name)
        self.fault()

    def lose(self, name, peer, killed=None):
        self.streams.pop((name, peer), None)
        if name in self.up and name != killed:
            self.up[name].disconnect(peer)

    def is_connected(self, one, other):
        both = one in self.up and other in self.up
        is_paused = {one, other} & self.paused
        return both and not is_paused and frozenset((one, other)) not in self.cut

    def tick(self):
        self.now += TICK
        for one, other in EDGES:
            self.keep_stream(one, other)
        for name, members in self.up.items():
            if name in self.paused:
                continue
            hears = sorted(peer for mine, peer in self.streams if mine == name)
            members.change_own(hears=tuple(hears))
        while self.exchange():
            pass

    def keep_stream(self, one, other):
        if self.is_connected(one, other):
            new = (one, other) not in self.streams or (other, one) not in self.streams
            for name, peer in ((one, other), (other, one)):
                if new:
                    self.up[name].connect(peer)
                self.streams[name, peer] = self.now
            if new:
                for name, peer in ((one, other), (other, one)):
                    self.up[name].compare(peer, self.up[peer].digest())
            return
        for name, peer in ((one, other), (other, one)):
            since = self.streams.get((name, peer))
            if name in self.paused or since is None:
                continue
            if self.now - since > SILENT:
                self.lose(name, peer)

    def exchange(self):
        sent = 0
        for name, peer in list(self.streams):
            if not self.is_connected(name, peer) or (peer, name) not in self.streams:
                continue
            cores = self.up[name].pop_cores(peer, 100)
            hints = self.up[name].pop_hints(peer, 100, near=True)
            hints += self.up[name].pop_hints(peer, 100, near=False)
            self.up[peer].receive(name, cores, hints)
            sent += len(cores) + len(hints)
        return sent

    def reachable(self, name):
        """Return the hosts that a chain of working links leads to."""
        found = {name}
        frontier = [name]
        while frontier:
            at = frontier.pop()
            for one, other in EDGES:
                if at not in (one, other):
                    continue
                peer = other if at == one else one
                if peer not in found and self.is_connected(at, peer):
                    found.add(peer)
                    frontier.append(peer)
        return found

    def check(self, case):
        for name, members in self.up.items():
            for host, known in members.cores.items():
                seen = self.highest.get((name, host), (0, "", 0))
                case.assertGreaterEqual(known.age_key, seen)
                self.highest[name, host] = known.age_key
        if self.now - self.last_fault_at < BOUND:
            return
        for name, members in self.up.items():
            if name in self.paused:
                continue
            case.assertEqual(self.reachable(name), set(members.alive()))
            for host in self.reachable(name):
                case.assertEqual(self.up[host].own, members.cores[host])
                case.assertEqual(self.up[host].hints, members.hints)


class MembersMachine(stateful.RuleBasedStateMachine):
    """Starts, stops and cuts off hosts, and checks what they know of one another."""

    make = membership.Members

    def __init__(self):
        super().__init__()
        self.net = Net(self.make)
        self.case = support.TestCase("run_async")
        self.said = 0

    @stateful.rule(ticks=strategies.integers(1, 16))
    def wait(self, ticks):
        for _ in range(ticks):
            self.net.tick()
            self.net.check(self.case)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def kill(self, name):
        self.net.kill(name)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def restart(self, name):
        self.net.kill(name)
        self.net.start(name)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def pause_or_resume(self, name):
        if name in self.net.up:
            self.net.paused ^= {name}
            self.net.fault()

    @stateful.rule(
        one=strategies.sampled_from(NAMES), other=strategies.sampled_from(NAMES)
    )
    def cut_or_mend(self, one, other):
        self.net.cut ^= {frozenset((one, other))}
        self.net.fault()

    @stateful.rule()
    def cut_regions(self):
        self.net.cut |= {frozenset(e) for e in EDGES if e[0][0] != e[1][0]}
        self.net.fault()

    @stateful.rule()
    def mend_all(self):
        self.net.cut.clear()
        self.net.fault()

    @stateful.rule(name=strategies.sampled_from(NAMES), leaving=strategies.booleans())
    def speak(self, name, leaving):
        if name in self.net.up and name not in self.net.paused:
            self.said += 1
            self.net.up[name].publish_hints({"load": self.said})
            self.net.up[name].change_own(leaving=leaving)
            self.net.fault()


class AcceptsOlder(membership.Members):
    """A mutant: any core replaces the one that is known."""

    def _apply_core(self, core, *, source):
        if core.host != self._host:
            self.cores[core.host] = core
        return False


class HoldsAllAlive(membership.Members):
    """A mutant: all known hosts count as alive."""

    def _reachable(self):
        return frozenset(self.cores)


class PassesNothingOn(membership.Members):
    """A mutant: records from one peer are not forwarded to others."""

    def _store_core(self, core, *, source):
        super()._store_core(core, source=source)
        if source:
            for unsent in self._unsent.values():
                unsent.cores.pop(core.host, None)


class MachineTest(support.TestCase):
    def run_machine(self, members, examples):
        machine = type("Machine", (MembersMachine,), {"make": members})
        settings = support.fuzz_settings(examples, steps=30)
        if members is not membership.Members:
            phases = [hypothesis.Phase.generate]  # a smallest example is not needed
            settings = hypothesis.settings(settings, phases=phases)
        stateful.run_state_machine_as_test(machine, settings=settings)

    def test_members_machine(self):
        self.run_machine(membership.Members, 150)

    def test_machine_detects_injected_faults(self):
        for mutant in (AcceptsOlder, HoldsAllAlive, PassesNothingOn):
            with contextlib.redirect_stdout(None):
                self.assertRaises(AssertionError, self.run_machine, mutant, 60)


class MembersTest(support.TestCase):
    def test_a_newer_incarnation_of_this_host_is_recorded_and_never_adopted(self):
        members = membership.Members(own=support_fleet.core_of(PLACES[0], 3))
        members.receive("a2-0", [support_fleet.core_of(PLACES[0], 2)], [])
        self.assertIsNone(members.newer_incarnation)
        members.receive("a2-0", [support_fleet.core_of(PLACES[0], 4)], [])
        self.assertEqual(4, members.newer_incarnation.generation)
        self.assertEqual(3, members.own.generation)

    def test_replaced_incarnations_are_remembered(self):
        members = membership.Members(own=support_fleet.core_of(PLACES[0], 1))
        for generation in (1, 2):
            members.add_registered(support_fleet.core_of(PLACES[1], generation))
        name = PLACES[1].host
        self.assertTrue(members.is_replaced(name, f"{name}-1"))
        self.assertFalse(members.is_replaced(name, f"{name}-2"))
        self.assertFalse(members.is_replaced(name, f"{name}-3"))

    def test_bad_records_are_refused(self):
        good = list(support_fleet.core_of(PLACES[0], 3))
        self.assertEqual(
            support_fleet.core_of(PLACES[0], 3), membership.core_from_plain(good)
        )
        for bad in (good[:-1], ["x", "y", *good[2:]], [*good[:-1], [1]], 7):
            self.assertRaises((TypeError, ValueError), membership.core_from_plain, bad)
        self.assertRaises(ValueError, membership.hints_from_plain, ["h", 1, 1, []])
