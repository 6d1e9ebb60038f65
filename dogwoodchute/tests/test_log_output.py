"""Log lines that the reader of the output is too slow for."""

import os

from dogwoodchute import log
from dogwoodchute.tests import support


class OutputTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(writer, False)
        os.set_blocking(self.reader, False)
        self.output = log._Output(descriptor=writer)

    def read_all(self):
        received = b""
        while True:
            self.output.flush()
            try:
                data = os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return received.decode()
            received += data

    def test_lines_that_were_dropped_are_reported(self):
        line = "x" * 1000 + "\n"
        written = 0
        while not self.output._lost:
            self.output.write(line)
            written += 1
        for _ in range(6):
            self.output.write(line)
        self.assertEqual(written - 1, self.read_all().count(line))
        self.output.write("later\n")
        text = self.read_all()
        self.assertIn("event=log_lines_lost lines=7", text)
        self.assertTrue(text.endswith("later\n"), text)
        self.output.write("again\n")
        self.assertEqual("again\n", self.read_all())

    def test_debug_lines_are_limited_too(self):
        lines = []
        self.patch(log.logging, "vlog_is_on", lambda level: True)
        self.patch(log.logging, "debug", lambda form, line: lines.append(line))
        for _ in range(3 * log.EVENT_BURST):
            log.debug("noise")
        self.assertLess(len(lines), 2 * log.EVENT_BURST)
