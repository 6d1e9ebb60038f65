"""The hosts that the directory returns to callers."""

from dogwoodchute.gateway import directory
from dogwoodchute.tests import support

A1 = directory.Candidate("a1", "za", "r1")
A2 = directory.Candidate("a2", "za", "r1")
B1 = directory.Candidate("b1", "zb", "r1")
C1 = directory.Candidate("c1", "zc", "r2")


class DirectoryTest(support.TestCase):
    def ask(self, *hosts, data_centre="za", region="r1"):
        return directory.addresses(hosts, data_centre=data_centre, region=region)

    def test_the_own_data_centre_if_it_has_enough_hosts(self):
        self.assertEqual(["a1", "a2"], self.ask(A1, A2, B1, C1))

    def test_the_region_and_then_all_where_there_are_too_few(self):
        self.assertEqual(["a1", "b1"], self.ask(A1, B1, C1))
        self.assertEqual(["a1", "c1"], self.ask(A1, C1))
        self.assertEqual(["a1"], self.ask(A1))
        self.assertEqual([], self.ask())

    def test_a_caller_of_an_unknown_place_gets_all(self):
        addresses = self.ask(A1, B1, C1, data_centre="?", region="?")
        self.assertEqual(["a1", "b1", "c1"], addresses)
