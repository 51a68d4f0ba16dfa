"""Forwards clients' packets to the sidecars that own their flows."""

__all__ = ('FlowForwarder', 'ForwarderCallbacks')

import logging
import random
from collections.abc import Callable, Iterable

from attrs import define

from dragonflyshift._internal.carried.balancer.owner_lookup import (
    OwnerLookup,
    OwnerLookupCallbacks,
)
from dragonflyshift._internal.carried.balancer.placer import (
    NewFlowPlacer,
    PlacerCallbacks,
)
from dragonflyshift._internal.carried.balancer.sidecars import SidecarTable
from dragonflyshift._internal.carried.fleet.reader import REMOVAL_GRACE_S
from dragonflyshift._internal.carried.fleet.view import FleetView
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
    flow_name,
)
from dragonflyshift._internal.carried.policies.candidates import (
    CandidateRing,
)
from dragonflyshift._internal.carried.policies.placement import FlowPlacement
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.telemetry import Counters
from dragonflyshift._internal.exceptions import WireError

logger = logging.getLogger(__name__)

MAX_CACHED_OWNERS = 200_000
# A view that the store confirmed within this time is regarded as complete.
MAX_VIEW_AGE_S = 3.0
MS_PER_S = 1000


@define(eq=False, repr=False)
class ForwarderCallbacks:
    """Functions that the forwarder calls to send and to query its daemon.

    ``sidecar_of(record)`` returns the address of the sidecar of a backend
    server. ``view_age_s(now)`` is the time since the store confirmed the
    view. ``has_same_view(sidecars)`` returns whether sidecars have reported the
    same endpoints as the view lists. ``request_reader_statuses()`` requests the
    status of the daemons that read the store, ``request_statuses(now,
    sidecars)`` that of sidecars.
    """

    to_sidecar: Callable[[bytes, SocketAddress], None]
    to_client: Callable[[bytes, FlowKey], None]
    sidecar_of: Callable[[EndpointRecord], SocketAddress]
    view_age_s: Callable[[float], float]
    has_same_view: Callable[[Iterable[SocketAddress]], bool]
    request_reader_statuses: Callable[[], None]
    request_statuses: Callable[[float, Iterable[SocketAddress]], None]


@define(eq=False, repr=False)
class CachedOwner:
    """The sidecar that owns a flow according to its last report."""

    sidecar: SocketAddress
    service: str
    last_used_at: float


class FlowForwarder:
    """Forwards clients' packets to the sidecars that own their flows.

    A new flow is first placed on a sidecar. The owner of any other flow that
    isn't in the cache is looked up.
    """

    def __init__(
        self,
        view: FleetView,
        sidecars: SidecarTable,
        codec: PacketCodec,
        placement: FlowPlacement,
        callbacks: ForwarderCallbacks,
        rng: random.Random,
        counters: Counters,
    ) -> None:
        """Create a forwarder with an empty cache."""
        self.view = view
        self.sidecars = sidecars
        self.owner_cache: dict[FlowKey, CachedOwner] = {}
        self._codec = codec
        self._callbacks = callbacks
        self._counters = counters
        counters.gauge('suspicious_servers', sidecars.suspicious_count)
        candidates = CandidateRing(sidecars.data_center)
        self.placer = NewFlowPlacer(
            view,
            sidecars,
            placement,
            PlacerCallbacks(
                callbacks.to_sidecar,
                callbacks.sidecar_of,
                self._refuse,
                self._is_view_current,
            ),
            rng,
            candidates,
        )
        self.owner_lookup = OwnerLookup(
            view,
            sidecars,
            candidates,
            OwnerLookupCallbacks(
                callbacks.to_sidecar,
                callbacks.to_client,
                callbacks.sidecar_of,
                self._is_view_current,
                self._is_view_settled,
                callbacks.has_same_view,
                callbacks.request_reader_statuses,
                callbacks.request_statuses,
                self._on_owner_found,
            ),
            codec,
            counters,
        )

    @property
    def lookups(self) -> LookupTable:
        """The lookups for which this balancer queries all sidecars itself."""
        return self.owner_lookup.lookups

    def on_client_packet(self, now: float, raw: bytes) -> None:
        """Forward a client's packet that the fabric delivered."""
        try:
            packet = self._codec.from_client(raw)
        except WireError as exc:
            self._counters.incr('dropped_malformed')
            logger.debug('packet-malformed', extra={'reason': exc.message})
            return
        cached = self.owner_cache.get(packet.key)
        if cached is None:
            self._on_unowned_packet(now, packet)
            return
        cached.last_used_at = now
        self._counters.incr('carried')
        self._forward(now, packet, cached)

    def on_flow_reply(
        self, now: float, reply: FlowReply, sidecar: SocketAddress
    ) -> None:
        """Process a sidecar's reply about a flow."""
        self.sidecars.record_report(now, sidecar, reply.load)
        key = reply.key
        if reply.status in _OWNER_STATUSES:
            self._on_owner(now, key, sidecar, reply.status)
        elif reply.status is FlowStatus.UNSURE:
            self.lookups.on_unsure(now, key, sidecar)
            self._on_returned_packet(now, reply, sidecar)
        elif reply.status is FlowStatus.REFUSED:
            self._on_refusal(now, reply, sidecar)
        elif reply.status is FlowStatus.NOT_OWNED:
            self.lookups.on_not_owned(now, key, sidecar)
            self._on_returned_packet(now, reply, sidecar)

    def on_lookup_result(
        self, now: float, message: LookupResult, sidecar: SocketAddress
    ) -> None:
        """Process the result of a delegated lookup."""
        self.owner_lookup.delegated.on_result(now, message, sidecar)

    def has_waiting(self) -> bool:
        """Return whether new flows or lookups are pending."""
        return bool(self.placer.pending) or self.owner_lookup.has_waiting()

    def tick(self, now: float) -> None:
        """Process the timeouts of pending new flows and lookups."""
        self.placer.tick(now)
        self.owner_lookup.tick(now)

    def sweep(self, now: float) -> None:
        """Remove the flows that exceed the idle timeout from the cache."""
        idle_s = self.view.routes.idle_timeout_ms / MS_PER_S
        idle_keys = [
            key
            for key, cached in self.owner_cache.items()
            if now - cached.last_used_at > idle_s
        ]
        for key in idle_keys:
            self.owner_cache.pop(key)

    def _forward(self, now: float, packet: Packet, cached: CachedOwner) -> None:
        if packet.is_first:
            # The sidecar may have restarted since, so it has to decide again.
            self.owner_cache.pop(packet.key)
            self.placer.place(now, packet, cached.sidecar)
            return
        datagram = ForwardedPacket(cached.service, packet.raw).encode()
        self._callbacks.to_sidecar(datagram, cached.sidecar)

    def _on_unowned_packet(self, now: float, packet: Packet) -> None:
        if packet.is_first:
            self._counters.incr('openings')
            self.placer.place(now, packet)
            return
        # A later packet shows that a server has answered the first one.
        self.placer.stop_placing(packet.key)
        self.owner_lookup.start(now, packet)

    def _on_owner(
        self,
        now: float,
        key: FlowKey,
        sidecar: SocketAddress,
        status: FlowStatus,
    ) -> None:
        if len(self.owner_cache) < MAX_CACHED_OWNERS:
            record = self.view.newest_by_host().get(
                sidecar[0]
            ) or self.view.unnamed_by_host().get(sidecar[0])
            service = '' if record is None else record.service
            self.owner_cache[key] = CachedOwner(sidecar, service, now)
        self.placer.on_accepted(now, key)
        if status is FlowStatus.OWNED:
            self.lookups.on_owned(key, sidecar)
            logger.info(
                'flow-found',
                extra={
                    'flow': flow_name(key),
                    'sidecar': sidecar[0],
                    'report_age_ms': self.sidecars.report_age_ms(now, sidecar),
                    'revision': self.view.revision,
                },
            )

    def _on_owner_found(
        self, now: float, key: FlowKey, sidecar: SocketAddress
    ) -> None:
        self._on_owner(now, key, sidecar, FlowStatus.OWNED)

    def _on_refusal(
        self,
        now: float,
        reply: FlowReply,
        sidecar: SocketAddress,
    ) -> None:
        self._counters.incr('sidecar_refusals')
        self.owner_cache.pop(reply.key, None)
        if not reply.raw:
            self.placer.on_refused(now, reply.key, sidecar)
            return
        packet = self._codec.from_client(reply.raw)
        self.placer.place_elsewhere(now, packet, sidecar)

    def _on_returned_packet(
        self,
        now: float,
        reply: FlowReply,
        sidecar: SocketAddress,
    ) -> None:
        """Look up the owner of a flow whose sidecar didn't deliver a packet."""
        cached = self.owner_cache.get(reply.key)
        if cached is not None and cached.sidecar == sidecar:
            self.owner_cache.pop(reply.key)
        if reply.raw and reply.key not in self.lookups.pending:
            packet = self._codec.from_client(reply.raw)
            if not packet.is_first:
                self.owner_lookup.start(now, packet)

    def _refuse(self, key: FlowKey, reason: str) -> None:
        """Reset a flow that no server has accepted; its client retries soon."""
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
        self._callbacks.to_client(self._codec.build_reset(key, 0), key)

    def _is_view_current(self, now: float) -> bool:
        return self._callbacks.view_age_s(now) < MAX_VIEW_AGE_S

    def _is_view_settled(self, now: float) -> bool:
        """Return whether the store has confirmed the view for long enough.

        Entries that lapsed in an outage right before the first listing would be
        in it by then.
        """
        confirmed_at = now - self._callbacks.view_age_s(now)
        return confirmed_at - self.view.listed_since >= REMOVAL_GRACE_S


_OWNER_STATUSES = frozenset((FlowStatus.ACCEPTED, FlowStatus.OWNED))
