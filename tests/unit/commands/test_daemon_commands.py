import json
import unittest
from typing import Any
from unittest.mock import patch

from dragonflyshift._internal.cli.daemon_client import DaemonClient, RouteQuery
from dragonflyshift._internal.cli.daemon_command import DaemonCommand
from dragonflyshift._internal.exceptions import PeerError
from dragonflyshift._internal.models import Address
from tests.lib.builders import FLEET_KEYS_TEXT
from tests.lib.commands import CommandResult, run_command

STATUS = {
    'role': 'sidecar',
    'instance': 'lists-1',
    'service': 'reading-lists',
    'data_center': 'klang',
    'version': {'dragonflyshift/service/reading-lists': 7},
    'members': [
        {
            'address': '127.0.0.2:7000',
            'state': 'alive',
            'boot': 3,
            'epoch': 1,
            'free_slots': 2,
            'queued': 0,
        },
    ],
    'flows': 12,
    'slots': 3,
    'running': 1,
    'queued': 0,
    'counters': {'flows.accepted': 40},
    'key of a newer daemon': 1,
}
ROUTE = {
    'decision': 'forward',
    'reason': 'highest score in the data centre',
    'candidates': [
        {
            'name': 'lists-1',
            'address': '127.0.0.2:7000',
            'state': 'alive',
            'score': 0.75,
        },
    ],
}
_BAD_EVACUATION = {'data_center': 'klang', 'sidecars': ['here']}
ADDRESS = ('--address', '127.0.0.1:7100')
KEYS = ('--fleet-keys', FLEET_KEYS_TEXT)


class FakeDaemon(DaemonClient):
    def __init__(self, report: Any) -> None:
        self.report = report
        self.queries: list[RouteQuery] = []

    async def status(self) -> bytes:
        if isinstance(self.report, Exception):
            raise self.report
        return json.dumps(self.report).encode()

    async def route(self, query: RouteQuery) -> bytes:
        self.queries.append(query)
        return await self.status()


def run_with_daemon(daemon: FakeDaemon, *arguments: str) -> CommandResult:
    with patch.object(DaemonCommand, 'build_client', return_value=daemon):
        return run_command(*arguments)


class StatusTest(unittest.TestCase):
    def test_tables(self) -> None:
        result = run_with_daemon(FakeDaemon(STATUS), 'status', *ADDRESS, *KEYS)
        self.assertEqual((result.status, result.errors), (0, ''))
        for text in ('lists-1', '1 of 3 taken', '3.1', 'flows.accepted'):
            self.assertIn(text, result.output)

    def test_json(self) -> None:
        result = run_with_daemon(
            FakeDaemon(STATUS), 'status', *ADDRESS, *KEYS, '--json'
        )
        self.assertEqual(json.loads(result.output)['flows'], 12)

    def test_failed_queries(self) -> None:
        for report, status in (
            (PeerError('refused', hint='start it'), 3),
            ({'role': 'sidecar', 'flows': 'many'}, 4),
            ({**STATUS, 'evacuated': [_BAD_EVACUATION]}, 4),
            ([], 4),
        ):
            with self.subTest(report):
                result = run_with_daemon(
                    FakeDaemon(report), 'status', *ADDRESS, *KEYS
                )
                self.assertEqual(result.status, status)
                self.assertIn('hint: ', result.errors)

    def test_invalid_options(self) -> None:
        daemon = FakeDaemon(STATUS)
        for arguments in (
            ('status', *KEYS),
            ('status', '--address', 'here', *KEYS),
            ('status', *ADDRESS),
            ('status', *ADDRESS, '--fleet-keys', '1:5ec2e7'),
        ):
            with self.subTest(arguments), patch.dict('os.environ', clear=True):
                result = run_with_daemon(daemon, *arguments)
                self.assertEqual(result.status, 2)
                self.assertNotIn('5ec2e7', result.errors)

    def test_fleet_keys_from_the_environment(self) -> None:
        environ = {'DRAGONFLYSHIFT_FLEET_KEYS': FLEET_KEYS_TEXT}
        with patch.dict('os.environ', environ):
            result = run_with_daemon(FakeDaemon(STATUS), 'status', *ADDRESS)
        self.assertEqual(result.status, 0)


class EvacuationStatusTest(unittest.TestCase):
    """Guards against flows that are left unseen in an evacuation."""

    def test_flows_left_are_summed_over_the_sidecars(self) -> None:
        sidecars = ['127.0.0.2:7000', '127.0.0.3:7000', '127.0.0.4:7000']
        evacuation = {'data_center': 'klang', 'sidecars': sidecars}
        unreachable = FakeDaemon(PeerError('refused'))
        daemons = {
            '127.0.0.1:7100': FakeDaemon({**STATUS, 'evacuated': [evacuation]}),
            '127.0.0.2:7000': FakeDaemon(STATUS),
            '127.0.0.3:7000': FakeDaemon({**STATUS, 'flows': 5}),
            '127.0.0.4:7000': unreachable,
        }
        with patch.object(
            DaemonCommand,
            'build_client',
            side_effect=lambda address, _keys: daemons[str(address)],
        ):
            table = run_command('status', *ADDRESS, *KEYS)
            report = json.loads(
                run_command('status', *ADDRESS, *KEYS, '--json').output,
            )
        self.assertRegex(table.output, r'klang +3 +17 +1')
        self.assertEqual(
            report['evacuated'],
            [{**evacuation, 'flows': 17, 'unreachable': 1}],
        )


class RouteTest(unittest.TestCase):
    service = ('--service-address', '127.0.1.1:443')

    def test_flow(self) -> None:
        daemon = FakeDaemon(ROUTE)
        result = run_with_daemon(
            daemon,
            'route',
            *ADDRESS,
            *KEYS,
            *self.service,
            '--flow=00ff',
        )
        self.assertEqual(result.status, 0)
        self.assertIn('highest score', result.output)
        address = Address('127.0.1.1', 443)
        self.assertEqual(daemon.queries, [RouteQuery(address, b'', b'\0\xff')])

    def test_invalid_options(self) -> None:
        for arguments in (
            self.service,
            (*self.service, '--flow=0'),
            (*self.service, '--flow=00', '--packet=00'),
            ('--flow=00',),
        ):
            with self.subTest(arguments):
                result = run_with_daemon(
                    FakeDaemon(ROUTE), 'route', *ADDRESS, *KEYS, *arguments
                )
                self.assertEqual(result.status, 2)
