"""Tests owner lookups that a balancer delegates to a sidecar.

If a balancer queries all sidecars of a large service itself, the answers keep
its processor busy for longer than the flow can wait. A result that is based on
another view must not reset a flow, because its owner may be missing there.
"""

import unittest

from dragonflyshift._internal.carried.messages import (
    FlowReply,
    FlowStatus,
    ForwardedPacket,
    LookupOutcome,
    LookupRequest,
    LookupResult,
    OwnershipQuery,
)
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.sidecar.lookup_delegate import (
    LookupDelegate,
    LookupDelegateCallbacks,
)
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import (
    ACK,
    PEER_PORT,
    SERVICE,
    Outbox,
    build_forwarder,
    build_key,
    build_load,
    build_packet,
    build_record,
    build_view,
    ignore,
    sidecar_address,
)

_CODEC = PlatformCodec()
_ENDPOINTS = 30
_BALANCER: SocketAddress = ('10.2.0.1', PEER_PORT)


def _data(payload: bytes = b'GET /') -> bytes:
    return build_packet(build_key(), ACK, acknowledged=7000, payload=payload)


class BalancerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.outbox = Outbox()
        self.view = build_view(endpoints=_ENDPOINTS)
        self.forwarder = build_forwarder(self.view, self.outbox)

    def test_unknown_flow_takes_one_datagram(self) -> None:
        """50 queries and answers overload a balancer with a slow processor."""
        self.forwarder.on_client_packet(0, _data())
        self.assertEqual(len(self.outbox.to_daemon), 1)
        request = self.outbox.to_daemon[0][0]
        assert isinstance(request, LookupRequest)
        self.assertEqual(request.raw, _data())

    def test_sidecars_of_a_small_service_are_queried_directly(self) -> None:
        for number in range(4, _ENDPOINTS + 1):
            self.view.remove(f'instance-{number}', 90)
        self.forwarder.on_client_packet(0, _data())
        queried = [type(message) for message, _address in self.outbox.to_daemon]
        self.assertEqual(
            queried, [OwnershipQuery, OwnershipQuery, OwnershipQuery]
        )

    def test_owner_receives_the_held_packets(self) -> None:
        delegate = self._request_lookup()
        self.forwarder.on_client_packet(0.01, _data(b'more'))
        self._report_result(delegate, LookupOutcome.OWNED, owner='10.1.0.9')
        self.forwarder.on_client_packet(0.03, _data(b'last'))
        forwarded = [
            (message.raw, address[0])
            for message, address in self.outbox.to_daemon
            if isinstance(message, ForwardedPacket)
        ]
        expected = [(_data(b'more'), '10.1.0.9'), (_data(b'last'), '10.1.0.9')]
        self.assertEqual(forwarded, expected)

    def test_flow_that_all_sidecars_deny_is_reset(self) -> None:
        self._report_result(self._request_lookup(), LookupOutcome.DENIED)
        (reset,) = self.outbox.to_client
        self.assertTrue(_CODEC.from_backend(reset).is_rst)

    def test_result_for_another_view_does_not_reset_the_flow(self) -> None:
        delegate = self._request_lookup()
        self.view.merge(build_record(_ENDPOINTS + 1))
        self._report_result(
            delegate, LookupOutcome.DENIED, digest=self.view.checksum ^ 1
        )
        self.assertEqual(self.outbox.to_client, [])

    def test_result_from_another_sidecar_is_ignored(self) -> None:
        self._request_lookup()
        self._report_result(('10.1.0.99', PEER_PORT), LookupOutcome.DENIED)
        self.assertEqual(self.outbox.to_client, [])

    def test_next_packet_goes_to_another_sidecar_after_a_timeout(self) -> None:
        unresponsive = self._request_lookup()
        self.forwarder.tick(0.5)
        self.forwarder.on_client_packet(0.6, _data())
        self.assertNotEqual(self.outbox.to_daemon[-1][1], unresponsive)
        self.assertTrue(self.forwarder.has_waiting())

    def _request_lookup(self) -> SocketAddress:
        self.forwarder.on_client_packet(0, _data())
        return self.outbox.to_daemon[0][1]

    def _report_result(
        self,
        source: SocketAddress,
        outcome: LookupOutcome,
        owner: str = '',
        digest: int | None = None,
    ) -> None:
        result = LookupResult(
            build_key(),
            outcome,
            owner,
            _ENDPOINTS,
            _ENDPOINTS,
            self.view.checksum if digest is None else digest,
            self.view.routes.version,
        )
        self.forwarder.on_lookup_result(0.02, result, source)


class DelegateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.outbox = Outbox()
        self.view = build_view(endpoints=_ENDPOINTS)
        self.delegate = LookupDelegate(
            self.view,
            _CODEC,
            LookupDelegateCallbacks(
                self.outbox.add_datagram,
                sidecar_address,
                ignore,
                self.fail,
            ),
        )
        self.delegate.on_message(0, LookupRequest(SERVICE, _data()), _BALANCER)
        self.queried = [
            address
            for message, address in self.outbox.to_daemon
            if isinstance(message, OwnershipQuery)
        ]

    def test_all_sidecars_are_queried(self) -> None:
        self.assertEqual(len(set(self.queried)), _ENDPOINTS)

    def test_owner_receives_the_packet_and_the_balancer_the_result(
        self,
    ) -> None:
        self._answer(self.queried[4], FlowStatus.OWNED)
        (forwarded,) = [
            address
            for message, address in self.outbox.to_daemon
            if isinstance(message, ForwardedPacket)
        ]
        self.assertEqual(forwarded, self.queried[4])
        result = self._result()
        self.assertIs(result.outcome, LookupOutcome.OWNED)
        self.assertEqual(result.owner, self.queried[4][0])

    def test_denied_result_contains_the_digest_of_the_view(self) -> None:
        for address in self.queried:
            self._answer(address, FlowStatus.NOT_OWNED)
        self.delegate.tick(0.2)
        result = self._result()
        self.assertIs(result.outcome, LookupOutcome.DENIED)
        self.assertEqual(result.digest, self.view.checksum)

    def test_no_denial_if_a_sidecar_joins_during_the_lookup(self) -> None:
        for address in self.queried:
            self._answer(address, FlowStatus.NOT_OWNED)
        self.view.merge(build_record(_ENDPOINTS + 1))
        self.delegate.tick(0.2)
        self.assertIs(self._result().outcome, LookupOutcome.UNANSWERED)

    def test_unsure_sidecar_receives_the_packet_as_a_probe(self) -> None:
        for address in self.queried:
            unsure = address == self.queried[7]
            status = FlowStatus.UNSURE if unsure else FlowStatus.NOT_OWNED
            self._answer(address, status)
        self.assertEqual(self.outbox.to_daemon[-1][1], self.queried[7])
        self._answer(self.queried[7], FlowStatus.NOT_OWNED)
        self.delegate.tick(0.2)
        self.assertIs(self._result().outcome, LookupOutcome.DENIED)

    def test_missing_answer_is_not_a_denial(self) -> None:
        for address in self.queried[1:]:
            self._answer(address, FlowStatus.NOT_OWNED)
        self.delegate.tick(0.5)
        self.assertIs(self._result().outcome, LookupOutcome.UNANSWERED)

    def test_all_requesting_balancers_receive_the_result(self) -> None:
        other = ('10.2.0.2', PEER_PORT)
        self.delegate.on_message(0.01, LookupRequest(SERVICE, _data()), other)
        self._answer(self.queried[0], FlowStatus.OWNED)
        recipients = {
            address
            for message, address in self.outbox.to_daemon
            if isinstance(message, LookupResult)
        }
        self.assertEqual(recipients, {_BALANCER, other})

    def _answer(self, address: SocketAddress, status: FlowStatus) -> None:
        answer = FlowReply(build_key(), status, build_load())
        self.delegate.on_message(0.02, answer, address)

    def _result(self) -> LookupResult:
        (result,) = [
            message
            for message, address in self.outbox.to_daemon
            if isinstance(message, LookupResult) and address == _BALANCER
        ]
        return result
