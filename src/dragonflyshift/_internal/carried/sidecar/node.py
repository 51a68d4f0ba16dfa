"""The sidecar daemon for carried flows."""

__all__ = ('SidecarNode',)

import asyncio
import logging
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from dragonflyshift._internal.carried.fleet.reader import ViewSource
from dragonflyshift._internal.carried.load import LoadReport
from dragonflyshift._internal.carried.messages import (
    AdmissionRequest,
    DaemonStatus,
    Datagram,
    FlowReply,
    ForwardedPacket,
    LookupRequest,
    OwnershipQuery,
)
from dragonflyshift._internal.carried.node import BaseNode
from dragonflyshift._internal.carried.node_settings import NodeSettings
from dragonflyshift._internal.carried.packet import (
    FlowKey,
    PacketCodec,
    SocketAddress,
    client_host,
)
from dragonflyshift._internal.carried.policies.admission import AdmissionPolicy
from dragonflyshift._internal.carried.sidecar.admission import PacketSenders
from dragonflyshift._internal.carried.sidecar.backend_tracker import (
    BackendTracker,
)
from dragonflyshift._internal.carried.sidecar.flow_handler import FlowHandler
from dragonflyshift._internal.carried.sidecar.health_check import (
    UNRESPONSIVE_AFTER_S,
    BackendHealthCheck,
)
from dragonflyshift._internal.exceptions import SettingsError
from dragonflyshift._internal.kernel.registry import find_plugin, load_modules
from dragonflyshift._internal.utils.datagrams import PlainUdpSocket
from dragonflyshift._internal.utils.early_binding import BoundSockets

if TYPE_CHECKING:
    from dragonflyshift._internal.carried.sidecar.lookup_delegate import (
        LookupDelegate,
    )

logger = logging.getLogger(__name__)

STOP_MARGIN_S = 0.8
MIN_DRAIN_S = 0.1
DRAIN_CHECK_S = 0.02
MS_PER_S = 1000
# Modules of policies that are imported only when the settings name them, as
# an import lengthens each start.
_POLICIES = 'dragonflyshift._internal.carried.policies'
_POLICY_MODULES = {
    'fair-share': 'fair_share',
    'target-first': 'target_first',
}


class SidecarNode(BaseNode):
    """A sidecar that owns the flows of the backend server beside it."""

    def __init__(
        self,
        settings: NodeSettings,
        codec: PacketCodec,
        source: ViewSource | None,
        sockets: BoundSockets,
    ) -> None:
        """Create the sidecar; ``start`` opens its sockets.

        Sockets that ``sockets`` holds are already bound. Raises SettingsError
        if the settings lack a service or a backend server.
        """
        super().__init__(settings, codec, source, sockets)
        self._client_port = settings.client_port
        if settings.backend is None or not settings.service:
            raise SettingsError(
                "the sidecar's settings lack a service or a backend server",
                hint='set both in the settings',
            )
        policy_name = settings.plugins.get('opening-policy', 'target-first')
        self.backend = BackendTracker(
            service=settings.service,
            address=settings.backend,
            view=self.view,
            policy=_load_policy(policy_name),
            knows_all=settings.is_first_start,
            data_center=settings.data_center,
            is_first_start=settings.is_first_start,
            detects_failures=settings.detects_failures,
            warmup_overage=settings.warmup_overage,
            warmup_slack=settings.warmup_slack,
            awaits_warmups=settings.has_warmup_bounds,
        )
        senders = PacketSenders(
            self._send_backend,
            self._send_client,
            self.send_to_peer,
        )
        self.flow_handler = FlowHandler(
            self.backend,
            codec,
            senders,
            self.counters,
        )
        # Created at the first request, as small fleets have none.
        self.lookup_delegate: LookupDelegate | None = None
        for name, read_value in self.backend.policy.gauges().items():
            self.counters.gauge(name, _at_present(read_value))
        self.counters.gauge(
            'open_flows', lambda: len(self.backend.table.live_flows())
        )
        self.counters.gauge('evacuated', lambda: self.backend.is_evacuated)
        self._backend_address = settings.backend
        self._outbound: PlainUdpSocket | None = None
        self._started_at = time.monotonic()
        self._health_check = BackendHealthCheck(
            settings.backend,
            self._is_backend_unresponsive,
            lambda: self.flow_handler.on_backend_lost(time.monotonic()),
            lambda: self.flow_handler.on_backend_found(time.monotonic()),
        )

    def open_role_sockets(self) -> None:
        """Open the socket for the server's packets; start its health check.

        Raises SettingsError if the settings lack an outbound address.
        """
        if self.settings.outbound is None:
            raise SettingsError(
                "the sidecar's settings lack the address for packets from "
                'its backend server',
                hint='set the outbound address in the settings',
            )
        self._outbound = PlainUdpSocket(
            self.sockets.take(self.settings.outbound),
            self._on_backend_packet,
            self.count_datagram_failure,
        )
        self.tasks.start('health-check', self._health_check.run)

    def leave(self) -> None:
        """Refuse new flows and return the waiting ones."""
        self.flow_handler.leave(time.monotonic())

    async def wait_until_unused(self) -> None:
        """Return once no slot is busy, or before the stop grace period ends.

        Packets are still handled until then.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.settings.stop_grace_s - STOP_MARGIN_S
        await asyncio.sleep(MIN_DRAIN_S)
        while loop.time() < deadline:
            if not self.backend.table.busy_slots(time.monotonic()):
                return
            await asyncio.sleep(DRAIN_CHECK_S)

    def is_ready(self) -> bool:
        """Return whether the sidecar is not leaving.

        Unlike a balancer it is ready before it has a configuration.
        """
        return not self.is_leaving

    def load(self) -> LoadReport | None:
        """Return the load report of the server."""
        return self.backend.load(time.monotonic())

    def on_flow_datagram(
        self,
        now: float,
        message: Datagram,
        address: SocketAddress,
    ) -> None:
        """Dispatch a message from a balancer or from another sidecar."""
        if isinstance(message, ForwardedPacket):
            self.flow_handler.on_forwarded_packet(now, message, address)
        elif isinstance(message, AdmissionRequest):
            self.flow_handler.on_admission_request(now, message, address)
        elif isinstance(message, OwnershipQuery):
            self.flow_handler.on_ownership_query(now, message, address)
        elif isinstance(message, LookupRequest | FlowReply):
            self._on_lookup_message(now, message, address)
        else:
            self.counters.incr('dropped_misdirected')

    def _on_lookup_message(
        self,
        now: float,
        message: LookupRequest | FlowReply,
        address: SocketAddress,
    ) -> None:
        if self.lookup_delegate is None:
            if isinstance(message, FlowReply):
                return
            self.lookup_delegate = _create_lookup_delegate(self)
        self.lookup_delegate.on_message(now, message, address)

    def on_status(
        self,
        now: float,
        status: DaemonStatus,
        address: SocketAddress,
    ) -> None:
        """Do nothing: a sidecar needs no more than gossip's own handling."""

    def on_view_changed(self, now: float) -> None:
        """Apply the server's endpoint record after a change of the view."""
        self.flow_handler.view_changed(now)

    def tick(self, now: float) -> None:
        """Continue waiting flows and lookups in progress."""
        self.flow_handler.tick(now)
        if self.lookup_delegate is not None:
            self.lookup_delegate.tick(now)

    def has_waiting(self) -> bool:
        """Return whether a new flow waits or a lookup is in progress."""
        if self.backend.policy.waiting:
            return True
        if not self.backend.may_start(time.monotonic()):
            # A tick reports that the server accepts flows again.
            return True
        delegate = self.lookup_delegate
        return delegate is not None and delegate.has_waiting()

    def sweep(self, now: float) -> None:
        """Remove old flows, probes and report recipients.

        Once this process has run for the maximum lifetime of a flow, no flow
        from before its start is left, and the flow table is complete.
        """
        self.flow_handler.sweep(now)
        if now - self._started_at > self.settings.flow_lifetime_s:
            self.backend.knows_all = True

    def _on_backend_packet(self, raw: bytes, _address: SocketAddress) -> None:
        self.flow_handler.on_backend_packet(time.monotonic(), raw)

    def _send_backend(self, raw: bytes) -> None:
        if self._outbound is not None:
            self._outbound.send(raw, self._backend_address)

    def _send_client(self, raw: bytes, key: FlowKey) -> None:
        if self._outbound is not None:
            self._outbound.send(raw, (client_host(key), self._client_port))

    def _is_backend_unresponsive(self) -> bool:
        now = time.monotonic()
        oldest = min(
            (
                flow.request_started_at or now
                for flow in self.backend.table.running_flows()
            ),
            default=now,
        )
        silent_s = now - self.backend.last_packet_at
        return (
            now - oldest > UNRESPONSIVE_AFTER_S
            and silent_s > UNRESPONSIVE_AFTER_S
        )


def _create_lookup_delegate(node: SidecarNode) -> 'LookupDelegate':
    """Return the lookup delegate of a sidecar.

    Its modules are imported here because they would prolong each start.
    """
    from dragonflyshift._internal.carried.sidecar.lookup_delegate import (
        LookupDelegate,
        LookupDelegateCallbacks,
    )

    return LookupDelegate(
        node.view,
        node.codec,
        LookupDelegateCallbacks(
            node.send_to_peer,
            node.member.sidecar_address,
            node.member.request_reader_statuses,
            node.flow_handler.admission.record_malformed,
        ),
    )


def _load_policy(name: str) -> AdmissionPolicy:
    module = _POLICY_MODULES.get(name)
    if module is not None:
        load_modules((f'{_POLICIES}.{module}',))
    return find_plugin(AdmissionPolicy, name)()


def _at_present(
    read_value: Callable[[float], float],
) -> Callable[[], float]:
    """Return a gauge that reads its value at the time of the request."""
    return lambda: read_value(time.monotonic())
