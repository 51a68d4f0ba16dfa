import json
import tempfile
import unittest
from pathlib import Path

from dragonflyshift._internal.cli.application import COMMANDS
from dragonflyshift._internal.config.store import ConfigurationStore
from dragonflyshift._internal.models.documents import INDEX_KEY, service_key
from tests.lib.builders import build_inventory_text, write_declaration
from tests.lib.commands import run_command

EXPORTS_KEY = service_key('exports')
LISTS_KEY = service_key('reading-lists')


class DeclarationCommandTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        self.old = self.declare('old', build_inventory_text(4))

    def declare(self, name: str, inventory: str, rules: str = '') -> Path:
        path = self.root / name
        path.mkdir()
        return write_declaration(path, inventory, rules)


class CheckTest(DeclarationCommandTest):
    def test_valid(self) -> None:
        result = run_command('check', self.old)
        self.assertEqual((result.status, result.errors), (0, ''))
        self.assertIn('revision 4 is valid', result.output)

    def test_invalid(self) -> None:
        text = build_inventory_text().replace('slots = 3', 'slots = 0')
        invalid = self.declare('bad', text)
        result = run_command('check', invalid, '--json')
        self.assertEqual(result.status, 1)
        report = json.loads(result.output)
        self.assertFalse(report['is_valid'])
        self.assertEqual(len(report['faults']), 3)
        self.assertIn('hint: give a number between 1 and', result.errors)


class PlanTest(DeclarationCommandTest):
    def test_endpoint_removed_without_leaving(self) -> None:
        text = build_inventory_text(5).replace('lists-2', 'lists-3')
        new = self.declare('new', text.replace('127.1.1.2', '127.1.1.3'))
        result = run_command('plan', self.old, new)
        self.assertEqual(result.status, 0)
        self.assertIn(
            '! endpoint-removed reading-lists: lists-2', result.output
        )
        self.assertIn('2 changes, 1 risky', result.output)
        report = json.loads(run_command('plan', self.old, new, '--json').output)
        self.assertEqual(report['new_revision'], 5)

    def test_invalid(self) -> None:
        result = run_command('plan', self.old, self.root / 'none')
        self.assertEqual(result.status, 1)
        self.assertIn('inventory.toml', result.errors)


class RenderTest(DeclarationCommandTest):
    def setUp(self) -> None:
        super().setUp()
        self.output = self.root / 'published'
        result = run_command('render', self.output, '-d', self.old)
        self.assertEqual(result.status, 0)

    def render(self, declaration: Path) -> tuple[int, str]:
        result = run_command(
            'render',
            self.output,
            f'--declaration={declaration}',
            f'--previous={self.output}',
        )
        return result.status, result.errors

    def test_store_accepts_the_documents(self) -> None:
        store = ConfigurationStore()
        for key in (INDEX_KEY, EXPORTS_KEY, LISTS_KEY):
            raw = (self.output / key).read_bytes()
            self.assertTrue(store.apply(key, raw))
        self.assertEqual(store.stale_keys(), [])

    def test_unchanged_documents_keep_their_version(self) -> None:
        rules = '[services.exports]\nqueue_limit = 4'
        new = self.declare('new', build_inventory_text(9), rules)
        self.assertEqual(self.render(new), (0, ''))
        versions = {
            key: json.loads((self.output / key).read_text())['version']
            for key in (INDEX_KEY, EXPORTS_KEY, LISTS_KEY)
        }
        self.assertEqual(
            versions,
            {INDEX_KEY: 9, EXPORTS_KEY: 9, LISTS_KEY: 4},
        )

    def test_revision_must_increase(self) -> None:
        self.assertEqual(self.render(self.old)[0], 0)
        rules = '[services.exports]\nqueue_limit = 4'
        status, errors = self.render(
            self.declare('new', build_inventory_text(4), rules),
        )
        self.assertEqual(status, 1)
        self.assertIn('raise the revision of the inventory above 4', errors)

    def test_output_can_not_be_written(self) -> None:
        existing_file = self.root / 'file'
        existing_file.touch()
        result = run_command('render', existing_file, '-d', self.old)
        self.assertEqual(result.status, 5)


class UsageTest(unittest.TestCase):
    def test_invalid_usage(self) -> None:
        for arguments in (('chekc',), ('check', '--colour'), ('plan', 'one')):
            with self.subTest(arguments):
                result = run_command(*arguments)
                self.assertEqual(result.status, 2)
                self.assertIn('--help', result.errors)

    def test_list_names_the_commands(self) -> None:
        result = run_command('list')
        self.assertEqual(result.status, 0)
        for name in ('check', 'plan', 'render'):
            self.assertIn(name, result.output)

    def test_help_describes_every_command(self) -> None:
        for arguments in ((), ('--help',), ('-h',), ('help',)):
            with self.subTest(arguments):
                result = run_command(*arguments)
                self.assertEqual((result.status, result.errors), (0, ''))
                for name in COMMANDS:
                    self.assertRegex(result.output, rf'(?m)^  {name} +[A-Z]')
        result = run_command('check', '--help')
        self.assertIn('Exit status', result.output)
