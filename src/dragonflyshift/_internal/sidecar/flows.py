"""All flows of a sidecar, found by connection id.

Packets arrive inside datagrams of balancers, or of the sidecar that passed
a new flow on. Replies leave through a balancer of the flow's return path.
"""

import functools
import logging
import time
from collections.abc import Callable, Iterator

from aioquic.buffer import Buffer  # type: ignore[attr-defined] # no __all__
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.packet import (
    QuicErrorCode,
    QuicPacketType,
    encode_quic_version_negotiation,
    pull_quic_header,
)
from attrs import define, field, frozen

from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.models import Address, MemberRecord
from dragonflyshift._internal.routing import FlowDecision, LoadSnapshot
from dragonflyshift._internal.sidecar.flow import Flow, RequestHandler
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.sidecar.quic import IssuedConnection
from dragonflyshift._internal.sidecar.replies import ReplyPath, ReplySender
from dragonflyshift._internal.state import PlacementCache
from dragonflyshift._internal.telemetry import Metrics
from dragonflyshift._internal.wire import (
    CONNECTION_ID_BYTES,
    ConnectionIdCodec,
    Forward,
)
from dragonflyshift._internal.wire.quic_header import (
    Form,
    QuicHeader,
    read_header,
)

logger = logging.getLogger(__name__)

MAX_HALF_OPEN_FLOWS = 512
PASSED_ON_HOPS = 1
# A stateless reset is shorter than what caused it, so that two ends can't
# answer each other for ever (RFC 9000, section 10.3).
MIN_RESET_CAUSE_BYTES = 43
RESET_BYTES = 42


@frozen
class FlowPolicy:
    """What the flow table asks when a new flow arrives.

    ``load`` returns the sidecar's exact load for a number of flows,
    ``believed`` the newest word on another sidecar; ``relay`` sends a
    forward on to it; ``refuses_all`` tells that the service winds down, and
    ``owns`` whether a service address belongs to the service.
    """

    decision: FlowDecision
    load: Callable[[int], LoadSnapshot]
    believed: Callable[[Address], MemberRecord | None]
    relay: Callable[[Forward, Address], None]
    refuses_all: Callable[[], bool]
    owns: Callable[[Address], bool]


@define(eq=False)
class _OpenFlow:
    """A flow with its way back to the client."""

    flow: Flow
    path: ReplyPath
    ids: set[bytes] = field(factory=set)


class FlowTable:
    """Dispatch packets to flows; accept or pass on new ones."""

    def __init__(
        self,
        identity: SidecarIdentity,
        configuration: QuicConfiguration,
        codec: ConnectionIdCodec,
        sender: ReplySender,
        policy: FlowPolicy,
        handler: RequestHandler,
        metrics: Metrics,
    ) -> None:
        """Start without flows."""
        self._identity = identity
        self._configuration = configuration
        self._codec = codec
        self._sender = sender
        self._policy = policy
        self._handler = handler
        self._metrics = metrics
        self._by_id: dict[bytes, _OpenFlow] = {}
        self._placements = PlacementCache()
        self._half_open: set[Flow] = set()
        self._flows: dict[Flow, _OpenFlow] = {}

    def __len__(self) -> int:
        """Return the number of open flows."""
        return len(self._flows)

    def __iter__(self) -> Iterator[Flow]:
        """Iterate over a copy, so that flows may end meanwhile."""
        return iter(tuple(self._flows))

    def receive(self, forward: Forward) -> None:
        """Take in a packet that a balancer or sidecar delivered."""
        try:
            header = read_header(forward.packet)
        except WireError:
            self._metrics.incr('dropped.malformed')
            return
        if forward.tag == self._identity.tag:
            self._receive_own(header, forward)
        else:
            self._metrics.incr('dropped.wrong-service')
            self._reset(header, forward)

    def _receive_own(self, header: QuicHeader, forward: Forward) -> None:
        self._sender.heard(forward)
        known = self._by_id.get(header.destination)
        if known:
            self._deliver(known, forward)
        elif self._is_issued(header, forward.tag):
            self._metrics.incr('unknown-flow')
            self._reset(header, forward)
        elif header.form is Form.LONG:
            self._new_flow(header, forward)
        else:
            self._metrics.incr('dropped.foreign-id')

    def _is_issued(self, header: QuicHeader, tag: int) -> bool:
        issued = self._codec.decode(header.destination)
        return issued is not None and issued.tag == tag

    def _deliver(self, known: _OpenFlow, forward: Forward) -> None:
        known.path.delivered(forward)
        known.flow.datagram_received(
            forward.packet,
            forward.client.pair,
        )
        if known.flow.confirmed:
            self._half_open.discard(known.flow)

    def _reset(self, header: QuicHeader, forward: Forward) -> None:
        """Tell the client of a flow that is not here, at once.

        Also of a flow whose sidecar's address has passed to this service.
        """
        if header.form is Form.LONG:
            return
        if len(forward.packet) < MIN_RESET_CAUSE_BYTES:
            return
        if not self._is_issued(header, forward.tag):
            return
        token = self._codec.reset_token(header.destination)
        self._sender.send_reset(forward, RESET_BYTES, token)

    def _new_flow(self, header: QuicHeader, forward: Forward) -> None:
        if not self._policy.owns(forward.service):
            # A balancer that doesn't know yet that the address has passed to
            # another service sent the packet here.
            self._metrics.incr('dropped.wrong-service')
            return
        now = time.monotonic()
        placed = self._placements.get(header.destination, now)
        if placed is not None:
            self._policy.relay(forward, placed)
            return
        if not self._is_initial(forward):
            return
        load = self._policy.load(len(self._flows))
        second = forward.second
        if forward.hops < PASSED_ON_HOPS and second is not None:
            record = self._policy.believed(second)
            if not self._policy.decision.accepts(load, record, forward.hops):
                self._metrics.incr('passed-on')
                self._placements.add(header.destination, second, now)
                self._policy.relay(forward, second)
                return
        self._accept(header, forward, load)

    def _is_initial(self, forward: Forward) -> bool:
        """Tell whether a flow may start; answer unknown versions."""
        try:
            header = pull_quic_header(
                Buffer(data=forward.packet),
                host_cid_length=CONNECTION_ID_BYTES,
            )
        except ValueError:
            self._metrics.incr('dropped.malformed')
            return False
        versions = self._configuration.supported_versions
        if header.version not in versions:
            packet = encode_quic_version_negotiation(
                source_cid=header.destination_cid,
                destination_cid=header.source_cid,
                supported_versions=versions,
            )
            self._sender.send_once(forward, packet)
            return False
        return header.packet_type is QuicPacketType.INITIAL

    def _accept(
        self,
        header: QuicHeader,
        forward: Forward,
        load: LoadSnapshot,
    ) -> None:
        if len(self._half_open) >= MAX_HALF_OPEN_FLOWS:
            self._metrics.incr('dropped.half-open')
            return
        quic = IssuedConnection(
            self._configuration,
            header.destination,
            self._identity.new_id,
            self._codec.reset_token,
        )
        flow = Flow(
            quic,
            self._handler,
            header.destination,
            self._configuration.idle_timeout,
        )
        path = self._sender.open_path(forward)
        flow.bind(path)
        known = _OpenFlow(flow, path)
        self._register(known, header.destination)
        self._deliver(known, forward)
        full = load.connections >= load.connection_limit
        if full or self._policy.refuses_all():
            self._metrics.incr('refused-flows')
            flow.close(QuicErrorCode.CONNECTION_REFUSED)

    def _register(self, known: _OpenFlow, first_id: bytes) -> None:
        flow = known.flow
        self._metrics.incr('flows')
        self._flows[flow] = known
        self._half_open.add(flow)
        self._add_id(known, first_id)
        for cid in flow.quic.issued_ids:
            self._add_id(known, cid)
        flow.on_ids(
            issued=functools.partial(self._add_id, known),
            retired=functools.partial(self._drop_id, known),
            ended=functools.partial(self._drop_flow, known),
        )

    def _add_id(self, known: _OpenFlow, cid: bytes) -> None:
        known.ids.add(cid)
        self._by_id[cid] = known

    def _drop_id(self, known: _OpenFlow, cid: bytes) -> None:
        known.ids.discard(cid)
        self._by_id.pop(cid, None)

    def _drop_flow(self, known: _OpenFlow) -> None:
        for cid in known.ids:
            self._by_id.pop(cid, None)
        self._flows.pop(known.flow, None)
        self._half_open.discard(known.flow)
