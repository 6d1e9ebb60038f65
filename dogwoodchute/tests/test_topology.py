"""The graph of streams has a bounded degree and survives the loss of a data centre."""

import hypothesis
from hypothesis import strategies

from dogwoodchute.coordination import topology
from dogwoodchute.tests import support

CENTRES = strategies.lists(
    strategies.tuples(strategies.sampled_from("abcde"), strategies.integers(1, 25)),
    min_size=1,
    max_size=12,
)


def places_of(centres):
    return [
        topology.Place(f"{region}{index}-{n}", region, f"{region}{index}")
        for index, (region, size) in enumerate(centres)
        for n in range(size)
    ]


def component_count(hosts, edges):
    """Return the number of connected components of the graph among `hosts`."""
    linked = {host: set() for host in hosts}
    for one, other in edges:
        if one in linked and other in linked:
            linked[one].add(other)
            linked[other].add(one)
    found = 0
    while linked:
        found += 1
        frontier = [next(iter(linked))]
        while frontier:
            frontier.extend(linked.pop(frontier.pop(), ()))
    return found


class TopologyTest(support.TestCase):
    @support.fuzz_settings(60)
    @hypothesis.given(centres=CENTRES, order=strategies.randoms())
    def test_any_fleet(self, centres, order):
        places = places_of(centres)
        edges = topology.edges(places)
        shuffled = list(places)
        order.shuffle(shuffled)
        self.assertEqual(edges, topology.edges(shuffled))
        self.assertTrue(all(one < other for one, other in edges))
        degree = {place.host: 0 for place in places}
        for one, other in edges:
            degree[one] += 1
            degree[other] += 1
        self.assertLessEqual(max(degree.values()), topology.MAX_DEGREE)
        self.assertEqual(1, component_count(degree, edges))
        for lost in {place.data_centre for place in places}:
            left = {p.host for p in places if p.data_centre != lost}
            self.assertLessEqual(component_count(left, edges), 1)

    def test_two_years_fleet_is_sparse(self):
        centres = [("abcde"[n % 5], 18) for n in range(18)] + [("e", 16)]
        edges = topology.edges(places_of(centres))
        self.assertLess(2 * len(edges) / 340, 6)

    def test_neighbours_are_symmetric(self):
        places = places_of([("a", 4), ("b", 3)])
        for place in places:
            for other in topology.neighbours(places, place.host):
                self.assertIn(place.host, topology.neighbours(places, other))

    def test_check_sees_a_graph_that_a_lost_data_centre_cuts(self):
        places = places_of([("a", 3), ("b", 3), ("c", 3)])
        edges = topology.edges(places)
        broken = {pair for pair in edges if {pair[0][0], pair[1][0]} != {"a", "c"}}
        left = {p.host for p in places if p.region != "b"}
        self.assertEqual(1, component_count({p.host for p in places}, broken))
        self.assertEqual(2, component_count(left, broken))
