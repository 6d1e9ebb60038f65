"""The daemon's command line."""

import contextlib
import io
import pathlib
import tempfile

from dogwoodchute.tests import support
from dogwoodchute.tools import demo, dogwoodchuted


class CheckTest(support.TestCase):
    def check(self, text):
        """Check settings with the daemon's command; return exit code and errors."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "host.ini"
            path.write_text(text, encoding="utf-8")
            errors = io.StringIO()
            with (
                contextlib.redirect_stderr(errors),
                contextlib.redirect_stdout(io.StringIO()),
            ):
                code = dogwoodchuted.main(["--check", str(path)])
        return code, errors.getvalue()

    def test_valid_settings_pass(self):
        text = demo.SETTINGS.format(caller_port=0, operator_port=0)
        self.assertEqual((0, ""), self.check(text))

    def test_every_fault_is_reported_at_once(self):
        text = demo.SETTINGS.format(caller_port=99999, operator_port=0)
        text = text.replace("region = dar", "regoin = dar")
        code, errors = self.check(text)
        self.assertEqual(2, code)
        self.assertIn("caller_port = '99999'", errors)
        self.assertIn("did you mean 'region'?", errors)
        self.assertIn("[host] region: required", errors)

    def test_secrets_are_not_printed(self):
        text = demo.SETTINGS.format(caller_port=0, operator_port=0)
        text = text.replace("demo-fleet-secret-not-for-use", "short")
        code, errors = self.check(text)
        self.assertEqual(2, code)
        self.assertIn("fleet_key = '(hidden)'", errors)
        self.assertNotIn("short", errors.replace("shorter", ""))
