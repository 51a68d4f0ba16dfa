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
    """Prints the effects of a change of the declaration."""

    name = 'plan'
    description = 'Compare two declarations and show what the change does.'
    help = (
        'Lists the differences between OLD and NEW and their effects on flows '
        'and requests. A change that can break flows or cause refusals is '
        'marked with "!".\n\n'
        'Exit status: 0 when both are valid, 1 when one is invalid.'
    )
    arguments: ClassVar[list[Argument]] = [
        argument('old', 'Directory of the declaration in force.'),
        argument('new', 'Directory of the new declaration.'),
    ]

    def run_command(self) -> ExitCode:
        """Compare the declarations and print the plan."""
        old = load_declaration(Path(self.argument('old')))
        new = load_declaration(Path(self.argument('new')))
        plan = plan_changes(old, new)
        if self.wants_json:
            self.print_json(plan)
        else:
            self._print_plan(plan)
        return ExitCode.OK

    def _print_plan(self, plan: Plan) -> None:
        self.print_text(f'revision {plan.old_revision} -> {plan.new_revision}')
        if not plan.changes:
            self.print_text('nothing changes')
            return
        for change in plan.changes:
            marker = '!' if change.is_risky else ' '
            location = ': '.join(filter(None, (change.service, change.subject)))
            self.print_text(f'{marker} {change.kind} {location}')
            self.print_text(f'    {change.effect}')
        self.print_text('')
        self.print_table(
            ('service', 'serving endpoints', 'slots'),
            (
                (
                    entry.service,
                    f'{entry.endpoints_before} -> {entry.endpoints_after}',
                    f'{entry.slots_before} -> {entry.slots_after}',
                )
                for entry in plan.capacities
            ),
        )
        risky = sum(planned.is_risky for planned in plan.changes)
        self.print_text(f'{len(plan.changes)} changes, {risky} risky')
