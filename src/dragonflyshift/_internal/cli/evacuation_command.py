"""Base of the commands that evacuate and restore a data centre."""

from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from dragonflyshift._internal.cli.exit_codes import ExitCode
from dragonflyshift._internal.cli.planning_command import PlanningCommand
from dragonflyshift._internal.config.inventory_editing import set_evacuated
from dragonflyshift._internal.config.planning import plan_changes

EVACUATION_HELP = (
    'The inventory keeps its comments. Nothing is changed if the declaration '
    'is invalid, lacks the data centre, or already has the requested state. '
    'Then render and publish the declaration as after any change.\n\n'
    'Exit status: 0 when changed, 1 when invalid or not applicable, 5 when '
    'the file can not be written.'
)


class EvacuationCommand(PlanningCommand):
    """A command that edits the declaration of one data centre."""

    arguments: ClassVar[list[Argument]] = [
        argument('name', 'Name of the data centre.'),
        argument('directory', 'Directory of inventory.toml and rules.toml.'),
    ]
    evacuated: ClassVar[bool]

    def run_command(self) -> ExitCode:
        """Edit the inventory and print the effects."""
        old, new = set_evacuated(
            Path(self.argument('directory')),
            self.argument('name'),
            evacuated=self.evacuated,
        )
        self.print_plan(plan_changes(old, new))
        return ExitCode.OK
