"""New flows and work at a sidecar while data centres are evacuated.

Guards against new flows that stay in an evacuated data centre because their
balancer has an older document, and against a state that a restart forgets.
"""

import time
import unittest
from unittest.mock import Mock

from dragonflyshift._internal.config.evacuation import publish_evacuation
from dragonflyshift._internal.membership import MemberTable
from dragonflyshift._internal.models import (
    Incarnation,
    MemberRecord,
    MemberState,
)
from dragonflyshift._internal.routing import Rendezvous
from dragonflyshift._internal.sidecar.backend_watch import BackendState
from dragonflyshift._internal.sidecar.evacuation import SidecarEvacuation
from dragonflyshift._internal.sidecar.lifecycle import Lifecycle
from dragonflyshift._internal.telemetry import NoMetrics
from tests.lib.builders import (
    DATA_CENTER,
    REGION,
    build_address,
    build_endpoint,
    build_service,
)

OWN, NEIGHBOUR, ELSEWHERE, DEAD = map(build_address, range(1, 5))


def _build_members() -> MemberTable:
    own = MemberRecord(OWN, Incarnation(1), MemberState.COLD)
    members = MemberTable(own)
    dead = MemberRecord(DEAD, Incarnation(1), MemberState.DEAD)
    members.merge((dead,), time.monotonic())
    return members


class SidecarEvacuationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.members = _build_members()
        self.metrics = NoMetrics('sidecar')
        self.evacuate()

    def evacuate(self, *data_centers: str) -> None:
        endpoints = (
            build_endpoint(1),
            build_endpoint(2),
            build_endpoint(3, data_center='ipoh'),
            build_endpoint(4, data_center='ipoh'),
        )
        declared = build_service(endpoints=endpoints, evacuated=data_centers)
        self.service = publish_evacuation(declared)

    def build(self, own: int = 1) -> SidecarEvacuation:
        settings = Mock(
            listen=build_address(own),
            data_center=DATA_CENTER,
            region=REGION,
        )
        evacuation = SidecarEvacuation(
            settings,
            lambda: self.service,
            self.members,
            Rendezvous(),
            self.metrics,
        )
        evacuation.update()
        return evacuation

    def test_flow_of_an_older_balancer_goes_elsewhere(self) -> None:
        self.evacuate(DATA_CENTER)
        for second in (NEIGHBOUR, None):
            with self.subTest(second):
                chosen = self.build().choose_second(b'flow', second)
                self.assertEqual(chosen, ELSEWHERE)
        chosen = self.build().choose_second(b'flow', DEAD)
        self.assertEqual(chosen, DEAD)

    def test_flow_is_not_passed_on_into_an_evacuation(self) -> None:
        self.evacuate('ipoh')
        evacuation = self.build()
        self.assertFalse(evacuation.applies)
        self.assertIsNone(evacuation.choose_second(b'flow', ELSEWHERE))
        self.assertEqual(
            evacuation.choose_second(b'flow', NEIGHBOUR), NEIGHBOUR
        )

    def test_no_flow_is_passed_on_if_every_data_center_is_evacuated(self):
        self.evacuate(DATA_CENTER, 'ipoh')
        evacuation = self.build()
        self.assertTrue(evacuation.applies)
        self.assertIsNone(evacuation.choose_second(b'flow', ELSEWHERE))

    def test_flows_left_are_reported_until_restored(self) -> None:
        evacuation = self.build()
        name = 'dragonflyshift.sidecar.evacuated-flows-left'
        evacuation.report_flows(4)
        self.assertNotIn(name, self.metrics.snapshot())
        self.evacuate(DATA_CENTER)
        evacuation.update()
        evacuation.report_flows(4)
        self.assertEqual(self.metrics.snapshot()[name], 4)
        self.evacuate()
        evacuation.update()
        evacuation.report_flows(4)
        self.assertEqual(self.metrics.snapshot()[name], 0)

    def test_lifecycle_follows_the_document(self) -> None:
        lifecycle = Lifecycle(OWN, self.members)
        for data_centers, accepts_work, runs_own in (
            # A sidecar that starts in an evacuation.
            ((DATA_CENTER,), False, True),
            # No other sidecar takes work, so those in the evacuation share it.
            ((DATA_CENTER, 'ipoh'), True, False),
            ((DATA_CENTER,), False, True),
            ((), True, False),
        ):
            self.evacuate(*data_centers)
            lifecycle.document_changed(self.service)
            with self.subTest(data_centers):
                self.assertIs(lifecycle.accepts_work, accepts_work)
                self.assertIs(lifecycle.runs_own_requests, runs_own)
        self.evacuate(DATA_CENTER)
        lifecycle.document_changed(self.service)
        lifecycle.backend_changed(BackendState.DRAINING)
        self.assertFalse(lifecycle.runs_own_requests)
