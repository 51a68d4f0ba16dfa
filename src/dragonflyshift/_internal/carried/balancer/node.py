"""The balancer daemon of carried flows."""

__all__ = ('BalancerNode',)

import asyncio
import logging
import time

from dragonflyshift._internal.carried.balancer.forwarder import (
    FlowForwarder,
    ForwarderCallbacks,
)
from dragonflyshift._internal.carried.balancer.sidecars import SidecarTable
from dragonflyshift._internal.carried.fleet.reader import ViewSource
from dragonflyshift._internal.carried.load import LoadReport
from dragonflyshift._internal.carried.messages import (
    DaemonStatus,
    Datagram,
    FlowReply,
    LookupResult,
)
from dragonflyshift._internal.carried.node import BaseNode
from dragonflyshift._internal.carried.node_settings import NodeSettings
from dragonflyshift._internal.carried.packet import (
    FlowKey,
    PacketCodec,
    SocketAddress,
    client_host,
)
from dragonflyshift._internal.carried.policies.placement import FlowPlacement
from dragonflyshift._internal.carried.policies.rotation import RotationWatch
from dragonflyshift._internal.exceptions import SettingsError
from dragonflyshift._internal.kernel.registry import find_plugin
from dragonflyshift._internal.utils.datagrams import PlainUdpSocket
from dragonflyshift._internal.utils.early_binding import BoundSockets

logger = logging.getLogger(__name__)

# Part of the grace period that is reserved for closing down.
STOP_MARGIN_S = 0.8
DRAIN_CHECK_S = 0.05
# A balancer that receives nothing from any daemon for this long is isolated.
# Readers send their status to all balancers twice a second.
ISOLATION_S = 1.2


class BalancerNode(BaseNode):
    """Receives clients' packets from the fabric and forwards them."""

    is_balancer = True

    def __init__(
        self,
        settings: NodeSettings,
        codec: PacketCodec,
        source: ViewSource | None,
        sockets: BoundSockets,
    ) -> None:
        """Create the node; ``start`` opens all sockets not in ``sockets``."""
        super().__init__(settings, codec, source, sockets)
        self._client_port = settings.client_port
        name = settings.plugins.get('flow-placement', 'least-requests')
        self.forwarder = FlowForwarder(
            self.view,
            SidecarTable(
                settings.data_center,
                compares_servers=settings.detects_failures,
            ),
            codec,
            find_plugin(FlowPlacement, name)(),
            ForwarderCallbacks(
                self.send_to_peer,
                self._send_to_client,
                self.member.sidecar_address,
                self.member.gossip.age_s,
                self.member.has_same_endpoints,
                self.member.request_reader_statuses,
                self.member.gossip.request_statuses,
            ),
            self.rng,
            self.counters,
        )
        self._fabric: PlainUdpSocket | None = None
        self._evacuated: frozenset[str] = frozenset()
        self._rotation: RotationWatch | None = None

    def open_role_sockets(self) -> None:
        """Open the socket for packets from the fabric."""
        if self.settings.fabric is None:
            raise SettingsError(
                'the settings of this balancer have no fabric address',
                hint='set the address at which it receives client packets',
            )
        self._fabric = PlainUdpSocket(
            self.sockets.take(self.settings.fabric),
            self._on_fabric_packet,
            self.count_datagram_failure,
        )

    def leave(self) -> None:
        """Watch for the fabric to stop sending, as readiness fails now."""
        self._rotation = RotationWatch()
        self._rotation.record_packet(time.monotonic())

    async def wait_until_unused(self) -> None:
        """Return once the fabric sends nothing more, or the grace period ends.

        The fabric keeps sending packets to a data centre even if most of its
        balancers are stopping.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.settings.stop_grace_s - STOP_MARGIN_S
        while loop.time() < deadline:
            await asyncio.sleep(DRAIN_CHECK_S)
            if self.is_unused(time.monotonic()):
                return

    def is_unused(self, now: float) -> bool:
        """Return whether this balancer is stopping and may end now."""
        if self._rotation is None or self.has_waiting():
            return False
        return self._rotation.is_unused(now)

    def is_ready(self) -> bool:
        """Return whether the fabric may send flows to this balancer.

        A balancer that receives nothing from other daemons doesn't reach any
        sidecar either, so the fabric should use other balancers.
        """
        if self._rotation is not None:
            self._rotation.record_failed_check()
            return False
        since_contact_s = time.monotonic() - self.last_datagram_at
        return super().is_ready() and since_contact_s < ISOLATION_S

    def load(self) -> LoadReport | None:
        """Return None, as a balancer has no backend server."""

    def on_flow_datagram(
        self,
        now: float,
        message: Datagram,
        address: SocketAddress,
    ) -> None:
        """Process a sidecar's reply about a flow or a lookup."""
        if isinstance(message, FlowReply):
            self.forwarder.on_flow_reply(now, message, address)
        elif isinstance(message, LookupResult):
            self.forwarder.on_lookup_result(now, message, address)
        else:
            self.counters.incr('dropped_misdirected')

    def on_status(
        self, now: float, status: DaemonStatus, address: SocketAddress
    ) -> None:
        """Store the load that a sidecar reports."""
        if status.load is not None:
            self.forwarder.sidecars.record_report(now, address, status.load)

    def on_view_changed(self, now: float) -> None:
        """Place the flows that were waiting for a view."""
        data_centers = self.member.sidecar_data_centers()
        self.forwarder.sidecars.keep_only(data_centers)
        evacuated = self.view.evacuations.evacuated
        if evacuated != self._evacuated:
            restored = self._evacuated - evacuated
            self._evacuated = evacuated
            self.forwarder.sidecars.assume_idle(
                now,
                [
                    address
                    for address, data_center in data_centers.items()
                    if data_center in restored
                ],
            )
        self.forwarder.placer.view_changed(now)

    def tick(self, now: float) -> None:
        """Process the timeouts of pending new flows and lookups."""
        self.forwarder.tick(now)

    def has_waiting(self) -> bool:
        """Return whether new flows or lookups are pending."""
        return self.forwarder.has_waiting()

    def sweep(self, now: float) -> None:
        """Remove idle flows from the cache."""
        self.forwarder.sweep(now)

    def _on_fabric_packet(self, raw: bytes, _address: SocketAddress) -> None:
        now = time.monotonic()
        if self._rotation is not None:
            self._rotation.record_packet(now)
        self.forwarder.on_client_packet(now, raw)
        if self.has_waiting():
            self.ticker.activate()

    def _send_to_client(self, raw: bytes, key: FlowKey) -> None:
        if self._fabric is not None:
            self._fabric.send(raw, (client_host(key), self._client_port))
