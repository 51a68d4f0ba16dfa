"""The command ``plan``."""

from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from dragonflyshift._internal.cli.exit_codes import ExitCode
from dragonflyshift._internal.cli.planning_command import PlanningCommand
from dragonflyshift._internal.config.declaration import load_declaration
from dragonflyshift._internal.config.planning import plan_changes


class PlanCommand(PlanningCommand):
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
        self.print_plan(plan)
        return ExitCode.OK
