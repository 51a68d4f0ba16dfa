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
        ran = run_command('check', self.old)
        self.assertEqual((ran.status, ran.errors), (0, ''))
        self.assertIn('revision 4 is valid', ran.output)

    def test_faults(self) -> None:
        text = build_inventory_text().replace('slots = 3', 'slots = 0')
        bad = self.declare('bad', text)
        ran = run_command('check', bad, '--json')
        self.assertEqual(ran.status, 1)
        report = json.loads(ran.output)
        self.assertFalse(report['is_valid'])
        self.assertEqual(len(report['faults']), 3)
        self.assertIn('hint: give a number between 1 and', ran.errors)


class PlanTest(DeclarationCommandTest):
    def test_endpoint_removed_at_once(self) -> None:
        text = build_inventory_text(5).replace('lists-2', 'lists-3')
        new = self.declare('new', text.replace('127.1.1.2', '127.1.1.3'))
        ran = run_command('plan', self.old, new)
        self.assertEqual(ran.status, 0)
        self.assertIn('! endpoint-removed reading-lists: lists-2', ran.output)
        self.assertIn('2 changes, 1 risky', ran.output)
        report = json.loads(run_command('plan', self.old, new, '--json').output)
        self.assertEqual(report['new_revision'], 5)

    def test_invalid(self) -> None:
        ran = run_command('plan', self.old, self.root / 'none')
        self.assertEqual(ran.status, 1)
        self.assertIn('inventory.toml', ran.errors)


class RenderTest(DeclarationCommandTest):
    def setUp(self) -> None:
        super().setUp()
        self.output = self.root / 'published'
        ran = run_command('render', self.output, '-d', self.old)
        self.assertEqual(ran.status, 0)

    def render(self, declaration: Path) -> tuple[int, str]:
        ran = run_command(
            'render',
            self.output,
            f'--declaration={declaration}',
            f'--previous={self.output}',
        )
        return ran.status, ran.errors

    def test_daemons_accept_the_documents(self) -> None:
        store = ConfigurationStore()
        for key in (INDEX_KEY, EXPORTS_KEY, LISTS_KEY):
            raw = (self.output / key).read_bytes()
            self.assertTrue(store.offer(key, raw))
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

    def test_revision_has_to_rise(self) -> None:
        self.assertEqual(self.render(self.old)[0], 0)
        rules = '[services.exports]\nqueue_limit = 4'
        status, errors = self.render(
            self.declare('new', build_inventory_text(4), rules),
        )
        self.assertEqual(status, 1)
        self.assertIn('raise the revision of the inventory above 4', errors)

    def test_output_can_not_be_written(self) -> None:
        taken = self.root / 'file'
        taken.touch()
        ran = run_command('render', taken, '-d', self.old)
        self.assertEqual(ran.status, 5)


class UsageTest(unittest.TestCase):
    def test_bad_usage(self) -> None:
        for words in (('chekc',), ('check', '--colour'), ('plan', 'one')):
            with self.subTest(words):
                ran = run_command(*words)
                self.assertEqual(ran.status, 2)
                self.assertIn('--help', ran.errors)

    def test_help_names_every_command(self) -> None:
        ran = run_command('list')
        self.assertEqual(ran.status, 0)
        for name in ('check', 'plan', 'render'):
            self.assertIn(name, ran.output)

    def test_help_of_the_program_describes_its_commands(self) -> None:
        for words in ((), ('--help',), ('-h',), ('help',)):
            with self.subTest(words):
                ran = run_command(*words)
                self.assertEqual((ran.status, ran.errors), (0, ''))
                for name in COMMANDS:
                    self.assertRegex(ran.output, rf'(?m)^  {name} +[A-Z]')
        ran = run_command('check', '--help')
        self.assertIn('Exit status', ran.output)
