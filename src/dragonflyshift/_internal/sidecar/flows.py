"""The flow table of a sidecar, indexed by connection id.

Packets arrive in datagrams of balancers, or of the sidecar that passed on a
new flow. Replies are sent through a balancer on the return path of the flow.
"""

import functools
import logging
import time
from collections.abc import Callable, Iterator

from aioquic.buffer import Buffer  # type: ignore[attr-defined] # no __all__
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.packet import (
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
from dragonflyshift._internal.sidecar.quic import ServerConnection
from dragonflyshift._internal.sidecar.replies import ReplyPath, ReplySender
from dragonflyshift._internal.state import PlacementCache
from dragonflyshift._internal.telemetry import Metrics
from dragonflyshift._internal.wire import (
    CONNECTION_ID_BYTES,
    ConnectionIdCodec,
    ForwardEnvelope,
)
from dragonflyshift._internal.wire.quic_header import (
    HeaderForm,
    QuicHeader,
    read_header,
)

logger = logging.getLogger(__name__)

# The first packets of new flows are dropped while this many flows haven't
# completed their handshake.
MAX_HALF_OPEN_FLOWS = 512
MAX_HOPS = 1
# A stateless reset is shorter than the packet that triggers it, so that two
# endpoints can't reset each other endlessly (RFC 9000, section 10.3).
MIN_RESET_TRIGGER_BYTES = 43
RESET_BYTES = 42


def _keep_second(_flow_key: bytes, second: Address | None) -> Address | None:
    return second


@frozen
class FlowTableCallbacks:
    """The routing decision and the callbacks of a flow table.

    ``decision`` decides whether to keep a new flow. ``load`` returns this
    sidecar's current load for a number of flows, and ``member_record`` the
    latest record of another sidecar or None. ``relay`` passes a packet on to
    another sidecar. ``refuses_new_flows`` returns whether the service winds
    down or the data centre is evacuated, and ``owns_address`` whether a
    service address belongs to the service. ``choose_second`` returns the
    sidecar to which a new flow with a key may be passed on, given the second
    candidate of the balancer.
    """

    decision: FlowDecision
    load: Callable[[int], LoadSnapshot]
    member_record: Callable[[Address], MemberRecord | None]
    relay: Callable[[ForwardEnvelope, Address], None]
    refuses_new_flows: Callable[[], bool]
    owns_address: Callable[[Address], bool]
    choose_second: Callable[[bytes, Address | None], Address | None] = (
        _keep_second
    )


@define(eq=False)
class _FlowEntry:
    """A flow with its return path and its connection ids."""

    flow: Flow
    path: ReplyPath
    ids: set[bytes] = field(factory=set)


class FlowTable:
    """Dispatches packets to flows; accepts new flows or passes them on."""

    def __init__(
        self,
        identity: SidecarIdentity,
        configuration: QuicConfiguration,
        codec: ConnectionIdCodec,
        sender: ReplySender,
        callbacks: FlowTableCallbacks,
        handler: RequestHandler,
        metrics: Metrics,
    ) -> None:
        """Create an empty table."""
        self._identity = identity
        self._configuration = configuration
        self._codec = codec
        self._sender = sender
        self._callbacks = callbacks
        self._handler = handler
        self._metrics = metrics
        self._by_id: dict[bytes, _FlowEntry] = {}
        self._placements = PlacementCache()
        self._half_open: set[Flow] = set()
        self._flows: dict[Flow, _FlowEntry] = {}

    def __len__(self) -> int:
        """Return the number of flows, half-open ones included."""
        return len(self._flows)

    def __iter__(self) -> Iterator[Flow]:
        """Iterate over a copy, so that flows may end during the iteration."""
        return iter(tuple(self._flows))

    def receive(self, forward: ForwardEnvelope) -> None:
        """Process a packet that a balancer or sidecar delivered."""
        try:
            header = read_header(forward.packet)
        except WireError:
            self._metrics.incr('dropped.malformed')
            return
        if forward.tag == self._identity.tag:
            self._receive_for_service(header, forward)
        else:
            self._metrics.incr('dropped.wrong-service')
            self._send_reset(header, forward)

    def _receive_for_service(
        self,
        header: QuicHeader,
        forward: ForwardEnvelope,
    ) -> None:
        self._sender.note_balancer(forward)
        entry = self._by_id.get(header.destination)
        if entry:
            self._deliver(entry, forward)
        elif self._is_issued(header, forward.tag):
            self._metrics.incr('unknown-flow')
            self._send_reset(header, forward)
        elif header.form is HeaderForm.LONG:
            self._handle_first_packet(header, forward)
        else:
            self._metrics.incr('dropped.foreign-id')

    def _is_issued(self, header: QuicHeader, tag: int) -> bool:
        issued = self._codec.decode(header.destination)
        return issued is not None and issued.tag == tag

    def _deliver(self, entry: _FlowEntry, forward: ForwardEnvelope) -> None:
        entry.path.note_delivery(forward)
        entry.flow.datagram_received(
            forward.packet,
            forward.client.pair,
        )
        if entry.flow.handshake_completed:
            self._half_open.discard(entry.flow)

    def _send_reset(self, header: QuicHeader, forward: ForwardEnvelope) -> None:
        """Send a stateless reset for an unknown flow.

        The flow may also belong to another service, whose sidecar had this
        address before.
        """
        if header.form is HeaderForm.LONG:
            return
        if len(forward.packet) < MIN_RESET_TRIGGER_BYTES:
            return
        if not self._is_issued(header, forward.tag):
            return
        token = self._codec.reset_token(header.destination)
        self._sender.send_reset(forward, RESET_BYTES, token)

    def _handle_first_packet(
        self,
        header: QuicHeader,
        forward: ForwardEnvelope,
    ) -> None:
        if not self._callbacks.owns_address(forward.service):
            # The service address has moved to another service, and the
            # balancer doesn't have this configuration yet.
            self._metrics.incr('dropped.wrong-service')
            return
        now = time.monotonic()
        passed_on_to = self._placements.get(header.destination, now)
        if passed_on_to is not None:
            self._callbacks.relay(forward, passed_on_to)
            return
        if not self._check_initial_packet(forward):
            return
        load = self._callbacks.load(len(self._flows))
        second = (
            self._callbacks.choose_second(
                header.destination,
                forward.second_candidate,
            )
            if forward.hops < MAX_HOPS
            else None
        )
        if second is not None:
            record = self._callbacks.member_record(second)
            if not self._callbacks.decision.accepts(load, record, forward.hops):
                self._metrics.incr('passed-on')
                self._placements.add(header.destination, second, now)
                self._callbacks.relay(forward, second)
                return
        self._accept_flow(header, forward, load)

    def _check_initial_packet(self, forward: ForwardEnvelope) -> bool:
        """Return whether a packet is an Initial packet of a known version.

        A packet of an unsupported QUIC version is answered with a version
        negotiation packet.
        """
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
            self._sender.reply_to(forward, packet)
            return False
        return header.packet_type is QuicPacketType.INITIAL

    def _accept_flow(
        self,
        header: QuicHeader,
        forward: ForwardEnvelope,
        load: LoadSnapshot,
    ) -> None:
        if len(self._half_open) >= MAX_HALF_OPEN_FLOWS:
            self._metrics.incr('dropped.half-open')
            return
        quic = ServerConnection(
            self._configuration,
            header.destination,
            self._identity.new_id,
            self._codec.reset_token,
        )
        flow = Flow(
            quic,
            self._handler,
            header.destination,
            forward.client.host,
        )
        path = self._sender.open_path(forward)
        flow.bind(path)
        entry = _FlowEntry(flow, path)
        self._add_flow(entry, header.destination)
        self._deliver(entry, forward)
        full = load.connections >= load.connection_limit
        if full or self._callbacks.refuses_new_flows():
            self._metrics.incr('refused-flows')
            flow.refuse()

    def _add_flow(self, entry: _FlowEntry, original_id: bytes) -> None:
        flow = entry.flow
        self._metrics.incr('flows')
        self._flows[flow] = entry
        self._half_open.add(flow)
        self._add_id(entry, original_id)
        for cid in flow.quic.issued_ids:
            self._add_id(entry, cid)
        flow.set_id_handlers(
            issued=functools.partial(self._add_id, entry),
            retired=functools.partial(self._remove_id, entry),
            ended=functools.partial(self._remove_flow, entry),
        )

    def _add_id(self, entry: _FlowEntry, cid: bytes) -> None:
        entry.ids.add(cid)
        self._by_id[cid] = entry

    def _remove_id(self, entry: _FlowEntry, cid: bytes) -> None:
        entry.ids.discard(cid)
        self._by_id.pop(cid, None)

    def _remove_flow(self, entry: _FlowEntry) -> None:
        for cid in entry.ids:
            self._by_id.pop(cid, None)
        self._flows.pop(entry.flow, None)
        self._half_open.discard(entry.flow)
