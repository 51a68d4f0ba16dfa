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
    """Explain where a packet or a new flow would go."""

    name = 'route'
    description = 'Explain where a packet or a new flow would go, and why.'
    help = (
        'Asks the balancer at --address what it would do with a packet (the '
        'UDP payload), or with a new flow (the connection id that the client '
        'chose), that arrives at --service-address. Nothing is sent on.\n\n'
        'Exit status: as of the status command.'
    )
    options: ClassVar[list[Option]] = [
        option(
            'service-address',
            's',
            'Service address at which it arrives, as IP:PORT.',
            flag=False,
        ),
        option('packet', None, 'The packet in hexadecimal.', flag=False),
        option('flow', None, 'The connection id in hexadecimal.', flag=False),
        *DAEMON_OPTIONS,
    ]

    def run_command(self) -> ExitCode:
        """Ask for the route and print it."""
        query = self._query()
        report = self.fetch_report(
            lambda client: client.route(query),
            RouteReport,
        )
        if self.wants_json:
            self.print_json(report)
        else:
            self._show(report)
        return ExitCode.OK

    def _query(self) -> RouteQuery:
        packet = self._parse_hex('packet')
        flow_id = self._parse_hex('flow')
        if bool(packet) == bool(flow_id):
            raise SettingsError(
                'either a packet or a flow has to be given',
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

    def _show(self, report: RouteReport) -> None:
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
                        one.name,
                        one.address,
                        one.state,
                        'yes' if one.reachable else 'no',
                        f'{one.score:.6g}',
                    )
                    for one in report.candidates
                ),
            )
