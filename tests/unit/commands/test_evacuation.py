"""The commands ``evacuate`` and ``restore``.

Guards against edits that lose comments, other values or the whole file, and
against a request that is taken although it can not have an effect.
"""

import tomllib
from pathlib import Path
from unittest.mock import patch

from dragonflyshift._internal.config import inventory_editing
from tests.lib.builders import build_inventory_text
from tests.lib.commands import CommandResult, run_command
from tests.unit.commands.test_declarations import DeclarationCommandTest

_CENTER = '[data_centers.klang]\nregion = "selangor"\n'
_COMMENT = '# Power works on Sundays.\n'


class EvacuationCommandTest(DeclarationCommandTest):
    @property
    def inventory(self) -> Path:
        return self.old / 'inventory.toml'

    def replace(self, old: str, new: str) -> None:
        text = self.inventory.read_bytes().decode()
        self.assertIn(old, text)
        self.inventory.write_bytes(text.replace(old, new).encode())

    def assert_refused(self, result: CommandResult, text: str) -> None:
        self.assertEqual(result.status, 1)
        self.assertIn(text, result.errors)

    def test_evacuate_and_restore(self) -> None:
        before = f'{_CENTER}evacuated = false  # since May\n{_COMMENT}'
        self.replace(_CENTER, before)
        original = self.inventory.read_text()
        result = run_command('evacuate', 'klang', self.old)
        self.assertEqual((result.status, result.errors), (0, ''))
        self.assertIn('revision 4 -> 5', result.output)
        self.assertIn('! data-center-evacuated exports', result.output)
        evacuated = original.replace('= false  #', '= true  #')
        self.assertEqual(
            self.inventory.read_text(),
            evacuated.replace('revision = 4', 'revision = 5'),
        )
        result = run_command('restore', 'klang', self.old)
        self.assertIn('data-center-restored exports', result.output)
        self.assertEqual(
            self.inventory.read_text(),
            original.replace('revision = 4', 'revision = 6'),
        )

    def test_every_form_of_a_table(self) -> None:
        for center in (
            f'[data_centers.klang] # west\r\nregion = "selangor"\r\n{_COMMENT}',
            f'data_centers.klang.region = "selangor" # west\n{_COMMENT}',
            f'data_centers={{klang={{region="selangor"}}}} # west\n{_COMMENT}',
            f'[data_centers]\n{_COMMENT}klang = {{region="selangor"}} # west\n',
        ):
            text = build_inventory_text().replace(_CENTER, center)
            self.inventory.write_bytes(text.encode())
            result = run_command('evacuate', 'klang', self.old)
            edited = self.inventory.read_bytes().decode()
            with self.subTest(center):
                self.assertEqual(result.status, 0, result.errors)
                self.assertIn(_COMMENT, edited)
                self.assertIn('# west', edited)
                centers = tomllib.loads(edited)['data_centers']
                self.assertIs(centers['klang']['evacuated'], True)

    def test_request_without_effect_changes_nothing(self) -> None:
        original = self.inventory.read_bytes()
        for command, name, text in (
            ('evacuate', 'ipoh', 'the declared data centres are: klang'),
            ('restore', 'klang', "'klang' is already in service"),
        ):
            with self.subTest(command):
                result = run_command(command, name, self.old)
                self.assert_refused(result, text)
        run_command('evacuate', 'klang', self.old)
        evacuated = self.inventory.read_bytes()
        result = run_command('evacuate', 'klang', self.old)
        self.assert_refused(result, "'klang' is already evacuated")
        self.assertEqual(self.inventory.read_bytes(), evacuated)
        self.assertNotEqual(evacuated, original)

    def test_invalid_declaration_changes_nothing(self) -> None:
        original = self.inventory.read_bytes()
        for old, new in (
            (b'slots = 3', b'slots = 0'),
            (b'revision = 4', b'revision = %d' % 2**53),
            (b'[data_centers', b'[data_centers'[:-3]),
            (b'revision = 4', b'revision = 4 # \xff'),
            (b'"selangor"\n', b'"selangor"\nevacuated = "yes"\n'),
        ):
            content = original.replace(old, new)
            self.inventory.write_bytes(content)
            with self.subTest(new):
                result = run_command('evacuate', 'klang', self.old)
                self.assert_refused(result, 'error: ')
                self.assertEqual(self.inventory.read_bytes(), content)

    def test_change_by_someone_else_is_kept(self) -> None:
        edit = inventory_editing._edit

        def edit_while_another_writes(*args: str, **options: bool) -> str:
            self.replace('selangor', 'perak')
            return edit(*args, **options)

        with patch.object(
            inventory_editing, '_edit', edit_while_another_writes
        ):
            result = run_command('evacuate', 'klang', self.old)
        self.assert_refused(result, 'was changed by someone else')
        self.assertIn('perak', self.inventory.read_text())
        names = sorted(path.name for path in self.old.iterdir())
        self.assertEqual(names, ['inventory.toml', 'rules.toml'])

    def test_reserved_rule_is_a_fault(self) -> None:
        rules = '[defaults]\nidempotent = ["EVACUATED /klang"]'
        (self.old / 'rules.toml').write_text(rules)
        result = run_command('check', self.old)
        self.assert_refused(result, 'the method EVACUATED is reserved')
