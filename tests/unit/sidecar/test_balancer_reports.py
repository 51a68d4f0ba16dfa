"""Tests of the reports of balancers between sidecars.

They guard against a response that can't be returned: the sidecar has few flows
and knows a single balancer, which fails once the client's last packet is
acknowledged. The client then sends nothing by which another balancer would
become known, and its flow ends by the idle timeout.
"""

import random
import unittest

from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.recovery import BalancerDirectory, ReturnPath
from dragonflyshift._internal.recovery.balancers import REPORTED_S
from dragonflyshift._internal.recovery.return_path import RESPONSE_TIMEOUT_S
from dragonflyshift._internal.sidecar.balancer_reports import (
    PERIOD_S,
    BalancerReports,
)
from dragonflyshift._internal.wire import DatagramKind
from dragonflyshift._internal.wire.balancer_report import (
    MAX_REPORTED_BALANCERS,
    BalancerReport,
    ReportedBalancer,
)
from tests.lib.members import address_of

FAILED, LIVE = address_of(1), address_of(2)
SIDECAR, PEER = address_of(11), address_of(12)


class BalancerReportsTest(unittest.TestCase):
    def setUp(self):
        self.directory = BalancerDirectory()
        self.peer_directory = BalancerDirectory()
        self.sent = []
        self.reports = self._build_reports(self.directory, (PEER,))
        self.peer_reports = self._build_reports(self.peer_directory, (SIDECAR,))

    def test_response_is_returned_after_the_only_known_balancer_failed(self):
        path = ReturnPath(self.directory)
        self.directory.record(FAILED, 0)
        path.record_delivery(FAILED, 0)
        path.choose(0.1)
        path.record_sent(0.1)
        self.peer_directory.record(LIVE, 0.2)
        self.peer_reports.send_report(PERIOD_S)
        self._deliver_to(self.reports, PERIOD_S)
        retransmitted_at = 0.1 + RESPONSE_TIMEOUT_S + 0.01
        self.assertEqual(path.choose(retransmitted_at), LIVE)

    def test_report_goes_to_a_peer_with_the_age_of_each_balancer(self):
        self.directory.record(FAILED, 1)
        self.directory.record(LIVE, 1.5)
        self.reports.send_report(2)
        address, kind, body = self.sent.pop()
        self.assertEqual((address, kind), (PEER, DatagramKind.BALANCERS))
        self.assertEqual(
            BalancerReport.decode(body).balancers,
            (ReportedBalancer(LIVE, 500), ReportedBalancer(FAILED, 1000)),
        )

    def test_reported_old_and_leaving_balancers_are_not_reported_on(self):
        self.directory.record_report(LIVE, 10)
        self.directory.record(FAILED, 10 - REPORTED_S - 0.1)
        self.directory.record(address_of(3), 10, leaving=True)
        self.reports.send_report(10)
        self.assertEqual(self.sent, [])

    def test_report_changes_the_order_but_no_leaving_balancer(self):
        third = address_of(3)
        self.directory.record(LIVE, 1)
        self.directory.record(FAILED, 2)
        self.directory.record(third, 2, leaving=True)
        for balancer in (LIVE, third):
            self.peer_directory.record(balancer, 3)
        self.peer_reports.send_report(3)
        self._deliver_to(self.reports, 3)
        self.assertEqual(tuple(self.directory.recent(3)), (LIVE, FAILED))

    def test_reports_are_bounded_and_malformed_ones_refused(self):
        for number in range(1, MAX_REPORTED_BALANCERS + 5):
            self.directory.record(address_of(number), 0)
        self.reports.send_report(0)
        body = self.sent.pop()[-1]
        count = len(BalancerReport.decode(body).balancers)
        self.assertEqual(count, MAX_REPORTED_BALANCERS)
        for malformed in (b'', body[:-1], body * 2, bytes(len(body))):
            with self.assertRaises(WireError):
                self.reports.receive(malformed, 0)

    def test_sidecar_without_peers_sends_nothing(self):
        self.directory.record(LIVE, 0)
        self._build_reports(self.directory, ()).send_report(0)
        self.assertEqual(self.sent, [])

    def _build_reports(self, directory, peers):
        return BalancerReports(
            directory,
            lambda: peers,
            lambda *message: self.sent.append(message),
            random.Random(1),
        )

    def _deliver_to(self, reports, now):
        _address, _kind, body = self.sent.pop()
        reports.receive(body, now)
