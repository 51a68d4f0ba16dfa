import random
import unittest
from collections import Counter

from dragonflyshift._internal.carried.fleet.peers import PeerTable
from dragonflyshift._internal.carried.fleet.status_recipients import (
    BALANCERS_PER_SIDECAR,
    StatusRecipients,
)
from dragonflyshift._internal.carried.messages import DaemonStatus, FlowReply
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.sidecar.reports import (
    MAX_REPORTS_PER_S,
    LoadReporter,
)
from tests.lib.carried import Outbox, build_load

_DATA_CENTERS = ('klang', 'ipoh', 'melaka')
_STEP_S = 0.005


def _address(number: int, kind: int) -> SocketAddress:
    return (f'10.{kind}.0.{number}', 7720)


def _status(data_center: str) -> DaemonStatus:
    return DaemonStatus(
        is_balancer=True,
        is_reader=False,
        data_center=data_center,
        revision=1,
        version=1,
        digest=1,
        age_ms=0,
        is_leaving=False,
        wants_reply=False,
    )


def _build_recipients(balancers: int, sidecars: int) -> list[StatusRecipients]:
    data_centers = {
        _address(number, 1): _DATA_CENTERS[number % len(_DATA_CENTERS)]
        for number in range(balancers)
    }
    sidecar_data_centers = {
        _address(number, 2): _DATA_CENTERS[number % len(_DATA_CENTERS)]
        for number in range(sidecars)
    }
    recipients = []
    for own_address, data_center in data_centers.items():
        peer_table = PeerTable(own_address, (), random.Random(1))
        for other, other_data_center in data_centers.items():
            if other != own_address:
                peer_table.record_status(0, other, _status(other_data_center))
        recipients.append(
            StatusRecipients(
                True, data_center, peer_table, sidecar_data_centers.copy
            )
        )
    return recipients


class StatusRecipientsTest(unittest.TestCase):
    def test_each_sidecar_receives_changes_from_two_balancers(self) -> None:
        for balancers in (6, 24, 60):
            received: Counter[SocketAddress] = Counter()
            for recipients in _build_recipients(balancers, 50):
                received.update(recipients.for_changes(is_reading=False))
            with self.subTest(balancers=balancers):
                self.assertEqual(len(received), 50)
                self.assertEqual(
                    set(received.values()), {BALANCERS_PER_SIDECAR}
                )

    def test_sidecars_without_local_balancers_receive_changes(self) -> None:
        received: Counter[SocketAddress] = Counter()
        for recipients in _build_recipients(2, 9):
            received.update(recipients.for_changes(is_reading=False))
        self.assertEqual(len(received), 9)

    def test_reader_sends_changes_to_all_balancers(self) -> None:
        recipients = _build_recipients(24, 50)[0]
        received = recipients.for_changes(is_reading=True)
        balancers = {
            address for address in received if address[0].startswith('10.1.')
        }
        self.assertEqual(len(balancers), 23)

    def test_reports_of_a_busy_sidecar_are_bounded(self) -> None:
        """The load changes with each packet; 24 balancers receive reports."""
        outbox = Outbox()
        state = {'busy': 0}
        reporter = LoadReporter(
            lambda _now: build_load(busy=state['busy']),
            outbox.add_datagram,
        )
        for number in range(24):
            reporter.add_recipient(0, _address(number, 1))
        for step in range(400):
            state['busy'] = step % 4
            reporter.report_change(step * _STEP_S)
        reports = [
            message
            for message, _recipient in outbox.to_daemon
            if isinstance(message, FlowReply)
        ]
        self.assertLessEqual(len(reports), MAX_REPORTS_PER_S * 2 + 24)
        self.assertGreater(len(reports), MAX_REPORTS_PER_S)
