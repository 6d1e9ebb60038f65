"""Checks of settings, and the documentation page that is generated from them."""

import pathlib

from dogwoodchute import settings
from dogwoodchute.tests import support
from dogwoodchute.tools import demo, settings_doc

ROOT = pathlib.Path(__file__).parents[2]
DEMO = demo.SETTINGS.format(caller_port=0, operator_port=0)


class SettingsTest(support.TestCase):
    def faults(self, text):
        error = self.assertRaises(
            settings.SettingsError, settings.parse, text, source="test"
        )
        return [str(fault) for fault in error.faults]

    def test_platform_addresses_are_required_over_http(self):
        faults = self.faults(DEMO.replace("mode = embedded", "mode = http"))
        self.assertEqual(1, len(faults))
        self.assertIn("table_address is required", faults[0])

    def test_a_host_name_is_no_address(self):
        text = DEMO.replace("mode = embedded", "table_address = store:7000")
        faults = self.faults(text.replace("address = 127.0.0.1", "address = dar-1"))
        self.assertEqual(2, len(faults))
        self.assertIn("[host] address = 'dar-1'", faults[0])
        self.assertIn("[platform] table_address = 'store:7000'", faults[1])

    def test_unknown_section_is_suggested(self):
        faults = self.faults(DEMO.replace("[log]", "[logs]"))
        self.assertEqual(["[logs] -: unknown section; did you mean 'log'?"], faults)

    def test_malformed_ini_is_one_fault(self):
        self.assertEqual(1, len(self.faults("no section\n")))

    def test_page_is_current(self):
        page = (ROOT / settings_doc.PAGE_PATH).read_text(encoding="utf-8")
        self.assertEqual(settings_doc.render(), page)
