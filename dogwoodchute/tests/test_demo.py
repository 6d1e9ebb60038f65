"""The whole path, from a caller over real sockets to the bill."""

from dogwoodchute.tests import support
from dogwoodchute.tools import demo


class DemoTest(support.TestCase):
    def test_every_request_comes_out_as_it_must(self):
        self.assertTrue(self.run_async(demo.run_demo()))
