"""The sidecar daemon of carried flows."""

__all__ = ('SidecarNode',)

import asyncio
import logging
import time

from dragonflyshift._internal.carried.fleet.source import ViewSource
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
from dragonflyshift._internal.carried.sidecar.admission import HostPorts
from dragonflyshift._internal.carried.sidecar.condition import (
    BackendCondition,
)
from dragonflyshift._internal.carried.sidecar.host import FlowHost
from dragonflyshift._internal.carried.sidecar.surveyor import (
    Surveyor,
    SurveyorPorts,
)
from dragonflyshift._internal.carried.sidecar.watch import (
    SILENCE_S,
    BackendWatch,
)
from dragonflyshift._internal.exceptions import SettingsError
from dragonflyshift._internal.kernel.registry import find_plugin
from dragonflyshift._internal.utils.datagrams import PairSocket
from dragonflyshift._internal.utils.early_binding import BoundSockets

logger = logging.getLogger(__name__)

STOP_MARGIN_S = 0.8
MIN_DRAIN_S = 0.1
DRAIN_CHECK_S = 0.02
MS_PER_S = 1000


class SidecarNode(BaseNode):
    """Own the flows of the backend server beside it."""

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
        if settings.backend is None or not settings.service:
            raise SettingsError(
                'a sidecar needs a service and a backend server',
                hint='name both in the settings',
            )
        name = settings.plugins.get('opening-policy', 'in-time-only')
        self.condition = BackendCondition(
            service=settings.service,
            backend=settings.backend,
            view=self.view,
            policy=find_plugin(AdmissionPolicy, name)(),
            knows_all=settings.is_first_start,
            bound_ms=(time.time() - sockets.age_s()) * MS_PER_S,
        )
        ports = HostPorts(
            self._send_backend,
            self._send_client,
            self.send_to_peer,
        )
        self.host = FlowHost(self.condition, codec, ports, self.counters)
        self.surveyor = Surveyor(
            self.view,
            codec,
            SurveyorPorts(
                self.send_to_peer,
                self.member.sidecar_address,
                self.member.request_reader_statuses,
                self.host.admission.malformed,
            ),
        )
        self._backend = settings.backend
        self._outbound: PairSocket | None = None
        self._started_at = time.monotonic()
        self._watch = BackendWatch(
            settings.backend,
            self._is_doubtful,
            self._lost,
            self._found,
        )

    def open_role_sockets(self) -> None:
        """Take the server's packets and watch it."""
        if self.settings.outbound is None:
            raise SettingsError(
                "a sidecar needs an address for its server's packets",
                hint='name it in the settings',
            )
        self._outbound = PairSocket(
            self.sockets.take(self.settings.outbound),
            self._backend_packet,
        )
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self._watch.run()))

    def leave(self) -> None:
        """Take no new flow."""
        self.host.leave(time.monotonic())

    async def wait_until_unused(self) -> None:
        """Serve on until no request is under way."""
        loop = asyncio.get_running_loop()
        latest = loop.time() + self.settings.stop_grace_s - STOP_MARGIN_S
        await asyncio.sleep(MIN_DRAIN_S)
        while loop.time() < latest:
            if not self.condition.table.busy(time.monotonic()):
                return
            await asyncio.sleep(DRAIN_CHECK_S)

    def is_ready(self) -> bool:
        """A sidecar works before it has learned a configuration."""
        return not self.is_leaving

    def load(self) -> LoadReport | None:
        """Return the load of the server."""
        return self.condition.load(time.monotonic())

    def on_flow_datagram(
        self,
        now: float,
        message: Datagram,
        pair: SocketAddress,
    ) -> None:
        """Take a message of a balancer or of another sidecar."""
        if isinstance(message, ForwardedPacket):
            self.host.on_carry(now, message, pair)
        elif isinstance(message, AdmissionRequest):
            self.host.on_open(now, message, pair)
        elif isinstance(message, OwnershipQuery):
            self.host.on_ask(now, message, pair)
        elif isinstance(message, LookupRequest | FlowReply):
            self.surveyor.on_message(now, message, pair)
        else:
            self.counters.incr('dropped_misdirected')

    def on_status(
        self, now: float, status: DaemonStatus, pair: SocketAddress
    ) -> None:
        """Nothing beyond what gossip learns."""

    def on_view_changed(self, now: float) -> None:
        """Heed what the register says of the server."""
        self.host.view_changed(now)

    def tick(self, now: float) -> None:
        """Go on with what waits."""
        self.host.tick(now)
        self.surveyor.tick(now)

    def has_waiting(self) -> bool:
        """Tell whether a new flow waits for a slot, or a look-up."""
        if self.condition.policy.waiting:
            return True
        return self.surveyor.has_waiting()

    def sweep(self, now: float) -> None:
        """Drop what is old."""
        self.host.sweep(now)
        if now - self._started_at > self.settings.flow_lifetime_s:
            self.condition.knows_all = True

    def _backend_packet(self, raw: bytes, _pair: SocketAddress) -> None:
        self.host.backend_packet(time.monotonic(), raw)

    def _send_backend(self, raw: bytes) -> None:
        if self._outbound is not None:
            self._outbound.send(raw, self._backend)

    def _send_client(self, raw: bytes, key: FlowKey) -> None:
        if self._outbound is not None:
            self._outbound.send(raw, (client_host(key), self._client_port))

    def _is_doubtful(self) -> bool:
        now = time.monotonic()
        oldest = min(
            (flow.request_at or now for flow in self.condition.table.running()),
            default=now,
        )
        silent_s = now - self.condition.seen_at
        return now - oldest > SILENCE_S and silent_s > SILENCE_S

    def _lost(self) -> None:
        self.host.backend_lost(time.monotonic())

    def _found(self) -> None:
        self.host.backend_found(time.monotonic())
