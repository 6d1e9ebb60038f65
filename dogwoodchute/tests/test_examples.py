"""The shipped example settings."""

import pathlib

from dogwoodchute import settings
from dogwoodchute.tests import support

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
HOSTS = {
    "kivuli": {"dar-a": 2, "dar-b": 3, "arusha-a": 3},
    "hinokuni": {"kumamoto-a": 2, "kumamoto-b": 2, "fukuoka-a": 3},
}


class ExamplesTest(support.TestCase):
    def test_settings_of_both_fleets_are_valid(self):
        for fleet, expected in HOSTS.items():
            found = {}
            fleet_keys = set()
            for path in sorted((EXAMPLES / fleet).glob("*-[0-9].ini")):
                config = settings.load(path)
                self.assertEqual(path.stem, config.host.id)
                place = config.host.data_centre
                found[place] = found.get(place, 0) + 1
                fleet_keys.add(config.keys.fleet_key)
            self.assertEqual(expected, found)
            self.assertEqual(1, len(fleet_keys))
