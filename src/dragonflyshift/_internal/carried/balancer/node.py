"""The balancer daemon of carried flows."""

__all__ = ('BalancerNode',)

import asyncio
import logging
import time

from dragonflyshift._internal.carried.balancer.forwarder import (
    FlowForwarder,
    ForwarderPorts,
)
from dragonflyshift._internal.carried.balancer.sidecars import SidecarTable
from dragonflyshift._internal.carried.fleet.source import ViewSource
from dragonflyshift._internal.carried.load import LoadReport
from dragonflyshift._internal.carried.messages import (
    DaemonStatus,
    Datagram,
    FlowReply,
    LookupResult,
)
from dragonflyshift._internal.carried.node import CarryingNode
from dragonflyshift._internal.carried.node_settings import NodeSettings
from dragonflyshift._internal.carried.packet import (
    FlowKey,
    PacketCodec,
    SocketAddress,
    client_host,
)
from dragonflyshift._internal.carried.policies.placement import FlowPlacement
from dragonflyshift._internal.exceptions import SettingsError
from dragonflyshift._internal.kernel.registry import find_plugin
from dragonflyshift._internal.utils.datagrams import PairSocket
from dragonflyshift._internal.utils.early_binding import BoundSockets

logger = logging.getLogger(__name__)

# Left of the grace time for closing down.
STOP_MARGIN_S = 0.8
# Readers tell all balancers of themselves twice a second.
ISOLATION_S = 1.2


class BalancerNode(CarryingNode):
    """Take clients' packets from the fabric and carry them to sidecars."""

    is_balancer = True

    def __init__(
        self,
        settings: NodeSettings,
        codec: PacketCodec,
        source: ViewSource | None,
        sockets: BoundSockets,
    ) -> None:
        """Prepare; ``start`` opens what ``sockets`` doesn't hold."""
        super().__init__(settings, codec, source, sockets)
        self._client_port = settings.client_port
        name = settings.plugins.get('flow-placement', 'fastest-estimate')
        self.forwarder = FlowForwarder(
            self.view,
            SidecarTable(settings.data_center),
            codec,
            find_plugin(FlowPlacement, name)(),
            ForwarderPorts(
                self.send_peer,
                self._send_client,
                self.member.sidecar_address,
                self.member.gossip.age_s,
                self.member.request_reader_statuses,
            ),
            self.rng,
            self.counters,
        )
        self._fabric: PairSocket | None = None

    def open_sockets(self) -> None:
        """Listen to the fabric."""
        if self.settings.fabric is None:
            raise SettingsError(
                'a balancer needs an address for the fabric',
                hint='name it in the settings',
            )
        self._fabric = PairSocket(
            self.sockets.take(self.settings.fabric),
            self._fabric_packet,
        )

    def leave(self) -> None:
        """Nothing to do: readiness says it already."""

    async def wait_until_unused(self) -> None:
        """Serve on for as long as the fabric may send packets.

        It goes on sending to a data centre of which most balancers stop.
        """
        await asyncio.sleep(self.settings.stop_grace_s - STOP_MARGIN_S)

    def is_ready(self) -> bool:
        """Tell whether the fabric may send flows here.

        A balancer that hears of no other daemon reaches no sidecar either;
        the fabric should turn to others.
        """
        silent_s = time.monotonic() - self.heard_at
        return super().is_ready() and silent_s < ISOLATION_S

    def load(self) -> LoadReport | None:
        """Return nothing: a balancer has no backend server."""

    def flow_datagram(
        self,
        now: float,
        message: Datagram,
        pair: SocketAddress,
    ) -> None:
        """Take a sidecar's verdict."""
        if isinstance(message, FlowReply):
            self.forwarder.on_flow_status(now, message, pair)
        elif isinstance(message, LookupResult):
            self.forwarder.on_lookup_result(now, message, pair)
        else:
            self.counters.incr('dropped_misdirected')

    def status_heard(
        self, now: float, status: DaemonStatus, pair: SocketAddress
    ) -> None:
        """Learn a sidecar's load."""
        if status.load is not None:
            self.forwarder.sidecars.record_report(now, pair, status.load)

    def view_changed(self, now: float) -> None:
        """Place flows that waited for this."""
        self.forwarder.sidecars.keep_only(self.member.sidecar_data_centers())
        self.forwarder.placer.view_changed(now)

    def tick(self, now: float) -> None:
        """Go on with what waits."""
        self.forwarder.tick(now)

    def has_waiting(self) -> bool:
        """Tell whether an opening or a look-up lacks an answer."""
        return self.forwarder.has_waiting()

    def sweep(self, now: float) -> None:
        """Drop what is old."""
        self.forwarder.sweep(now)

    def _fabric_packet(self, raw: bytes, _pair: SocketAddress) -> None:
        self.forwarder.on_client_packet(time.monotonic(), raw)
        if self.has_waiting():
            self.ticker.hurry()

    def _send_client(self, raw: bytes, key: FlowKey) -> None:
        if self._fabric is not None:
            self._fabric.send(raw, (client_host(key), self._client_port))
