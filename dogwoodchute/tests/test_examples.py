"""The shipped example settings."""

import pathlib

from dogwoodchute import settings
from dogwoodchute.tests import support

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
HOSTS = {  # number of hosts by fleet and data centre
    "kivuli": {"dar-a": 2, "dar-b": 3, "arusha-a": 3},
    "hinokuni": {"kumamoto-a": 2, "kumamoto-b": 2, "fukuoka-a": 3},
}


class ExamplesTest(support.TestCase):
    def test_settings_of_both_fleets_are_valid(self):
        for fleet, expected in HOSTS.items():
            hosts_by_data_centre = {}
            fleet_keys = set()
            for path in sorted((EXAMPLES / fleet).glob("*-[0-9].ini")):
                config = settings.load(path)
                self.assertEqual(path.stem, config.host.id)
                centre = config.host.data_centre
                hosts_by_data_centre[centre] = hosts_by_data_centre.get(centre, 0) + 1
                fleet_keys.add(config.keys.fleet_key)
            self.assertEqual(expected, hosts_by_data_centre)
            self.assertEqual(1, len(fleet_keys))
