"""The command ``plan``."""

from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from dragonflyshift._internal.cli.command import OperatorCommand
from dragonflyshift._internal.cli.exit_codes import ExitCode
from dragonflyshift._internal.config.declaration import load_declaration
from dragonflyshift._internal.config.planning import plan_changes
from dragonflyshift._internal.models.plan import Plan


class PlanCommand(OperatorCommand):
    """Show what a change of the declaration does."""

    name = 'plan'
    description = 'Compare two declarations and say what the change does.'
    help = (
        'Lists what leaves, joins and changes from OLD to NEW, and what that '
        'does to flows and requests. A change that can break flows or refuse '
        'requests is marked with "!".\n\n'
        'Exit status: 0 when both are valid, 1 when not.'
    )
    arguments: ClassVar[list[Argument]] = [
        argument('old', 'Directory of the declaration in force.'),
        argument('new', 'Directory of the declaration to come.'),
    ]

    def run_command(self) -> ExitCode:
        """Compare the declarations."""
        old = load_declaration(Path(self.argument('old')))
        new = load_declaration(Path(self.argument('new')))
        plan = plan_changes(old, new)
        if self.wants_json:
            self.print_json(plan)
        else:
            self._show(plan)
        return ExitCode.OK

    def _show(self, plan: Plan) -> None:
        self.print_text(f'revision {plan.old_revision} -> {plan.new_revision}')
        if not plan.changes:
            self.print_text('nothing changes')
            return
        for change in plan.changes:
            mark = '!' if change.is_risky else ' '
            place = ': '.join(filter(None, (change.service, change.subject)))
            self.print_text(f'{mark} {change.kind} {place}')
            self.print_text(f'    {change.effect}')
        self.print_text('')
        self.print_table(
            ('service', 'serving endpoints', 'slots'),
            (
                (
                    one.service,
                    f'{one.endpoints_before} -> {one.endpoints_after}',
                    f'{one.slots_before} -> {one.slots_after}',
                )
                for one in plan.capacities
            ),
        )
        risky = sum(one.is_risky for one in plan.changes)
        self.print_text(f'{len(plan.changes)} changes, {risky} risky')
