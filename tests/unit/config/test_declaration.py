import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

from dragonflyshift._internal.config import conflicts
from dragonflyshift._internal.config.declaration import load_declaration
from dragonflyshift._internal.config.faults import InvalidConfigurationError
from dragonflyshift._internal.models import Locality
from tests.lib.builders import (
    build_endpoint_text,
    build_inventory_text,
    build_service,
    write_declaration,
)

EXAMPLE = Path(__file__).parents[3] / 'examples' / 'declaration'


def load_faults(inventory: str, rules: str = '') -> str:
    with tempfile.TemporaryDirectory() as folder:
        path = write_declaration(Path(folder), inventory, rules)
        try:
            load_declaration(path)
        except InvalidConfigurationError as exc:
            return '\n'.join(str(fault) for fault in exc.faults)
    return ''


class ExampleTest(unittest.TestCase):
    def test_example_declaration(self) -> None:
        declaration = load_declaration(EXAMPLE)
        self.assertEqual(
            [
                (one.organisation, len(one.endpoints), one.endpoints[0].slots)
                for one in declaration.services
            ],
            [
                ('association', 7, 3),
                ('association', 3, 3),
                ('tesfa-wheels', 7, 4),
                ('tesfa-wheels', 3, 4),
            ],
        )
        exports = declaration.services[1]
        self.assertEqual(exports.rules.queue_limit, 8)
        self.assertIs(exports.rules.locality, Locality.REGION)
        self.assertEqual(exports.endpoints[1].region, 'kuala-lumpur')


class FaultsTest(unittest.TestCase):
    def test_each_fault_names_file_and_key(self) -> None:
        text = build_inventory_text()
        exports = build_endpoint_text('exports-1', '127.1.2.1')
        cases = {
            'unknown key': (
                text.replace('slots = 3', 'slots = 3, wieght = 2', 1),
                'inventory.toml: services.reading-lists.endpoints[0]: unknown '
                "key 'wieght', did you mean 'weight'?",
            ),
            'missing key': (
                text.replace('slots = 3, ', '', 1),
                'inventory.toml: services.reading-lists.endpoints[0].slots: '
                'a required key is missing',
            ),
            'another type': (
                text.replace('slots = 3', 'slots = "3"', 1),
                'endpoints[0].slots: an integer is expected',
            ),
            'not a table': (
                f'services = 3\n{text.partition("[services")[0]}',
                'inventory.toml: services: a table is expected',
            ),
            'endpoint in two services': (
                text.replace('exports-1', 'lists-1'),
                'inventory.toml: services.exports.endpoints[0]: the endpoint '
                'lists-1 is also that of services.reading-lists.endpoints[0]',
            ),
            'address in two services': (
                text.replace('127.0.1.2:443', '127.0.1.1:443'),
                'services.exports.addresses[0]: the address 127.0.1.1:443',
            ),
            'address twice': (
                text.replace(
                    'lists-2", address = "127.1.1.2', 'b", address = "127.1.1.1'
                ),
                'services.reading-lists.endpoints: the address 127.1.1.1:7000',
            ),
            'undeclared data centre': (
                text.replace('data_center = "klang"', 'data_center = "x"', 1),
                "the data centre 'x' is not declared (add [data_centers.x]",
            ),
            'empty service': (
                text.replace(f'  {exports},\n', ''),
                'services.exports.endpoints: the service has no endpoint',
            ),
            'all endpoints leave': (
                text.replace('slots = 3', 'slots = 3, state = "leaving"'),
                'services.exports.endpoints: the service is serving, but',
            ),
            'revision': (
                text.replace('revision = 4', 'revision = 0'),
                'inventory.toml: revision: 0 is out of range',
            ),
            'no TOML': ('a = [', 'inventory.toml: the file is not valid TOML'),
        }
        for name, (inventory, expected) in cases.items():
            with self.subTest(name):
                self.assertIn(expected, load_faults(inventory))

    def test_faults_of_the_rules(self) -> None:
        cases = {
            '[services.reading-list]': 'did you mean reading-lists?',
            '[defaults]\nqueue = 3': "defaults: unknown key 'queue', did",
            '[services.exports]\nslow_start = "x"': (
                'rules.toml: services.exports.slow_start: a number'
            ),
            '[services.exports]\nrequest_timeout = 0': (
                'rules.toml: services.exports.request_timeout: 0.0 is out'
            ),
            '[service.exports]': 'rules.toml: service: unknown key',
        }
        for rules, expected in cases.items():
            with self.subTest(rules):
                found = load_faults(build_inventory_text(), rules)
                self.assertIn(expected, found)

    def test_faults_of_both_files_are_reported_together(self) -> None:
        inventory = build_inventory_text().replace('slots = 3', 'slots = 0')
        found = load_faults(inventory, '[defaults]\nslow_start = -1')
        self.assertEqual(found.count('slots: 0 is out of range'), 3)
        self.assertIn('rules.toml', found)

    def test_missing_directory(self) -> None:
        with self.assertRaises(InvalidConfigurationError) as caught:
            load_declaration(Path('nowhere'))
        self.assertIn('can not be read', str(caught.exception))

    def test_tag_collision(self) -> None:
        services = (build_service(tag=9), build_service('exports', tag=9))
        found = list(conflicts.check_conflicts('inventory.toml', services))
        self.assertIn('service tag 9', '\n'.join(str(one) for one in found))

    def test_tag_collision_makes_the_declaration_invalid(self) -> None:
        target = 'dragonflyshift._internal.config.{0}.service_tag'
        with (
            patch(target.format('declaration'), return_value=9),
            patch(target.format('validation'), return_value=9),
        ):
            found = load_faults(build_inventory_text())
        self.assertIn('the service tag 9 is also that of', found)
