"""New flows at a sidecar: admitted, waiting, refused or given up."""

__all__ = ('FlowAdmission', 'HostPorts')

import logging
from collections.abc import Callable

from attrs import define

from dragonflyshift._internal.carried.flow_names import flow_name
from dragonflyshift._internal.carried.load import BackendState
from dragonflyshift._internal.carried.messages import (
    AdmissionRequest,
    FlowReply,
    FlowStatus,
)
from dragonflyshift._internal.carried.packet import (
    FlowKey,
    Packet,
    PacketCodec,
    SocketAddress,
)
from dragonflyshift._internal.carried.policies.admission import (
    AdmissionDecision,
    NewFlow,
)
from dragonflyshift._internal.carried.sidecar.condition import (
    BackendCondition,
)
from dragonflyshift._internal.carried.sidecar.flows import HostedFlow
from dragonflyshift._internal.carried.telemetry import Counters
from dragonflyshift._internal.exceptions import WireError

logger = logging.getLogger(__name__)

MS_PER_S = 1000
# Clients repeat a first packet after these times and number the copies.
COPY_AGES_MS = (0, 200, 600)


@define(eq=False, repr=False)
class HostPorts:
    """How a sidecar sends to its server, to clients and to balancers."""

    to_backend: Callable[[bytes], None]
    to_client: Callable[[bytes, FlowKey], None]
    to_balancer: Callable[[bytes, SocketAddress], None]


@define(eq=False, repr=False)
class FlowAdmission:
    """Decide on first packets, and deliver them when a slot is free."""

    condition: BackendCondition
    codec: PacketCodec
    ports: HostPorts
    counters: Counters

    def decide(
        self,
        now: float,
        message: AdmissionRequest,
        packet: Packet,
        balancer: SocketAddress,
    ) -> None:
        """Decide on a new flow, or repeat what was decided."""
        known = self.condition.table.get(packet.key)
        if known is not None or self.condition.policy.holds(packet.key):
            self._repeat(now, packet, known, balancer)
            return
        reason = self._refusal(now, message, packet)
        if reason:
            self._refuse(now, packet.key, balancer, reason)
            return
        opening = NewFlow(
            key=packet.key,
            raw=packet.raw,
            arrived_at=now,
            target_ms=message.target_ms,
            timeout_ms=message.timeout_ms,
            priority=message.priority,
            waited_ms=max(message.waited_ms, _repeated_ms(packet)),
            is_last=message.is_last,
            sender=balancer,
        )
        self._admit(now, opening, packet)

    def start_waiting(self, now: float) -> None:
        """Deliver waiting flows while slots are free."""
        condition = self.condition
        while condition.policy.waiting:
            busy = condition.table.busy(now)
            opening = condition.policy.next_ready(
                now,
                busy,
                condition.slots,
                condition.service_ms(now),
            )
            if opening is None:
                return
            self._start(now, opening, self.codec.from_client(opening.raw))
            self._log(now, 'start-waited', opening, busy)

    def expire(self, now: float) -> None:
        """Reset flows that can't be served any more; they have not run."""
        condition = self.condition
        service_ms = condition.service_ms(now)
        for opening in condition.policy.expire(now, service_ms):
            self.counters.incr('given_up')
            reset = self.codec.build_reset(opening.key, 0)
            self.ports.to_client(reset, opening.key)
            self._log(now, 'given-up', opening, condition.table.busy(now))

    def hand_back(self, now: float) -> None:
        """Return all waiting flows to their balancers."""
        for opening in self.condition.policy.clear():
            packet = self.codec.from_client(opening.raw)
            self.answer(
                now,
                opening.key,
                FlowStatus.REFUSED,
                opening.sender,
                packet,
            )

    def return_opening(self, now: float, flow: HostedFlow) -> None:
        """Have the balancer place a flow again whose server was lost.

        Not if that server had answered: the flow may be open at another one
        that got a copy of the first packet.
        """
        if flow.first_sequence is None:
            packet = self.codec.from_client(flow.opening_raw)
            self.answer(
                now,
                flow.key,
                FlowStatus.REFUSED,
                flow.balancer,
                packet,
            )

    def answer(
        self,
        now: float,
        key: FlowKey,
        verdict: FlowStatus,
        balancer: SocketAddress,
        packet: Packet | None = None,
    ) -> None:
        """Tell a balancer a verdict, and return a packet to it."""
        raw = b'' if packet is None else packet.raw
        placement = FlowReply(key, verdict, self.condition.load(now), raw)
        self.ports.to_balancer(placement.encode(), balancer)

    def deliver(self, packet: Packet, mark: int = 0) -> None:
        """Send a packet to the server."""
        raw = packet.raw
        if mark or packet.hop_mark:
            raw = self.codec.with_hop_mark(raw, mark)
        self.ports.to_backend(raw)

    def disown(
        self, now: float, packet: Packet, balancer: SocketAddress
    ) -> None:
        """Return a packet whose flow doesn't live here."""
        self.answer(now, packet.key, FlowStatus.NOT_OWNED, balancer, packet)

    def malformed(self, exc: WireError) -> None:
        """Take note of a packet that can't be read."""
        self.counters.incr('dropped_malformed')
        logger.debug('packet-malformed', extra={'reason': exc.message})

    def _refusal(
        self, now: float, message: AdmissionRequest, packet: Packet
    ) -> str:
        """Return why a new flow is not taken at all, or nothing."""
        condition = self.condition
        if message.service != condition.service:
            return 'wrong-service'
        routes = condition.view.routes
        if routes.version >= message.version:
            route = routes.find(packet.key)
            names = () if route is None else route.services
            if not any(option.name == condition.service for option in names):
                return 'route-changed'
        state = condition.state(now)
        return '' if state is BackendState.SERVING else state.name.lower()

    def _admit(self, now: float, opening: NewFlow, packet: Packet) -> None:
        condition = self.condition
        busy = condition.table.busy(now)
        verdict = condition.policy.offer(
            now,
            opening,
            busy,
            condition.slots,
            condition.service_ms(now),
        )
        if verdict is AdmissionDecision.REFUSE:
            self._refuse(now, packet.key, opening.sender, 'no-slot-in-time')
            return
        if verdict is AdmissionDecision.START:
            self._start(now, opening, packet)
        self.answer(now, packet.key, FlowStatus.ACCEPTED, opening.sender)
        self._log(now, verdict.value, opening, busy)

    def _start(self, now: float, opening: NewFlow, packet: Packet) -> None:
        self.condition.table.opening(now, packet, opening.sender)
        self.counters.observe('wait', opening.age_ms(now) / MS_PER_S)
        self.deliver(packet)

    def _repeat(
        self,
        now: float,
        packet: Packet,
        flow: HostedFlow | None,
        balancer: SocketAddress,
    ) -> None:
        if flow is not None:
            flow.balancer = balancer
            self.deliver(packet)
        self.answer(now, packet.key, FlowStatus.ACCEPTED, balancer)

    def _refuse(
        self,
        now: float,
        key: FlowKey,
        balancer: SocketAddress,
        reason: str,
    ) -> None:
        self.counters.incr('refused')
        self.answer(now, key, FlowStatus.REFUSED, balancer)
        condition = self.condition
        logger.info(
            'opening-refused',
            extra={
                'flow': flow_name(key),
                'reason': reason,
                'busy': condition.table.busy(now),
                'waiting': condition.policy.waiting,
                'slots': condition.slots,
                'version': condition.view.routes.version,
                'revision': condition.view.revision,
            },
        )

    def _log(
        self,
        now: float,
        outcome: str,
        opening: NewFlow,
        busy: int,
    ) -> None:
        condition = self.condition
        logger.info(
            'opening-decided',
            extra={
                'flow': flow_name(opening.key),
                'outcome': outcome,
                'age_ms': int(opening.age_ms(now)),
                'busy': busy,
                'slots': condition.slots,
                'waiting': condition.policy.waiting,
                'service_ms': int(condition.service_ms(now)),
                'version': condition.view.routes.version,
                'revision': condition.view.revision,
            },
        )


def _repeated_ms(packet: Packet) -> int:
    """Return the time since the first copy of a first packet."""
    copies = min(packet.acknowledged, len(COPY_AGES_MS) - 1)
    return COPY_AGES_MS[copies]
