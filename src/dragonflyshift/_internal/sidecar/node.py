"""A running sidecar with its sockets, members, flows and requests."""

import asyncio
import logging
import random
import time
from collections.abc import Sequence

from aioquic.quic.configuration import QuicConfiguration

from dragonflyshift._internal.config import ConfigurationChange
from dragonflyshift._internal.control import ConfigurationFeed, ControlServer
from dragonflyshift._internal.exceptions import SidecarError
from dragonflyshift._internal.kernel.registry import find_plugin
from dragonflyshift._internal.kernel.settings import Settings
from dragonflyshift._internal.kernel.tasks import BackgroundTasks
from dragonflyshift._internal.membership import Prober
from dragonflyshift._internal.models import (
    Address,
    ServiceDocument,
    ServiceRules,
)
from dragonflyshift._internal.models.documents import (
    ServiceState,
    service_key,
)
from dragonflyshift._internal.recovery import (
    BalancerDirectory,
    PauseDetector,
    watch_pauses,
)
from dragonflyshift._internal.routing import FlowDecision, LoadSnapshot
from dragonflyshift._internal.sidecar.backend_watch import BackendWatch
from dragonflyshift._internal.sidecar.balancer_reports import BalancerReports
from dragonflyshift._internal.sidecar.components import (
    Telemetry,
    create_admission,
    create_evacuation,
    create_members,
    create_request_components,
    own_slots,
)
from dragonflyshift._internal.sidecar.draining import Drainer
from dragonflyshift._internal.sidecar.flows import FlowTable, FlowTableCallbacks
from dragonflyshift._internal.sidecar.handover import OutcomeHandover
from dragonflyshift._internal.sidecar.identity import (
    SidecarIdentity,
    new_boot,
)
from dragonflyshift._internal.sidecar.lifecycle import Lifecycle
from dragonflyshift._internal.sidecar.link import (
    DatagramLink,
    LinkHandlers,
)
from dragonflyshift._internal.sidecar.replies import ReplySender, ServiceView
from dragonflyshift._internal.sidecar.reports import SidecarReports
from dragonflyshift._internal.wire import ConnectionIdCodec, ForwardEnvelope
from dragonflyshift._internal.wire.messages import (
    ClaimRequest,
    OutcomeTransfer,
    RequestHead,
)

logger = logging.getLogger(__name__)

PAUSE_LIMIT_SECONDS = 1.0
DISPATCH_PERIOD_SECONDS = 0.05
IDLE_DISPATCH_PERIOD_SECONDS = 0.25


class SidecarNode:
    """The parts of a sidecar that depend on the service's document."""

    def __init__(
        self,
        settings: Settings,
        feed: ConfigurationFeed,
        telemetry: Telemetry,
        tasks: BackgroundTasks,
        quic_config: QuicConfiguration,
    ) -> None:
        """Create and connect the components; ``start`` opens the sockets."""
        self._settings = settings
        self._feed = feed
        self._metrics = telemetry.metrics
        self._tasks = tasks
        service = self._service
        self._link = DatagramLink(settings, service.tag, self._metrics)
        ids = ConnectionIdCodec(settings.fleet_keys)
        self._identity = SidecarIdentity(
            settings.listen,
            service.tag,
            new_boot(),
            ids,
        )
        self._members = create_members(self._identity)
        self._lifecycle = Lifecycle(settings.listen, self._members)
        self._admission = create_admission(settings, service, time.monotonic())
        self._requests = create_request_components(
            settings,
            self._identity,
            self._members,
            self._lifecycle,
            self._admission,
            lambda: self._rules,
            self._link.send_offer,
            telemetry,
            tasks,
        )
        self._directory = BalancerDirectory()
        self._balancer_reports = BalancerReports(
            self._directory,
            self._peer_addresses,
            self._link.send_to_peer,
            random.Random(),
        )
        self._evacuation = create_evacuation(
            settings,
            lambda: self._service,
            self._members,
            self._metrics,
        )
        self._flows = FlowTable(
            self._identity,
            quic_config,
            ids,
            ReplySender(
                service.tag,
                self._link.codec,
                self._link.send,
                self._service_view,
                self._directory,
            ),
            self._flow_table_callbacks(),
            self._requests.service.handle,
            self._metrics,
        )
        self._prober = Prober(
            self._members,
            self._peer_addresses,
            self._link.send_to_peer,
            random.Random(),
            tag=service.tag,
            version=lambda: self._service.version,
            on_version=self._note_newer_version,
        )
        self._handover = OutcomeHandover(
            self._identity,
            settings.fleet_keys,
            self._members,
            self._requests.outcomes,
        )
        self._backend_watch = BackendWatch(
            self._requests.backend,
            self._lifecycle.backend_changed,
            lambda: self._requests.local_runner.last_served_at,
        )
        self._control = self._create_control()

    async def start(self) -> None:
        """Open the sockets and start the tasks."""
        # No packet may arrive before the state of this endpoint is known.
        self._apply_document()
        self._link.open(
            LinkHandlers(
                self._handle_forward,
                self._prober.handle,
                self._requests.finder.handle_offer,
                self._balancer_reports.receive,
            ),
        )
        await self._control.start()
        self._feed.store.changes.subscribe(self._on_configuration_change)
        self._apply_document()
        for name, coroutine in (
            ('membership', self._prober.run()),
            ('backend-watch', self._backend_watch.run()),
            ('queue', self._run_dispatch()),
            ('metrics', self._metrics.run()),
            ('balancer-reports', self._balancer_reports.run()),
            (
                'pauses',
                watch_pauses(
                    PauseDetector(PAUSE_LIMIT_SECONDS), self._on_pause
                ),
            ),
        ):
            self._tasks.start(coroutine, name)

    async def drain(self) -> None:
        """Leave: move new requests to peers, finish running ones, hand over."""
        self._lifecycle.stop()
        drainer = Drainer(self._flows, self._count_running, self._handover)
        await drainer.drain(self._settings.drain_timeout)

    async def close(self) -> None:
        """Close all sockets."""
        await self._control.close()
        await self._requests.backend.close()
        self._link.close()

    @property
    def _service(self) -> ServiceDocument:
        service = self._feed.store.service(self._settings.service)
        if service is None:
            raise SidecarError(
                f'service {self._settings.service!r} has no document yet'
            )
        return service

    @property
    def _rules(self) -> ServiceRules:
        return self._service.rules

    def _create_control(self) -> ControlServer:
        control = ControlServer(
            self._settings.listen,
            self._settings.fleet_keys,
            self._feed.store,
            SidecarReports(
                self._settings,
                self._feed.store,
                self._members,
                self._admission,
                lambda: len(self._flows),
                self._metrics,
                self._evacuation.log,
            ),
        )
        control.add_handler(ClaimRequest, self._requests.claim_server.serve)
        control.add_handler(RequestHead, self._requests.keyed.serve_stream)
        control.add_handler(OutcomeTransfer, self._handover.adopt)
        return control

    def _flow_table_callbacks(self) -> FlowTableCallbacks:
        decision = find_plugin(FlowDecision, self._settings.flow_decision)
        return FlowTableCallbacks(
            decision(),
            self._load_snapshot,
            self._members.record,
            self._link.relay,
            lambda: (
                self._service.state is ServiceState.WINDING_DOWN
                or self._evacuation.applies
            ),
            lambda address: address in self._service.addresses,
            self._evacuation.choose_second,
        )

    def _handle_forward(self, forward: ForwardEnvelope) -> None:
        if forward.version > self._service.version:
            self._note_newer_version(forward.balancer, forward.version)
        self._flows.receive(forward)

    def _peer_addresses(self) -> Sequence[Address]:
        return tuple(
            endpoint.address
            for endpoint in self._service.endpoints
            if endpoint.address != self._settings.listen
        )

    def _service_view(self) -> ServiceView:
        # After a pause the view may be outdated, so it is not sent.
        outdated = self._members.has_outdated_records
        return ServiceView(
            self._members.hash,
            b'' if outdated else self._members.digest,
            self._service.version,
        )

    def _load_snapshot(self, connections: int) -> LoadSnapshot:
        own = self._members.own
        if own is None:
            raise SidecarError('the member table has no record of this sidecar')
        return LoadSnapshot(
            own.record.state,
            connections,
            self._rules.connections,
            self._admission.free_slots(time.monotonic()),
            self._admission.queued,
        )

    def _note_newer_version(self, peer: Address, version: int) -> None:
        key = service_key(self._settings.service)
        self._feed.pull_newer_version(key, version, peer)

    def _on_configuration_change(self, change: ConfigurationChange) -> None:
        logger.info(
            'configuration-in-force',
            extra={'key': change.key, 'version': change.version},
        )
        self._apply_document()

    def _apply_document(self) -> None:
        service = self._service
        self._admission.resize(
            own_slots(self._settings, service),
            service.rules.queue_limit,
        )
        self._members.set_configured_members(
            [endpoint.address for endpoint in service.endpoints],
            time.monotonic(),
        )
        self._lifecycle.document_changed(service)
        self._evacuation.update()

    async def _run_dispatch(self) -> None:
        """Dispatch queued requests and publish the load, periodically."""
        while True:
            now = time.monotonic()
            self._requests.finder.dispatch()
            self._requests.outcomes.expire(now)
            self._members.set_own_load(
                self._admission.free_slots(now),
                self._admission.queued,
            )
            self._evacuation.report_flows(len(self._flows))
            self._requests.finder.publish_gauges(now)
            busy = self._admission.running or self._admission.queued
            await asyncio.sleep(
                DISPATCH_PERIOD_SECONDS
                if busy
                else IDLE_DISPATCH_PERIOD_SECONDS,
            )

    def _count_running(self) -> int:
        return self._admission.running + self._requests.keyed.running

    def _on_pause(self, _length: float) -> None:
        """Discard leases, member states and return paths after a pause.

        They may have become outdated while the process did not run.
        """
        now = time.monotonic()
        self._metrics.incr('pauses')
        self._requests.claim_server.claims.drop_all()
        self._members.mark_records_outdated(now)
        self._directory.reset()
