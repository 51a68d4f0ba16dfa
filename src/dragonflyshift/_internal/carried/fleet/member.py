"""A daemon's part in the fleet: its view, its peers and the store."""

__all__ = ('FleetMember', 'MemberCallbacks')

import logging
import random
import time
from collections.abc import Callable, Iterable

from attrs import define

from dragonflyshift._internal.carried.fleet.evacuation_rows import (
    encode_evacuations,
)
from dragonflyshift._internal.carried.fleet.gossip import (
    MIN_STATUS_INTERVAL_S,
    Gossip,
    GossipCallbacks,
)
from dragonflyshift._internal.carried.fleet.peers import PeerTable
from dragonflyshift._internal.carried.fleet.reader import (
    StoreReader,
    ViewSource,
)
from dragonflyshift._internal.carried.fleet.status_recipients import (
    StatusRecipients,
)
from dragonflyshift._internal.carried.fleet.view import (
    FleetView,
    view_digest,
)
from dragonflyshift._internal.carried.load import LoadReport
from dragonflyshift._internal.carried.node_settings import NodeSettings
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.policies.election import (
    ReaderElection,
    RefreshTimes,
)
from dragonflyshift._internal.carried.policies.evacuation import (
    EvacuationRecord,
)
from dragonflyshift._internal.carried.records import EndpointRecord

logger = logging.getLogger(__name__)

# Interval of the requests to hosts that may have a server of a dropped service.
UNNAMED_REQUEST_S = 2.0


@define(eq=False, repr=False)
class MemberCallbacks:
    """Callbacks of a fleet member.

    ``send(datagram, address)`` sends to another daemon. ``load()`` returns a
    sidecar's load, or None on a balancer. ``changed(now)`` is called after
    each change of the view.
    """

    send: Callable[[bytes, SocketAddress], None]
    load: Callable[[], LoadReport | None]
    changed: Callable[[float], None]


class FleetMember:
    """Keeps a view of configuration and endpoints in step with all peers."""

    def __init__(
        self,
        settings: NodeSettings,
        callbacks: MemberCallbacks,
        source: ViewSource | None,
        rng: random.Random,
        *,
        is_balancer: bool,
    ) -> None:
        """Start with an empty view."""
        self.view = FleetView()
        self.peer_table = PeerTable(settings.peers, settings.seeds, rng)
        self._callbacks = callbacks
        self._sidecar_port = settings.peers[1]
        self.view.is_answering = self._is_answering
        self._version = 0
        self._unnamed_requested_at = float('-inf')
        self._data_centers = frozenset(settings.regions)
        self._evacuated: frozenset[str] = frozenset()
        self._sidecars: dict[SocketAddress, str] = {}
        self._listed: tuple[EndpointRecord, ...] = ()
        recipients = StatusRecipients(
            is_balancer,
            settings.data_center,
            self.peer_table,
            self.sidecar_data_centers,
        )
        self.gossip = Gossip(
            self.view,
            self.peer_table,
            recipients,
            GossipCallbacks(
                callbacks.send,
                self._on_view_changed,
                callbacks.load,
                self._is_reading,
            ),
        )
        times = RefreshTimes(settings.change_bound_s)
        self._election = ReaderElection(settings.peers, is_balancer, rng, times)
        self.reader: StoreReader | None = None
        if source is not None:
            self.reader = StoreReader(
                self.view,
                source,
                rng,
                self._should_read,
                self._on_store_update,
                # Sidecars receive the evacuations from the balancers.
                settles_claims=is_balancer,
                on_evacuations=self._on_evacuations_read,
                watch_s=times.watch_s,
            )

    def sidecar_address(self, record: EndpointRecord) -> SocketAddress:
        """Return the address of the sidecar beside a backend server."""
        return (record.host, self._sidecar_port)

    def sidecar_data_centers(self) -> dict[SocketAddress, str]:
        """Return the data centres of all sidecars in the view, by address."""
        listed = self.view.listed_servers()
        if self._listed is not listed:
            self._listed = listed
            self._sidecars = {
                self.sidecar_address(record): record.data_center
                for record in listed
            }
        return self._sidecars

    def tick(self, now: float) -> None:
        """Send statuses, and drop the endpoints that did not return."""
        self.gossip.tick(now)
        self._request_unnamed(now)
        names = self._confirm_removals(now)
        ended: tuple[EvacuationRecord, ...] = ()
        if self.reader is not None:
            ended = self.reader.confirm_evacuations(now)
        if names or ended:
            self._on_view_changed()
            removed = tuple(
                (name, self.view.removals.revision_of(name)) for name in names
            )
            self.gossip.publish(now, removed + encode_evacuations(ended))

    def _is_answering(self, host: str) -> bool:
        address = (host, self._sidecar_port)
        return self.peer_table.is_sidecar(time.monotonic(), address)

    def _request_unnamed(self, now: float) -> None:
        """Request the statuses of sidecars whose service may be dropped.

        Only their answers tell them from entries of other writers. A view that
        is older than any flow needs no answer.
        """
        if now - self._unnamed_requested_at < UNNAMED_REQUEST_S:
            return
        unnamed = self.view.unnamed_by_host()
        if unnamed and not self.view.route_history.is_complete(now):
            self._unnamed_requested_at = now
            addresses = map(self.sidecar_address, unnamed.values())
            self.gossip.request_statuses(now, addresses)

    def _confirm_removals(self, now: float) -> tuple[str, ...]:
        """Drop the endpoints that did not return, and return their names."""
        puller = self.gossip.puller
        confirm_at = puller.confirm_removals_at
        if confirm_at is not None and now < confirm_at:
            return ()
        puller.confirm_removals_at = None
        if self.reader is not None:
            return self.reader.confirm_removals(now)
        return () if confirm_at is None else self.view.confirm_removals()

    def has_same_endpoints(self, addresses: Iterable[SocketAddress]) -> bool:
        """Return whether daemons have reported the endpoints of this view."""
        return self.peer_table.have_reported(addresses, view_digest(self.view))

    def request_reader_statuses(self) -> None:
        """Request the statuses of the readers of the store."""
        now = time.monotonic()
        self.gossip.request_statuses(now, self.peer_table.readers(now))

    def on_pause(self, now: float, duration_s: float) -> None:
        """Discard confirmations from before a pause of this process."""
        logger.warning('paused', extra={'seconds': round(duration_s, 3)})
        self.gossip.on_pause()
        if self.reader is not None:
            self.reader.on_pause(now)
        self.gossip.request_statuses(now)

    def set_seeds(self, seeds: tuple[SocketAddress, ...]) -> None:
        """Replace the seeds and request their statuses."""
        logger.info('reseeded', extra={'seeds': [host for host, _ in seeds]})
        self.peer_table.seeds = seeds
        self.gossip.request_statuses(time.monotonic())

    def _is_reading(self) -> bool:
        return self.reader is not None and self.reader.is_reading

    def _should_read(self) -> bool:
        now = time.monotonic()
        readers = self.peer_table.readers(now)
        if not self.gossip.recipients.is_balancer:
            # Sidecars seldom receive statuses from readers, only from
            # balancers, which report the readers.
            readers = self.peer_table.reported_readers(now)
        return self._election.should_read(
            now,
            readers,
            self._supplied_age_s(now),
            is_reading=self._is_reading(),
        )

    def _supplied_age_s(self, now: float) -> float:
        """Return the age of the view, infinite if the store must be read.

        A balancer reads it once after a start, since a peer of the build before
        may report a newer revision than its view holds.
        """
        is_balancer = self.gossip.recipients.is_balancer
        if is_balancer and self.reader is not None and not self.reader.has_read:
            return float('inf')
        return self.gossip.age_s(now)

    def _on_store_update(self, changed: bool) -> None:
        now = time.monotonic()
        self.gossip.record_confirmation(now)
        if changed:
            logger.info(
                'view-changed',
                extra={
                    'way': 'store',
                    'revision': self.view.revision,
                    'version': self.view.routes.version,
                },
            )
            self._on_view_changed()
            self.gossip.publish(now)
        self.gossip.tick(now, MIN_STATUS_INTERVAL_S)

    def _on_evacuations_read(self) -> None:
        self._on_view_changed()
        # They may be older than the views of the recipients.
        rows = encode_evacuations(self.view.evacuations)
        self.gossip.publish(time.monotonic(), rows)

    def _on_view_changed(self) -> None:
        version = self.view.routes.version
        if version != self._version:
            logger.info(
                'configuration-in-force',
                extra={'version': version, 'before': self._version},
            )
            self._version = version
        self._log_evacuations()
        self._callbacks.changed(time.monotonic())

    def _log_evacuations(self) -> None:
        evacuated = self.view.evacuations.evacuated
        for data_center in evacuated ^ self._evacuated:
            event = 'data-center-in-service'
            if data_center in evacuated:
                event = 'data-center-evacuated'
            record = self.view.evacuations.find(data_center)
            logger.warning(
                event,
                extra={
                    'evacuated': data_center,
                    'at': None if record is None else record.revision,
                    'is_known': data_center in self._data_centers,
                },
            )
        self._evacuated = evacuated
