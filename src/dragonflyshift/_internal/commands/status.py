"""The command ``status``."""

from typing import ClassVar

from cleo.io.inputs.option import Option

from dragonflyshift._internal.cli.daemon_command import (
    DAEMON_OPTIONS,
    DaemonCommand,
)
from dragonflyshift._internal.cli.exit_codes import ExitCode
from dragonflyshift._internal.models.reports import StatusReport


class StatusCommand(DaemonCommand):
    """Show a running daemon's view."""

    name = 'status'
    description = "Show a running daemon's view of itself and its peers."
    help = (
        'Asks the daemon at --address for its role, the versions of the '
        'configuration in force, its members, flows, slots and counters.\n\n'
        'Exit status: 0 when it answered, 2 for bad options, 3 when it can '
        'not be reached, 4 when its answer is not usable or the fleet keys '
        'differ.'
    )
    options: ClassVar[list[Option]] = list(DAEMON_OPTIONS)

    def run_command(self) -> ExitCode:
        """Ask for the status and print it."""
        report = self.fetch_report(
            lambda client: client.status(),
            StatusReport,
        )
        if self.wants_json:
            self.print_json(report)
        else:
            self._show(report)
        return ExitCode.OK

    def _show(self, report: StatusReport) -> None:
        self.print_table(
            ('setting', 'value'),
            (
                ('role', report.role),
                ('data centre', report.data_center),
                ('service', report.service or '-'),
                ('instance', report.instance or '-'),
                ('flows', report.flows),
                ('slots', f'{report.running} of {report.slots} taken'),
                ('queued', report.queued),
            ),
        )
        self._show_section('version', sorted(report.version.items()))
        if report.members:
            self.print_text('')
            self.print_table(
                ('member', 'state', 'incarnation', 'free slots', 'queued'),
                (
                    (
                        member.address,
                        member.state,
                        f'{member.boot}.{member.epoch}',
                        member.free_slots,
                        member.queued,
                    )
                    for member in report.members
                ),
            )
        counters = sorted(report.counters.items())
        self._show_section(
            'counter', [(name, f'{count:.15g}') for name, count in counters]
        )

    def _show_section(
        self,
        header: str,
        rows: list[tuple[str, int]] | list[tuple[str, str]],
    ) -> None:
        if rows:
            self.print_text('')
            self.print_table((header, 'value'), rows)
