"""Tests which servers get flow probes, and that a bounce is remembered.

A server that doesn't hold a flow bounces its packets. Each packet that reaches
it costs two messages, and none reaches the owner of the flow meanwhile.
"""

import unittest

from dragonflyshift._internal.carried.messages import (
    FlowReply,
    FlowStatus,
    ForwardedPacket,
    OwnershipQuery,
)
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.policies.owner_search import (
    OwnerCandidates,
    ProbeBudget,
    choose_probes,
)
from dragonflyshift._internal.carried.sidecar.flow_probes import (
    MAX_BOUNCED_FLOWS,
    FlowProbes,
)
from tests.lib.carried import (
    ACK,
    BOUNCED,
    PEER_PORT,
    SERVICE,
    build_flow_handler,
    build_key,
    build_packet,
)

_KEY = build_key()
_BALANCER: SocketAddress = ('10.2.0.1', PEER_PORT)
_DATA = build_packet(_KEY, ACK, acknowledged=7000, payload=b'GET /')
_FLAGS_OFFSET = 8


class BouncedFlowTest(unittest.TestCase):
    """A flow whose packets a server bounced repeatedly reached it for good.

    Each retransmission was delivered as a further probe.
    """

    def setUp(self) -> None:
        handler, outbox = build_flow_handler(knows_all=False)
        self.handler = handler
        self.outbox = outbox
        self.handler.on_forwarded_packet(
            0, ForwardedPacket(SERVICE, _DATA), _BALANCER
        )
        bounced = bytearray(self.outbox.to_backend[0])
        bounced[_FLAGS_OFFSET] |= BOUNCED
        self.handler.on_backend_packet(0.1, bytes(bounced))
        self.outbox.clear()

    def test_bounced_flow_is_denied(self) -> None:
        self.handler.on_ownership_query(
            0.2, OwnershipQuery(SERVICE, _KEY, 7000), _BALANCER
        )
        self.assertIs(self._status(), FlowStatus.NOT_OWNED)

    def test_bounced_flow_is_not_delivered_again(self) -> None:
        self.handler.on_forwarded_packet(
            0.2, ForwardedPacket(SERVICE, _DATA), _BALANCER
        )
        self.assertEqual(self.outbox.to_backend, [])
        self.assertIs(self._status(), FlowStatus.NOT_OWNED)

    def test_flow_that_the_server_opens_later_is_owned(self) -> None:
        """Its client used the port again."""
        answer = build_packet(_KEY, ACK, from_backend=True, payload=b'200')
        self.handler.on_backend_packet(0.3, answer)
        self.outbox.clear()
        self.handler.on_ownership_query(
            0.4, OwnershipQuery(SERVICE, _KEY, 7000), _BALANCER
        )
        self.assertIs(self._status(), FlowStatus.OWNED)

    def _status(self) -> FlowStatus:
        self.assertEqual(len(self.outbox.to_daemon), 1)
        reply = self.outbox.to_daemon[0][0]
        assert isinstance(reply, FlowReply)
        return reply.status


class FlowProbesTest(unittest.TestCase):
    def test_oldest_bounced_flows_are_forgotten(self) -> None:
        probes = FlowProbes()
        for number in range(MAX_BOUNCED_FLOWS + 1):
            probes.record_bounce(number.to_bytes(12, 'big'))
        first, last = (0).to_bytes(12, 'big'), MAX_BOUNCED_FLOWS
        self.assertFalse(probes.is_bounced(first))
        self.assertTrue(probes.is_bounced(last.to_bytes(12, 'big')))


class ChooseProbesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.likely = ('10.1.0.1', 1)
        self.other = ('10.1.0.2', 1)
        self.rows = [(self.likely, 'one'), (self.other, 'two')]

    def test_likely_servers_come_first(self) -> None:
        candidates = OwnerCandidates.split(self.rows, {'one'})
        unsure = {self.likely, self.other}
        self.assertEqual(
            choose_probes(candidates, unsure, set()), [self.likely]
        )
        self.assertEqual(
            choose_probes(candidates, unsure, {self.likely}), [self.other]
        )
        self.assertEqual(choose_probes(candidates, unsure, unsure), [])

    def test_servers_without_the_route_get_none_if_the_view_shows_it(
        self,
    ) -> None:
        candidates = OwnerCandidates.split(self.rows, {'one'}, is_complete=True)
        self.assertEqual(choose_probes(candidates, {self.other}, set()), [])

    def test_budget_limits_the_probes_after_a_loss_of_all_daemons(self) -> None:
        """Each flow whose server ended costs a probe at every server."""
        budget = ProbeBudget(per_s=500)
        taken = sum(budget.take(step / 100, 16) for step in range(200))
        self.assertAlmostEqual(taken, 500 + 2 * 500, delta=16)
