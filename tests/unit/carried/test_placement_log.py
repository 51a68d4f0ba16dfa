"""Tests of the log lines about slow placements and admissions.

A line for each flow takes more processor time than the decision itself, and
without a line nobody can say why a slow request was placed where it was.
"""

import logging
import unittest

from dragonflyshift._internal.carried.load import BackendState
from dragonflyshift._internal.carried.messages import FlowReply, FlowStatus
from dragonflyshift._internal.carried.packet import SocketAddress
from tests.lib.carried import (
    SYN,
    Outbox,
    build_admission_request,
    build_flow_handler,
    build_forwarder,
    build_key,
    build_load,
    build_packet,
    build_view,
)

_CARRIED = 'dragonflyshift._internal.carried'
_PLACEMENTS = f'{_CARRIED}.balancer.placement_log'
_ADMISSIONS = f'{_CARRIED}.sidecar.admission'
_BALANCER: SocketAddress = ('10.0.0.1', 7720)


class PlacementLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.outbox = Outbox()
        self.forwarder = build_forwarder(build_view(endpoints=3), self.outbox)

    def test_slow_placement_is_logged_with_its_offers(self) -> None:
        with self.assertLogs(_PLACEMENTS) as logs:
            self._receive(1, 0)
            self._reply(1, 0.01, FlowStatus.REFUSED)
            self.forwarder.tick(0.08)
            self._reply(1, 0.09, FlowStatus.ACCEPTED)
        fields = logs.records[0].__dict__
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(fields['result'], 'accepted')
        self.assertEqual(fields['took_ms'], 90)
        outcomes = [offer['outcome'] for offer in fields['offers']]
        self.assertEqual(outcomes, ['refused', 'no-reply', 'accepted'])
        self.assertEqual(fields['offers'][2]['after_ms'], 80)
        self.assertEqual(fields['offers'][0]['considered'], 3)
        self.assertEqual(len(fields['offers'][0]['next']), 2)

    def test_refused_flow_is_logged_with_its_offers(self) -> None:
        with self.assertLogs(_PLACEMENTS) as logs:
            self._receive(1, 0)
            for _ in range(5):
                self._reply(1, 0.01, FlowStatus.REFUSED)
        fields = logs.records[0].__dict__
        self.assertEqual(fields['result'], 'all-refused')
        self.assertEqual(len(fields['offers']), 5)

    def test_usual_placement_is_not_logged(self) -> None:
        with self.assertNoLogs(_PLACEMENTS):
            self._receive(1, 0)
            self._reply(1, 0.01, FlowStatus.REFUSED)
            self._reply(1, 0.02, FlowStatus.ACCEPTED)

    def test_lines_are_bounded_after_an_outage(self) -> None:
        with self.assertLogs(_PLACEMENTS) as logs:
            for number in range(1, 31):
                self._receive(number, 0)
            for number in range(1, 31):
                self._reply(number, 0.9, FlowStatus.ACCEPTED)
            self._receive(31, 1)
            self._reply(31, 1.9, FlowStatus.ACCEPTED)
        self.assertEqual(len(logs.records), 11)
        self.assertEqual(logs.records[-1].__dict__['unlogged'], 20)

    def _receive(self, number: int, now: float) -> None:
        self.forwarder.on_client_packet(
            now, build_packet(build_key(number), SYN)
        )

    def _reply(self, number: int, now: float, status: FlowStatus) -> None:
        key = build_key(number)
        offered_to = self.forwarder.placer.pending[key].offered_to
        assert offered_to is not None
        load = build_load(busy=4, state=BackendState.SERVING)
        self.forwarder.on_flow_reply(
            now, FlowReply(key, status, load), offered_to
        )


class AdmissionLogTest(unittest.TestCase):
    def setUp(self) -> None:
        logger = logging.getLogger(_ADMISSIONS)
        self.addCleanup(logger.setLevel, logger.level)
        logger.setLevel(logging.INFO)
        self.handler = build_flow_handler()[0]

    def test_flow_that_starts_at_once_is_not_logged(self) -> None:
        with self.assertNoLogs(_ADMISSIONS, logging.INFO):
            self._offer(1)

    def test_refusal_that_another_server_makes_up_for_is_not_logged(
        self,
    ) -> None:
        with self.assertNoLogs(_ADMISSIONS, logging.INFO):
            for number in range(1, 6):
                self._offer(number, is_last=False)

    def test_refused_and_old_flows_are_logged(self) -> None:
        with self.assertLogs(_ADMISSIONS, logging.INFO) as logs:
            self._offer(1, waited_ms=100)
            for number in range(2, 30):
                self._offer(number)
        events = [record.getMessage() for record in logs.records]
        self.assertEqual(events[0], 'opening-decided')
        self.assertEqual(logs.records[0].__dict__['age_ms'], 100)
        self.assertIn('opening-refused', events)

    def test_debug_level_has_a_line_for_each_flow(self) -> None:
        with self.assertLogs(_ADMISSIONS, logging.DEBUG) as logs:
            for number in range(1, 6):
                self._offer(number, is_last=False)
        self.assertEqual(len(logs.records), 5)

    def _offer(self, number: int, **changes: object) -> None:
        message = build_admission_request(build_key(number), **changes)
        self.handler.on_admission_request(0, message, _BALANCER)
