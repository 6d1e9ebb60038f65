"""The measurements of costs run, at small sizes."""

import contextlib
import io

from bench import load_cost
from dogwoodchute.tests import support


class LoadCostTest(support.TestCase):
    def test_all_figures_are_printed(self):
        """A rename broke it, and nothing noticed."""
        self.patch(load_cost, "CHOICE_SIZES", (3, 9))
        self.patch(load_cost, "TICK_SIZES", (66, 132))
        self.patch(load_cost, "DECISIONS", 20)
        self.patch(load_cost, "TICKS", 2)
        self.patch(load_cost, "POLLS", 5)
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            load_cost.run()
        for name in ("choice_cpu", "tick_cpu", "state_memory", "poll", "digest"):
            self.assertIn(name, printed.getvalue())
