"""Base of the commands that show the effects of a change."""

from dragonflyshift._internal.cli.command import OperatorCommand
from dragonflyshift._internal.models.plan import Plan


class PlanningCommand(OperatorCommand):
    """A command that prints a plan."""

    def print_plan(self, plan: Plan) -> None:
        """Print a plan as tables, or as JSON with ``--json``."""
        if self.wants_json:
            self.print_json(plan)
            return
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
