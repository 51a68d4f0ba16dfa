"""The command ``route``."""

from typing import ClassVar

from cleo.helpers import option
from cleo.io.inputs.option import Option

from dragonflyshift._internal.cli.daemon_client import RouteQuery
from dragonflyshift._internal.cli.daemon_command import (
    DAEMON_OPTIONS,
    DaemonCommand,
)
from dragonflyshift._internal.cli.exit_codes import ExitCode
from dragonflyshift._internal.exceptions import SettingsError
from dragonflyshift._internal.models.reports import RouteReport


class RouteCommand(DaemonCommand):
    """Prints where a balancer would send a packet or a new flow."""

    name = 'route'
    description = 'Show where a packet or a new flow would be sent, and why.'
    help = (
        'Asks the balancer at --address where it would send a packet (the UDP '
        'payload) or a new flow (the connection id chosen by the client) that '
        'arrives at --service-address. Nothing is forwarded.\n\n'
        'Exit status: the same as for the status command.'
    )
    options: ClassVar[list[Option]] = [
        option(
            'service-address',
            's',
            'Service address of the packet or flow, as IP:PORT.',
            flag=False,
        ),
        option('packet', None, 'The packet in hexadecimal.', flag=False),
        option('flow', None, 'The connection id in hexadecimal.', flag=False),
        *DAEMON_OPTIONS,
    ]

    def run_command(self) -> ExitCode:
        """Request the route report and print it."""
        query = self._build_query()
        report = self.fetch_report(
            lambda client: client.route(query),
            RouteReport,
        )
        if self.wants_json:
            self.print_json(report)
        else:
            self._print_report(report)
        return ExitCode.OK

    def _build_query(self) -> RouteQuery:
        packet = self._parse_hex('packet')
        flow_id = self._parse_hex('flow')
        if bool(packet) == bool(flow_id):
            raise SettingsError(
                'exactly one of --packet and --flow is required',
                hint='use --packet HEX or --flow HEX',
            )
        address = self.parse_address('service-address')
        return RouteQuery(address, packet, flow_id)

    def _parse_hex(self, name: str) -> bytes:
        try:
            return bytes.fromhex(self.option(name) or '')
        except ValueError as exc:
            raise SettingsError(
                'the value is not hexadecimal',
                context=f'--{name}',
                hint='write two digits for each byte',
            ) from exc

    def _print_report(self, report: RouteReport) -> None:
        if report.service:
            self.print_text(f'service: {report.service}')
        self.print_text(f'decision: {report.decision}')
        self.print_text(f'reason: {report.reason}')
        if report.candidates:
            self.print_text('')
            self.print_table(
                ('candidate', 'address', 'state', 'reachable', 'score'),
                (
                    (
                        candidate.name,
                        candidate.address,
                        candidate.state,
                        'yes' if candidate.reachable else 'no',
                        f'{candidate.score:.6g}',
                    )
                    for candidate in report.candidates
                ),
            )
