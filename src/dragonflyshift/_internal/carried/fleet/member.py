"""A daemon's membership of the fleet: its view, its peers, the store."""

__all__ = ('FleetMember', 'MemberPorts')

import logging
import random
import time
from collections.abc import Callable

from attrs import define

from dragonflyshift._internal.carried.fleet.audience import Audience
from dragonflyshift._internal.carried.fleet.gossip import Gossip, GossipPorts
from dragonflyshift._internal.carried.fleet.peers import PeerBook
from dragonflyshift._internal.carried.fleet.reader import StoreReader
from dragonflyshift._internal.carried.fleet.source import ViewSource
from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.load import LoadReport
from dragonflyshift._internal.carried.node_settings import NodeSettings
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.policies.election import ReaderElection
from dragonflyshift._internal.carried.records import EndpointRecord

logger = logging.getLogger(__name__)


@define(eq=False, repr=False)
class MemberPorts:
    """How a member sends, and whom it tells of changes.

    ``changed(now)`` is called after each change of the view.
    """

    send: Callable[[bytes, SocketAddress], None]
    load: Callable[[], LoadReport | None]
    changed: Callable[[float], None]


class FleetMember:
    """Keep a view of configuration and endpoints, with all others."""

    def __init__(
        self,
        settings: NodeSettings,
        ports: MemberPorts,
        source: ViewSource | None,
        rng: random.Random,
        *,
        is_balancer: bool,
    ) -> None:
        """Start with an empty view."""
        self.view = FleetView()
        self.book = PeerBook(settings.peers, settings.seeds, rng)
        self._ports = ports
        self._sidecar_port = settings.peers[1]
        self._version = 0
        self._sidecars: dict[SocketAddress, str] = {}
        self._sidecars_of_digest = 0
        audience = Audience(
            is_balancer,
            settings.data_center,
            self.book,
            self.sidecar_data_centers,
        )
        self.gossip = Gossip(
            self.view,
            self.book,
            audience,
            GossipPorts(
                ports.send,
                self._view_changed,
                ports.load,
                self._is_reading,
            ),
        )
        self._election = ReaderElection(settings.peers, is_balancer, rng)
        self.reader: StoreReader | None = None
        if source is not None:
            self.reader = StoreReader(
                self.view,
                source,
                rng,
                self._should_read,
                self._store_answered,
            )

    def sidecar_of(self, record: EndpointRecord) -> SocketAddress:
        """Return the address of the sidecar beside a backend server."""
        return (record.host, self._sidecar_port)

    def sidecar_data_centers(self) -> dict[SocketAddress, str]:
        """Return the data centres of all sidecars in the view."""
        if self._sidecars_of_digest != self.view.digest:
            self._sidecars_of_digest = self.view.digest
            self._sidecars = {
                self.sidecar_of(record): record.data_center
                for record in self.view.records.values()
            }
        return self._sidecars

    def tick(self, now: float) -> None:
        """Tell peers, and drop the endpoints that did not return."""
        self.gossip.tick(now)
        if self.reader is None:
            return
        names = self.reader.settle_doubts(now)
        if names:
            self._view_changed()
            self.gossip.publish(now, names)

    def ask_readers(self) -> None:
        """Have the readers of the store tell what they hold."""
        now = time.monotonic()
        self.gossip.ask(now, self.book.readers(now))

    def paused(self, now: float, length: float) -> None:
        """Trust nothing from before a pause of this process."""
        logger.warning('paused', extra={'seconds': round(length, 3)})
        self.gossip.note_pause()
        if self.reader is not None:
            self.reader.note_pause(now)
        self.gossip.ask(now)

    def reseed(self, seeds: tuple[SocketAddress, ...]) -> None:
        """Look for peers at other addresses."""
        logger.info('reseeded', extra={'seeds': [host for host, _ in seeds]})
        self.book.seeds = seeds
        self.gossip.ask(time.monotonic())

    def _is_reading(self) -> bool:
        return self.reader is not None and self.reader.is_reading

    def _should_read(self) -> bool:
        now = time.monotonic()
        readers = self.book.readers(now)
        if not self.gossip.audience.is_balancer:
            # Sidecars seldom hear readers themselves, only whom these tell.
            readers = self.book.reported_readers(now)
        return self._election.should_read(
            now,
            readers,
            self.gossip.age_s(now),
            is_reading=self._is_reading(),
        )

    def _store_answered(self, changed: bool) -> None:
        now = time.monotonic()
        self.gossip.confirm(now)
        if changed:
            logger.info(
                'view-changed',
                extra={
                    'way': 'store',
                    'revision': self.view.revision,
                    'version': self.view.routes.version,
                },
            )
            self._view_changed()
            self.gossip.publish(now)

    def _view_changed(self) -> None:
        version = self.view.routes.version
        if version != self._version:
            logger.info(
                'configuration-in-force',
                extra={'version': version, 'before': self._version},
            )
            self._version = version
        self._ports.changed(time.monotonic())
