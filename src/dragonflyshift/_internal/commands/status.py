"""The command ``status``."""

from typing import ClassVar

from attrs import evolve
from cleo.io.inputs.option import Option

from dragonflyshift._internal.cli.daemon_command import (
    DAEMON_OPTIONS,
    DaemonCommand,
)
from dragonflyshift._internal.cli.exit_codes import ExitCode
from dragonflyshift._internal.models.reports import (
    EvacuationReport,
    StatusReport,
)


class StatusCommand(DaemonCommand):
    """Prints the status of a running daemon."""

    name = 'status'
    description = 'Show the status of a running daemon and its peers.'
    help = (
        'Asks the daemon at --address for its role, the versions of the '
        'configuration in force, its members, flows, slots and counters. If '
        'data centres are evacuated, the sidecars there are asked how many '
        'flows they have left.\n\n'
        'Exit status: 0 when it replied, 2 for invalid options, 3 when it can '
        'not be reached, 4 when its reply is invalid or the fleet keys '
        'differ.'
    )
    options: ClassVar[list[Option]] = list(DAEMON_OPTIONS)

    def run_command(self) -> ExitCode:
        """Request the status report and print it."""
        report = self.fetch_report(
            lambda client: client.status(),
            StatusReport,
        )
        if report.evacuated:
            report = evolve(report, evacuated=self._count_flows(report))
        if self.wants_json:
            self.print_json(report)
        else:
            self._print_report(report)
        return ExitCode.OK

    def _count_flows(
        self,
        report: StatusReport,
    ) -> tuple[EvacuationReport, ...]:
        """Return the evacuations with the flows that their sidecars report."""
        addresses = {
            sidecar for each in report.evacuated for sidecar in each.sidecars
        }
        reports = self.fetch_reports(
            addresses,
            lambda client: client.status(),
            StatusReport,
        )
        return tuple(
            evolve(
                each,
                flows=sum(
                    reports[sidecar].flows
                    for sidecar in each.sidecars
                    if sidecar in reports
                ),
                unreachable=sum(
                    sidecar not in reports for sidecar in each.sidecars
                ),
            )
            for each in report.evacuated
        )

    def _print_report(self, report: StatusReport) -> None:
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
        self._print_evacuations(report)
        self._print_section('version', sorted(report.version.items()))
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
        self._print_section(
            'counter', [(name, f'{count:.15g}') for name, count in counters]
        )

    def _print_evacuations(self, report: StatusReport) -> None:
        if not report.evacuated:
            return
        self.print_text('')
        self.print_table(
            ('evacuated', 'sidecars', 'flows left', 'unreachable'),
            (
                (
                    each.data_center,
                    len(each.sidecars),
                    each.flows,
                    each.unreachable,
                )
                for each in report.evacuated
            ),
        )

    def _print_section(
        self,
        header: str,
        rows: list[tuple[str, int]] | list[tuple[str, str]],
    ) -> None:
        if rows:
            self.print_text('')
            self.print_table((header, 'value'), rows)
