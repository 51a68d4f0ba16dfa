"""The balancer's packet path for carried flows."""

__all__ = ('CarrierPorts', 'FlowCarrier')

import logging
import random
from collections.abc import Callable

from attrs import define

from dragonflyshift._internal.carried.balancer.openings import (
    FlowOpener,
    OpenerPorts,
)
from dragonflyshift._internal.carried.balancer.search import (
    OwnerSearch,
    SearchPorts,
)
from dragonflyshift._internal.carried.balancer.sidecars import SidecarBook
from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.flow_names import flow_name
from dragonflyshift._internal.carried.lookups import (
    LookupTable,
)
from dragonflyshift._internal.carried.messages import (
    FlowReply,
    FlowStatus,
    ForwardedPacket,
    LookupResult,
)
from dragonflyshift._internal.carried.packet import (
    FlowKey,
    Packet,
    PacketCodec,
    SocketAddress,
)
from dragonflyshift._internal.carried.policies.candidates import (
    CandidateRing,
)
from dragonflyshift._internal.carried.policies.placement import FlowPlacement
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.telemetry import Counters
from dragonflyshift._internal.exceptions import WireError

logger = logging.getLogger(__name__)

MAX_CACHED_FLOWS = 200_000
# A view that the store confirmed within this time is taken as complete.
FRESH_VIEW_S = 3.0
MS_PER_S = 1000


@define(eq=False, repr=False)
class CarrierPorts:
    """How the carrier sends, and what it asks of its daemon.

    ``confirm_view()`` has the readers of the store tell what they hold.
    """

    to_sidecar: Callable[[bytes, SocketAddress], None]
    to_client: Callable[[bytes, FlowKey], None]
    sidecar: Callable[[EndpointRecord], SocketAddress]
    view_age_s: Callable[[float], float]
    confirm_view: Callable[[], None]


@define(eq=False, repr=False)
class CachedFlow:
    """Where a flow lives, as this balancer last heard."""

    pair: SocketAddress
    service: str
    last_at: float


class FlowCarrier:
    """Carry clients' packets to the sidecars that own their flows."""

    def __init__(
        self,
        view: FleetView,
        sidecars: SidecarBook,
        codec: PacketCodec,
        placement: FlowPlacement,
        ports: CarrierPorts,
        rng: random.Random,
        counters: Counters,
    ) -> None:
        """Start without a flow."""
        self.view = view
        self.sidecars = sidecars
        self.cache: dict[FlowKey, CachedFlow] = {}
        self._codec = codec
        self._ports = ports
        self._counters = counters
        candidates = CandidateRing(sidecars.data_center)
        self.opener = FlowOpener(
            view,
            sidecars,
            placement,
            OpenerPorts(
                ports.to_sidecar,
                ports.sidecar,
                self._refuse,
                self._is_fresh,
            ),
            rng,
            candidates,
        )
        self.search = OwnerSearch(
            view,
            sidecars,
            candidates,
            SearchPorts(
                ports.to_sidecar,
                ports.to_client,
                ports.sidecar,
                self._is_fresh,
                ports.confirm_view,
                self._found,
            ),
            codec,
            counters,
        )

    @property
    def lookups(self) -> LookupTable:
        """The look-ups that this balancer makes itself."""
        return self.search.lookups

    def client_packet(self, now: float, raw: bytes) -> None:
        """Take a datagram from the fabric."""
        try:
            packet = self._codec.from_client(raw)
        except WireError as exc:
            self._counters.incr('dropped_malformed')
            logger.debug('packet-malformed', extra={'reason': exc.message})
            return
        cached = self.cache.get(packet.key)
        if cached is None:
            self._without_owner(now, packet)
            return
        cached.last_at = now
        self._counters.incr('carried')
        self._forward(now, packet, cached)

    def placement(
        self, now: float, verdict: FlowReply, pair: SocketAddress
    ) -> None:
        """Take a sidecar's verdict on a flow."""
        self.sidecars.heard(now, pair, verdict.load)
        key = verdict.key
        if verdict.status in _TAKEN:
            self._note_owner(now, key, pair, verdict.status)
        elif verdict.status is FlowStatus.UNSURE:
            self.lookups.on_unsure(now, key, pair)
        elif verdict.status is FlowStatus.REFUSED:
            self._note_refusal(now, verdict, pair)
        elif verdict.status is FlowStatus.NOT_OWNED:
            self._note_stranger(now, verdict, pair)

    def findings(
        self, now: float, message: LookupResult, pair: SocketAddress
    ) -> None:
        """Take the end of a look-up that a sidecar made."""
        self.search.surveys.ended(now, message, pair)

    def has_waiting(self) -> bool:
        """Tell whether an opening or a look-up lacks an answer."""
        return bool(self.opener.pending) or self.search.has_waiting()

    def tick(self, now: float) -> None:
        """Go on with openings and look-ups that lack an answer."""
        self.opener.tick(now)
        self.search.tick(now)

    def sweep(self, now: float) -> None:
        """Drop cached flows that are idle beyond the limit."""
        idle_s = self.view.routes.idle_timeout_ms / MS_PER_S
        stale = [
            key
            for key, cached in self.cache.items()
            if now - cached.last_at > idle_s
        ]
        for key in stale:
            self.cache.pop(key)

    def _forward(self, now: float, packet: Packet, cached: CachedFlow) -> None:
        if packet.is_first:
            # The sidecar may have restarted since: it decides anew.
            self.cache.pop(packet.key)
            self.opener.open(now, packet, cached.pair)
            return
        datagram = ForwardedPacket(cached.service, packet.raw).encode()
        self._ports.to_sidecar(datagram, cached.pair)

    def _without_owner(self, now: float, packet: Packet) -> None:
        if packet.is_first:
            self._counters.incr('openings')
            self.opener.open(now, packet)
            return
        # The client has a server's answer, so its flow has opened.
        self.opener.opened(packet.key)
        self.search.start(now, packet)

    def _note_owner(
        self,
        now: float,
        key: FlowKey,
        pair: SocketAddress,
        verdict: FlowStatus,
    ) -> None:
        if len(self.cache) < MAX_CACHED_FLOWS:
            service = self._service_of(key, pair)
            self.cache[key] = CachedFlow(pair, service, now)
        self.opener.opened(key)
        if verdict is FlowStatus.OWNED:
            self.lookups.on_owned(key, pair)
            logger.info(
                'flow-found',
                extra={
                    'flow': flow_name(key),
                    'sidecar': pair[0],
                    'report_age_ms': self.sidecars.report_age_ms(now, pair),
                    'revision': self.view.revision,
                },
            )

    def _found(self, now: float, key: FlowKey, pair: SocketAddress) -> None:
        self._note_owner(now, key, pair, FlowStatus.OWNED)

    def _service_of(self, key: FlowKey, pair: SocketAddress) -> str:
        route = self.view.routes.find(key)
        if route is None:
            return ''
        if len(route.services) == 1:
            return route.services[0].name
        for option in route.services:
            for record in self.view.endpoints(option.name):
                if self._ports.sidecar(record) == pair:
                    return option.name
        return route.choose_service(key)

    def _note_refusal(
        self,
        now: float,
        verdict: FlowReply,
        pair: SocketAddress,
    ) -> None:
        self._counters.incr('sidecar_refusals')
        self.cache.pop(verdict.key, None)
        if not verdict.raw:
            self.opener.refused(now, verdict.key, pair)
            return
        packet = self._codec.from_client(verdict.raw)
        self.opener.reopen(now, packet, pair)

    def _note_stranger(
        self,
        now: float,
        verdict: FlowReply,
        pair: SocketAddress,
    ) -> None:
        cached = self.cache.get(verdict.key)
        if cached is not None and cached.pair == pair:
            self.cache.pop(verdict.key)
        self.lookups.on_not_owned(now, verdict.key, pair)
        if verdict.raw and verdict.key not in self.lookups.pending:
            packet = self._codec.from_client(verdict.raw)
            if not packet.is_first:
                self.search.start(now, packet)

    def _refuse(self, key: FlowKey, reason: str) -> None:
        """Reset a flow that has not run, so that its client returns soon."""
        self._counters.incr('refused')
        logger.info(
            'flow-refused',
            extra={
                'flow': flow_name(key),
                'reason': reason,
                'revision': self.view.revision,
                'version': self.view.routes.version,
            },
        )
        self._ports.to_client(self._codec.build_reset(key, 0), key)

    def _is_fresh(self, now: float) -> bool:
        return self._ports.view_age_s(now) < FRESH_VIEW_S


_TAKEN = frozenset((FlowStatus.ACCEPTED, FlowStatus.OWNED))
