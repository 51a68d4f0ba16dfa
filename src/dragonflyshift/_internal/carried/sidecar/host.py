"""The sidecar's packet path for carried flows."""

__all__ = ('FlowHost', 'HostPorts')

import logging
from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.flow_names import flow_name
from dragonflyshift._internal.carried.load import BackendState, LoadReport
from dragonflyshift._internal.carried.messages import (
    Ask,
    Carry,
    Open,
    Placement,
    Verdict,
)
from dragonflyshift._internal.carried.packet import (
    FlowKey,
    Packet,
    PacketCodec,
    Pair,
)
from dragonflyshift._internal.carried.sidecar.flows import (
    FlowPhase,
    FlowTable,
    HostedFlow,
)
from dragonflyshift._internal.carried.sidecar.pace import ServicePace
from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.carried.policies.openings import (
    Opening,
    OpeningPolicy,
    OpeningVerdict,
)
from dragonflyshift._internal.carried.telemetry import Counters

logger = logging.getLogger(__name__)

MS_PER_S = 1000
# Marks a packet that is delivered to learn whether the server holds its flow.
QUESTION_MARK = 1
# After a bounced first packet the server is taken as full for this long.
FULL_S = 0.1
# A balancer that sent a new flow within this time hears of load changes.
INTEREST_S = 2.0
MIN_REPORT_GAP_S = 0.03
MAX_QUESTIONS = 4096
QUESTION_LIFETIME_S = 1.0


@define(eq=False)
class HostPorts:
    """How the host sends, and what it asks of its daemon."""

    to_backend: Callable[[bytes], None]
    to_client: Callable[[bytes, FlowKey], None]
    to_balancer: Callable[[bytes, Pair], None]


@define(eq=False)
class _Question:
    """A packet of an unknown flow that went to the server."""

    balancer: Pair
    asked_at: float


@define(eq=False)
class FlowHost:
    """Own the flows of one backend server."""

    service: str
    backend: Pair
    view: FleetView
    codec: PacketCodec
    policy: OpeningPolicy
    ports: HostPorts
    counters: Counters
    knows_all: bool
    table: FlowTable = field(factory=FlowTable)
    pace: ServicePace = field(factory=ServicePace)
    is_stopping: bool = field(default=False)
    is_down: bool = field(default=False)
    # When a request was last answered by the server, and a packet seen.
    backend_seen_at: float = field(default=float('-inf'))
    _listed_slots: int = field(default=1)
    _full_until: float = field(default=float('-inf'))
    _sequence: int = field(default=0)
    _questions: dict[FlowKey, _Question] = field(factory=dict)
    _audience: dict[Pair, float] = field(factory=dict)
    _reported: tuple[int, ...] = field(default=())
    _reported_at: float = field(default=float('-inf'))
    _was_listed: bool = field(default=False)

    def on_open(self, now: float, message: Open, balancer: Pair) -> None:
        """Decide on a new flow."""
        packet = self._decode_client(message.raw)
        if packet is None:
            return
        self._audience[balancer] = now
        self._listed_slots = max(1, message.slots)
        known = self.table.get(packet.key)
        if known is not None or self.policy.holds(packet.key):
            self._repeat_opening(now, packet, known, balancer)
            return
        refusal = self._refusal(now, message, packet)
        if refusal:
            self._refuse(now, packet.key, balancer, refusal)
            return
        opening = Opening(
            key=packet.key,
            raw=packet.raw,
            arrived_at=now,
            target_ms=message.target_ms,
            timeout_ms=message.timeout_ms,
            priority=message.priority,
            waited_ms=message.waited_ms,
            is_last=message.is_last,
            sender=balancer,
        )
        self._admit(now, opening, packet)

    def on_carry(self, now: float, message: Carry, balancer: Pair) -> None:
        """Deliver a later packet of a flow."""
        packet = self._decode_client(message.raw)
        if packet is None:
            return
        flow = self.table.get(packet.key)
        if flow is None:
            self._deliver_unknown(now, packet, balancer, message.service)
        elif flow.belongs_here(packet.acknowledged):
            flow.balancer = balancer
            self.table.client_sent(now, flow, packet)
            self._to_backend(packet, 0)
        else:
            self._answer(now, packet.key, Verdict.NOT_OWNED, balancer, packet)

    def on_ask(self, now: float, message: Ask, balancer: Pair) -> None:
        """Tell a balancer whether a flow lives here."""
        flow = self.table.get(message.key)
        if flow is not None and flow.belongs_here(message.acknowledged):
            verdict = Verdict.OWNED
        elif self.knows_all or self.is_down:
            verdict = Verdict.NOT_OWNED
        else:
            verdict = Verdict.UNSURE
        self._answer(now, message.key, verdict, balancer)

    def backend_packet(self, now: float, raw: bytes) -> None:
        """Take a packet that the backend server sent or bounced."""
        try:
            packet = self.codec.from_backend(raw)
        except WireError as exc:
            self.counters.incr('dropped_malformed')
            logger.debug('packet-malformed', extra={'reason': exc.message})
            return
        self.backend_seen_at = now
        if packet.is_bounced:
            self._bounced(now, packet)
            return
        self.ports.to_client(raw, packet.key)
        flow = self.table.get(packet.key) or self._adopt(now, packet)
        ran_for = self.table.server_sent(now, flow, packet)
        if ran_for is not None:
            self.pace.note(ran_for)
            self.counters.observe('service', ran_for)
        self._start_waiting(now)
        self._report_change(now)

    def tick(self, now: float) -> None:
        """Start, expire and report."""
        self._start_waiting(now)
        for opening in self.policy.expire(now, self.service_ms(now)):
            self._give_up(now, opening, 'no-slot-in-time')
        self._report_change(now)

    def sweep(self, now: float) -> None:
        """Drop what is old."""
        self.table.sweep(now, self.view.routes.idle_ms / MS_PER_S)
        for key, question in tuple(self._questions.items()):
            if now - question.asked_at > QUESTION_LIFETIME_S:
                self._questions.pop(key)
        for balancer, since in tuple(self._audience.items()):
            if now - since > INTEREST_S:
                self._audience.pop(balancer)

    def view_changed(self, now: float) -> None:
        """Act on what the view says of this backend server."""
        listed = self.view.at(self.backend)
        if listed is not None and listed.service == self.service:
            self._was_listed = True
            self._listed_slots = max(1, listed.slots)
        if self.state() is not BackendState.SERVING:
            self.hand_back(now)
        self._report_change(now)

    def hand_back(self, now: float) -> None:
        """Return all waiting flows to their balancers."""
        for opening in self.policy.clear():
            packet = self._decode_client(opening.raw)
            if packet is not None:
                self._answer(
                    now,
                    opening.key,
                    Verdict.REFUSED,
                    opening.sender,
                    packet,
                )

    def backend_lost(self, now: float) -> None:
        """Reset all flows: the server that held them has ended."""
        self.is_down = True
        lost = self.table.open_flows()
        logger.warning('backend-lost', extra={'flows': len(lost)})
        for flow in lost:
            self._reset(flow, 'backend-lost')
        self.knows_all = True
        self.hand_back(now)
        self._report_change(now)

    def backend_found(self, now: float) -> None:
        """Take note that the server accepts connections again."""
        self.is_down = False
        self.pace = ServicePace()
        logger.info('backend-found')
        self._report_change(now)

    def state(self) -> BackendState:
        """Tell whether new flows are taken."""
        if self.is_down:
            return BackendState.DOWN
        listed = self.view.at(self.backend)
        if self.is_stopping or (listed is None and self._was_listed):
            return BackendState.LEAVING
        if listed is not None and listed.is_leaving:
            return BackendState.LEAVING
        return BackendState.SERVING

    def slots(self) -> int:
        """Return the server's slots as the register lists them."""
        return self._listed_slots

    def service_ms(self, now: float) -> float:
        """Estimate the time that the server takes for a request."""
        oldest = min(
            (flow.request_at or now for flow in self.table.running()),
            default=now,
        )
        return self.pace.service_ms(now - oldest)

    def load(self, now: float) -> LoadReport:
        """Return the report for balancers."""
        self._sequence += 1
        busy = self.table.busy(now)
        if now < self._full_until:
            busy = max(busy, self.slots() * 2)
        return LoadReport(
            state=self.state(),
            slots=self.slots(),
            busy=busy,
            waiting=self.policy.waiting,
            open_flows=len(self.table),
            service_ms=self.service_ms(now),
            knows_all=self.knows_all,
            sequence=self._sequence,
        )

    def _refusal(self, now: float, message: Open, packet: Packet) -> str:
        """Return why a new flow is not taken at all, or nothing."""
        if message.service != self.service:
            return 'wrong-service'
        route = self.view.routes.find(packet.key)
        if self.view.routes.version >= message.version:
            names = [] if route is None else route.services
            if not any(option.name == self.service for option in names):
                return 'route-changed'
        if self.state() is not BackendState.SERVING:
            return self.state().name.lower()
        if now < self._full_until:
            return 'server-full'
        return ''

    def _admit(self, now: float, opening: Opening, packet: Packet) -> None:
        busy = self.table.busy(now)
        verdict = self.policy.offer(
            now,
            opening,
            busy,
            self.slots(),
            self.service_ms(now),
        )
        if verdict is OpeningVerdict.REFUSE:
            self._refuse(now, packet.key, opening.sender, 'no-slot-in-time')
            return
        if verdict is OpeningVerdict.START:
            self._start(now, opening, packet)
        self._answer(now, packet.key, Verdict.ACCEPTED, opening.sender)
        self._log_decision(now, verdict.value, opening, busy)

    def _start(self, now: float, opening: Opening, packet: Packet) -> None:
        self.table.opening(now, packet, opening.sender)
        self.counters.observe('wait', opening.age_ms(now) / MS_PER_S)
        self._to_backend(packet, 0)

    def _start_waiting(self, now: float) -> None:
        while self.policy.waiting:
            busy = self.table.busy(now)
            opening = self.policy.next_ready(
                now,
                busy,
                self.slots(),
                self.service_ms(now),
            )
            if opening is None:
                return
            packet = self._decode_client(opening.raw)
            if packet is not None:
                self._start(now, opening, packet)
                self._log_decision(now, 'start-waited', opening, busy)

    def _repeat_opening(
        self,
        now: float,
        packet: Packet,
        flow: HostedFlow | None,
        balancer: Pair,
    ) -> None:
        if flow is not None:
            flow.balancer = balancer
            self._to_backend(packet, 0)
        self._answer(now, packet.key, Verdict.ACCEPTED, balancer)

    def _refuse(
        self,
        now: float,
        key: FlowKey,
        balancer: Pair,
        reason: str,
    ) -> None:
        self.counters.incr('refused')
        self._answer(now, key, Verdict.REFUSED, balancer)
        logger.info(
            'opening-refused',
            extra={
                'flow': flow_name(key),
                'reason': reason,
                'busy': self.table.busy(now),
                'waiting': self.policy.waiting,
                'slots': self.slots(),
                'version': self.view.routes.version,
                'revision': self.view.revision,
            },
        )

    def _give_up(self, now: float, opening: Opening, reason: str) -> None:
        """Reset a flow that waited in vain; it has not run."""
        self.counters.incr('given_up')
        self.ports.to_client(self.codec.reset(opening.key, 0), opening.key)
        self._log_decision(now, reason, opening, self.table.busy(now))

    def _deliver_unknown(
        self,
        now: float,
        packet: Packet,
        balancer: Pair,
        service: str,
    ) -> None:
        if service and service != self.service:
            self._answer(now, packet.key, Verdict.NOT_OWNED, balancer, packet)
            return
        if self.knows_all or self.is_down or packet.is_first:
            self._answer(now, packet.key, Verdict.NOT_OWNED, balancer, packet)
            return
        if len(self._questions) < MAX_QUESTIONS:
            self._questions[packet.key] = _Question(balancer, now)
        self.counters.incr('questions')
        self._to_backend(packet, QUESTION_MARK)

    def _adopt(self, now: float, packet: Packet) -> HostedFlow:
        """Take over a flow that the server holds and this process forgot."""
        question = self._questions.pop(packet.key, None)
        balancer = ('', 0) if question is None else question.balancer
        flow = self.table.adopt(now, packet.key, balancer)
        self.counters.incr('adopted')
        if question is not None:
            self._answer(now, packet.key, Verdict.OWNED, balancer)
        logger.info(
            'flow-adopted',
            extra={
                'flow': flow_name(packet.key),
                'asked': question is not None,
            },
        )
        return flow

    def _bounced(self, now: float, packet: Packet) -> None:
        """Act on a client's packet that the server doesn't take."""
        self.counters.incr('bounced')
        question = self._questions.pop(packet.key, None)
        flow = self.table.get(packet.key)
        if packet.hop_mark == QUESTION_MARK and question is not None:
            self._answer(
                now,
                packet.key,
                Verdict.NOT_OWNED,
                question.balancer,
            )
        elif flow is None:
            return
        elif packet.is_first:
            self._opening_bounced(now, flow, packet)
        elif flow.phase is FlowPhase.OPENING:
            self._hand_on(now, flow, packet)
        elif flow.phase is FlowPhase.OPEN:
            self._reset(flow, 'flow-unknown-to-server')

    def _opening_bounced(
        self,
        now: float,
        flow: HostedFlow,
        packet: Packet,
    ) -> None:
        if flow.phase is not FlowPhase.OPENING:
            return
        self.table.remove(flow.key)
        self._full_until = now + FULL_S
        raw = self.codec.marked(packet.raw, 0)
        bounced = self._decode_client(raw)
        if bounced is not None:
            self._answer(
                now,
                flow.key,
                Verdict.REFUSED,
                flow.balancer,
                bounced,
            )
        logger.info(
            'opening-bounced',
            extra={'flow': flow_name(flow.key), 'busy': self.table.busy(now)},
        )

    def _hand_on(self, now: float, flow: HostedFlow, packet: Packet) -> None:
        """Have the balancer find the server that the client chose."""
        self.table.remove(flow.key)
        original = self._decode_client(self.codec.marked(packet.raw, 0))
        if original is not None:
            self._answer(
                now,
                flow.key,
                Verdict.NOT_OWNED,
                flow.balancer,
                original,
            )

    def _reset(self, flow: HostedFlow, reason: str) -> None:
        self.table.remove(flow.key)
        self.counters.incr('resets')
        reset = self.codec.reset(flow.key, flow.acknowledged)
        self.ports.to_client(reset, flow.key)
        logger.info(
            'flow-reset',
            extra={'flow': flow_name(flow.key), 'reason': reason},
        )

    def _answer(
        self,
        now: float,
        key: FlowKey,
        verdict: Verdict,
        balancer: Pair,
        packet: Packet | None = None,
    ) -> None:
        raw = b'' if packet is None else packet.raw
        answer = Placement(key, verdict, self.load(now), raw)
        self.ports.to_balancer(answer.encode(), balancer)

    def _report_change(self, now: float) -> None:
        """Tell interested balancers of a changed load."""
        if now - self._reported_at < MIN_REPORT_GAP_S:
            return
        level = (
            int(self.state()),
            self.table.busy(now),
            self.policy.waiting,
        )
        if level == self._reported or not self._audience:
            return
        self._reported = level
        self._reported_at = now
        report = Placement(NO_FLOW, Verdict.LOAD, self.load(now)).encode()
        for balancer in self._audience:
            self.ports.to_balancer(report, balancer)

    def _to_backend(self, packet: Packet, mark: int) -> None:
        raw = packet.raw
        if mark or packet.hop_mark:
            raw = self.codec.marked(raw, mark)
        self.ports.to_backend(raw)

    def _decode_client(self, raw: bytes) -> Packet | None:
        try:
            return self.codec.from_client(raw)
        except WireError as exc:
            self.counters.incr('dropped_malformed')
            logger.debug('packet-malformed', extra={'reason': exc.message})
            return None

    def _log_decision(
        self,
        now: float,
        outcome: str,
        opening: Opening,
        busy: int,
    ) -> None:
        logger.info(
            'opening-decided',
            extra={
                'flow': flow_name(opening.key),
                'outcome': outcome,
                'age_ms': int(opening.age_ms(now)),
                'busy': busy,
                'slots': self.slots(),
                'waiting': self.policy.waiting,
                'service_ms': int(self.service_ms(now)),
                'version': self.view.routes.version,
                'revision': self.view.revision,
            },
        )


NO_FLOW = b'\0' * 12
