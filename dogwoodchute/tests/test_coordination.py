"""The coordination package does not depend on the daemon, on I/O or on clocks."""

import ast
import pathlib

from dogwoodchute import coordination
from dogwoodchute.tests import support

OWN = "dogwoodchute.coordination"
FORBIDDEN = {"aiohttp", "asyncio", "sanic", "socket", "threading", "time", "uvloop"}


def imports_of(path):
    """Return the modules that a file imports, with the names taken from each."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from ((alias.name, "") for alias in node.names)
        if isinstance(node, ast.ImportFrom):
            yield from ((node.module, alias.name) for alias in node.names)


class ImportsTest(support.TestCase):
    def test_decisions_import_no_daemon_and_no_clock(self):
        paths = sorted(pathlib.Path(coordination.__path__[0]).glob("*.py"))
        self.assertGreater(len(paths), 20)
        for path in paths:
            for module, name in imports_of(path):
                top = module.partition(".")[0]
                self.assertNotIn(top, FORBIDDEN, path.name)
                if top == "dogwoodchute":
                    self.assertEqual(OWN, module, f"{path.name} takes {name}")
