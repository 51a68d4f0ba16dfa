"""Look-ups in large services: a balancer asks one sidecar, which asks all."""

import random
import unittest

from dragonflyshift._internal.carried.balancer.carrier import (
    CarrierPorts,
    FlowCarrier,
)
from dragonflyshift._internal.carried.balancer.sidecars import SidecarBook
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
from dragonflyshift._internal.carried.policies.placement import (
    FastestEstimate,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.sidecar.lookup_delegate import (
    LookupDelegate,
    LookupDelegateCallbacks,
)
from dragonflyshift._internal.carried.telemetry import Counters
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import (
    ACK,
    DATA_CENTER,
    PEER_PORT,
    SERVICE,
    Outbox,
    build_key,
    build_load,
    build_packet,
    build_record,
    build_view,
)

_CODEC = PlatformCodec()
_ENDPOINTS = 30
_BALANCER: SocketAddress = ('10.2.0.1', PEER_PORT)


def _sidecar(record: EndpointRecord) -> SocketAddress:
    return (record.host, PEER_PORT)


def _nothing() -> None:
    """The view needs no confirmation."""


def _data(payload: bytes = b'GET /') -> bytes:
    return build_packet(build_key(), ACK, acknowledged=7000, payload=payload)


class BalancerSurveyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.outbox = Outbox()
        self.view = build_view(endpoints=_ENDPOINTS)
        self.carrier = FlowCarrier(
            self.view,
            SidecarBook(DATA_CENTER),
            _CODEC,
            FastestEstimate(),
            CarrierPorts(
                self.outbox.add_datagram,
                self.outbox.add_client_packet,
                _sidecar,
                lambda _now: 0,
                _nothing,
            ),
            random.Random(1),
            Counters(),
        )

    def test_unknown_flow_costs_one_datagram(self) -> None:
        """50 questions and answers fill a thin balancer's processor."""
        self.carrier.client_packet(0, _data())
        self.assertEqual(len(self.outbox.to_daemon), 1)
        survey = self.outbox.to_daemon[0][0]
        assert isinstance(survey, LookupRequest)
        self.assertEqual(survey.raw, _data())

    def test_small_service_is_asked_directly(self) -> None:
        for number in range(4, _ENDPOINTS + 1):
            self.view.remove(f'instance-{number}', 90)
        self.carrier.client_packet(0, _data())
        asked = [type(message) for message, _pair in self.outbox.to_daemon]
        self.assertEqual(
            asked, [OwnershipQuery, OwnershipQuery, OwnershipQuery]
        )

    def test_owner_gets_the_packets_that_waited(self) -> None:
        surveyor = self._begin()
        self.carrier.client_packet(0.01, _data(b'more'))
        self._end(surveyor, LookupOutcome.OWNED, owner='10.1.0.9')
        self.carrier.client_packet(0.03, _data(b'last'))
        carried = [
            (message.raw, pair[0])
            for message, pair in self.outbox.to_daemon
            if isinstance(message, ForwardedPacket)
        ]
        expected = [(_data(b'more'), '10.1.0.9'), (_data(b'last'), '10.1.0.9')]
        self.assertEqual(carried, expected)

    def test_flow_that_all_deny_is_reset(self) -> None:
        self._end(self._begin(), LookupOutcome.DENIED)
        (reset,) = self.outbox.to_client
        self.assertTrue(_CODEC.from_backend(reset).is_rst)

    def test_denial_by_another_view_resets_nothing(self) -> None:
        surveyor = self._begin()
        self.view.merge(build_record(_ENDPOINTS + 1))
        self._end(surveyor, LookupOutcome.DENIED, digest=self.view.digest ^ 1)
        self.assertEqual(self.outbox.to_client, [])

    def test_stranger_ends_no_survey(self) -> None:
        self._begin()
        self._end(('10.1.0.99', PEER_PORT), LookupOutcome.DENIED)
        self.assertEqual(self.outbox.to_client, [])

    def test_silent_sidecar_is_replaced_at_the_next_packet(self) -> None:
        silent = self._begin()
        self.carrier.tick(0.5)
        self.carrier.client_packet(0.6, _data())
        self.assertNotEqual(self.outbox.to_daemon[-1][1], silent)
        self.assertTrue(self.carrier.has_waiting())

    def _begin(self) -> SocketAddress:
        self.carrier.client_packet(0, _data())
        return self.outbox.to_daemon[0][1]

    def _end(
        self,
        source: SocketAddress,
        finding: LookupOutcome,
        owner: str = '',
        digest: int | None = None,
    ) -> None:
        findings = LookupResult(
            build_key(),
            finding,
            owner,
            _ENDPOINTS,
            _ENDPOINTS,
            self.view.digest if digest is None else digest,
            self.view.routes.version,
        )
        self.carrier.findings(0.02, findings, source)


class SurveyorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.outbox = Outbox()
        self.view = build_view(endpoints=_ENDPOINTS)
        self.surveyor = LookupDelegate(
            self.view,
            _CODEC,
            LookupDelegateCallbacks(
                self.outbox.add_datagram,
                _sidecar,
                _nothing,
                self.fail,
            ),
        )
        self.surveyor.on_message(0, LookupRequest(SERVICE, _data()), _BALANCER)
        self.asked = [
            pair
            for message, pair in self.outbox.to_daemon
            if isinstance(message, OwnershipQuery)
        ]

    def test_all_sidecars_are_asked(self) -> None:
        self.assertEqual(len(set(self.asked)), _ENDPOINTS)

    def test_owner_gets_the_packet_and_the_balancer_its_name(self) -> None:
        self._answer(self.asked[4], FlowStatus.OWNED)
        (carried,) = [
            pair
            for message, pair in self.outbox.to_daemon
            if isinstance(message, ForwardedPacket)
        ]
        self.assertEqual(carried, self.asked[4])
        findings = self._findings()
        self.assertIs(findings.outcome, LookupOutcome.OWNED)
        self.assertEqual(findings.owner, self.asked[4][0])

    def test_denial_by_all_is_told_with_the_view(self) -> None:
        for pair in self.asked:
            self._answer(pair, FlowStatus.NOT_OWNED)
        self.surveyor.tick(0.2)
        findings = self._findings()
        self.assertIs(findings.outcome, LookupOutcome.DENIED)
        self.assertEqual(findings.digest, self.view.digest)

    def test_sidecar_that_joined_meanwhile_may_have_the_flow(self) -> None:
        for pair in self.asked:
            self._answer(pair, FlowStatus.NOT_OWNED)
        self.view.merge(build_record(_ENDPOINTS + 1))
        self.surveyor.tick(0.2)
        self.assertIs(self._findings().outcome, LookupOutcome.UNANSWERED)

    def test_unsure_sidecars_get_the_packet_as_a_question(self) -> None:
        for pair in self.asked:
            unsure = pair == self.asked[7]
            verdict = FlowStatus.UNSURE if unsure else FlowStatus.NOT_OWNED
            self._answer(pair, verdict)
        self.assertEqual(self.outbox.to_daemon[-1][1], self.asked[7])
        self._answer(self.asked[7], FlowStatus.NOT_OWNED)
        self.surveyor.tick(0.2)
        self.assertIs(self._findings().outcome, LookupOutcome.DENIED)

    def test_silence_of_one_is_no_denial(self) -> None:
        for pair in self.asked[1:]:
            self._answer(pair, FlowStatus.NOT_OWNED)
        self.surveyor.tick(0.5)
        self.assertIs(self._findings().outcome, LookupOutcome.UNANSWERED)

    def test_both_balancers_of_copies_hear_the_end(self) -> None:
        other = ('10.2.0.2', PEER_PORT)
        self.surveyor.on_message(0.01, LookupRequest(SERVICE, _data()), other)
        self._answer(self.asked[0], FlowStatus.OWNED)
        told = {
            pair
            for message, pair in self.outbox.to_daemon
            if isinstance(message, LookupResult)
        }
        self.assertEqual(told, {_BALANCER, other})

    def _answer(self, pair: SocketAddress, verdict: FlowStatus) -> None:
        answer = FlowReply(build_key(), verdict, build_load())
        self.surveyor.on_message(0.02, answer, pair)

    def _findings(self) -> LookupResult:
        (findings,) = [
            message
            for message, pair in self.outbox.to_daemon
            if isinstance(message, LookupResult) and pair == _BALANCER
        ]
        return findings
