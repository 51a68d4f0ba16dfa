"""Telling peers what is new, and learning it from them.

Statuses carry the revision that a daemon holds and how long ago the store
confirmed it. Small changes travel inside a notice; whoever is further behind
pulls from the peer that is ahead. Readers tell all balancers, a balancer
tells the sidecars that are assigned to it, and news also travels upwards: a
reader that the store turns away learns from whoever it doesn't.
"""

__all__ = ('Gossip', 'GossipPorts')

import logging
import time
from collections.abc import Callable, Iterable

from attrs import define, field

from dragonflyshift._internal.carried.fleet.audience import Audience
from dragonflyshift._internal.carried.fleet.peers import PeerBook
from dragonflyshift._internal.carried.fleet.puller import ViewPuller
from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.load import LoadReport
from dragonflyshift._internal.carried.messages import ChangeNotice, DaemonStatus
from dragonflyshift._internal.carried.packet import SocketAddress

logger = logging.getLogger(__name__)

# Two statuses fit into the silence after which a reader counts as lost.
STATUS_PERIOD_S = 0.5
NAMED_PEERS = 8
MAX_NOTICE_BYTES = 1100
MS_PER_S = 1000
# What an age is cut to; nothing distinguishes older views.
FOREVER_S = 3600.0


@define(eq=False, repr=False)
class GossipPorts:
    """How gossip sends, and what it asks of its daemon.

    ``changed()`` is called after the view changed; ``load()`` gives a
    sidecar's load, None on a balancer.
    """

    send: Callable[[bytes, SocketAddress], None]
    changed: Callable[[], None]
    load: Callable[[], LoadReport | None]
    is_reading: Callable[[], bool]


@define(eq=False, repr=False)
class Gossip:
    """Exchange statuses, notices and views with peers."""

    view: FleetView
    book: PeerBook
    audience: Audience
    ports: GossipPorts
    confirmed_at: float = field(default=float('-inf'))
    is_leaving: bool = field(default=False)
    # A confirmation of a revision that this daemon doesn't hold yet.
    _pending: tuple[int, float] = field(default=(0, float('-inf')))
    _told_at: float = field(default=float('-inf'))
    _puller: ViewPuller = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Prepare for pulls."""
        self._puller = ViewPuller(self.view, self._pulled)

    def age_s(self, now: float) -> float:
        """Return the time since the store confirmed this view."""
        return now - self.confirmed_at

    def confirm(self, now: float) -> None:
        """Take note that the store confirmed this view."""
        self.confirmed_at = max(self.confirmed_at, now)

    def tick(self, now: float) -> None:
        """Tell peers once a period."""
        if now - self._told_at < STATUS_PERIOD_S:
            return
        self._told_at = now
        self.book.forget_silent(now)
        is_reading = self.ports.is_reading()
        self._tell(self.audience.periodic(now, is_reading=is_reading), now)

    def publish(self, now: float, removed: tuple[str, ...] = ()) -> None:
        """Tell the peers in charge of this daemon that the view changed."""
        is_reading = self.ports.is_reading()
        for address in self.audience.of_news(is_reading=is_reading):
            self._bring_up_to_date(now, address, removed)

    def note_pause(self) -> None:
        """Trust no confirmation from before a pause of this process."""
        self.confirmed_at = float('-inf')
        self._pending = (0, float('-inf'))

    def on_status(
        self, now: float, status: DaemonStatus, address: SocketAddress
    ) -> None:
        """Learn from a peer's status, and answer what it lacks."""
        peer = self.book.heard(now, address, status)
        self._learn_age(now, status.revision, status.age_ms)
        if status.wants_reply:
            self._send_status(now, address, wants_reply=False)
        if _is_behind(self.view, status.revision, status.version):
            self._puller.pull(now, address)
        elif _is_ahead(self.view, status):
            # What was told may have been lost: the peer's own word counts.
            peer.told_revision = status.revision
            self._bring_up_to_date(now, address)
        elif status.digest != self.view.digest and status.revision:
            self._puller.pull_all(now, address)

    def on_notice(
        self, now: float, notice: ChangeNotice, address: SocketAddress
    ) -> None:
        """Merge a small change, or pull if something before it is missing."""
        changed = False
        for record in notice.records:
            changed = self.view.merge(record) or changed
        for name, revision in notice.removed:
            changed = self.view.remove(name, revision) or changed
        if notice.base <= self.view.revision < notice.revision:
            self.view.revision = notice.revision
        self._learn_age(now, notice.revision, notice.age_ms)
        if changed:
            self._view_changed(now, 'notice', address)
        if _is_behind(self.view, notice.revision, notice.version):
            self._puller.pull(now, address)

    def own_status(self, now: float, *, wants_reply: bool) -> DaemonStatus:
        """Return this daemon's status."""
        age_s = min(self.age_s(now), FOREVER_S)
        is_balancer = self.audience.is_balancer
        is_reading = self.ports.is_reading()
        readers = self.book.reader_names(now, is_reading=is_reading)
        return DaemonStatus(
            is_balancer=is_balancer,
            is_reader=is_reading,
            data_center=self.audience.data_center,
            revision=self.view.revision,
            version=self.view.routes.version,
            digest=self.view.digest,
            age_ms=int(age_s * MS_PER_S),
            is_leaving=self.is_leaving,
            wants_reply=wants_reply,
            peers=self.book.names(NAMED_PEERS),
            load=self.ports.load(),
            readers=readers if is_balancer else (),
        )

    def ask(
        self, now: float, addresses: Iterable[SocketAddress] | None = None
    ) -> None:
        """Ask daemons, or all balancers known, for their status."""
        asked = (
            self.book.balancer_addresses() if addresses is None else addresses
        )
        for address in asked:
            if address != self.book.own:
                self._send_status(now, address, wants_reply=True)

    def _tell(self, targets: Iterable[SocketAddress], now: float) -> None:
        for address in targets:
            peer = self.book.peers.get(address)
            wants_reply = peer is None or now - peer.heard_at > 2
            self._send_status(now, address, wants_reply=wants_reply)

    def _send_status(
        self,
        now: float,
        address: SocketAddress,
        *,
        wants_reply: bool,
    ) -> None:
        status = self.own_status(now, wants_reply=wants_reply)
        self.ports.send(status.encode(), address)

    def _bring_up_to_date(
        self,
        now: float,
        address: SocketAddress,
        removed: tuple[str, ...] = (),
    ) -> None:
        """Send a peer what changed since it was last heard or told."""
        peer = self.book.peers.get(address)
        base = 0
        if peer is not None:
            base = max(peer.status.revision, peer.told_revision)
        datagram = self._notice(now, base, removed) if base else None
        if datagram is None:
            self._send_status(now, address, wants_reply=False)
            return
        self.ports.send(datagram, address)
        if peer is not None:
            peer.told_revision = self.view.revision

    def _notice(
        self,
        now: float,
        base: int,
        removed: tuple[str, ...],
    ) -> bytes | None:
        update = self.view.since(base)
        extra = tuple((name, self.view.removed[name]) for name in removed)
        age_s = min(self.age_s(now), FOREVER_S)
        notice = ChangeNotice(
            base=base,
            revision=update.revision,
            version=self.view.routes.version,
            age_ms=int(age_s * MS_PER_S),
            records=update.records,
            removed=update.removed + extra,
        )
        datagram = notice.encode()
        return datagram if len(datagram) <= MAX_NOTICE_BYTES else None

    def _learn_age(self, now: float, revision: int, age_ms: int) -> None:
        at = now - age_ms / MS_PER_S
        if revision > self.view.revision:
            if at > self._pending[1]:
                self._pending = (revision, at)
        elif revision == self.view.revision:
            self.confirm(at)
        self._settle_pending()

    def _settle_pending(self) -> None:
        if self._pending[0] <= self.view.revision:
            self.confirm(self._pending[1])

    def _pulled(self, changed: bool, address: SocketAddress) -> None:
        self._settle_pending()
        if changed:
            self._view_changed(time.monotonic(), 'pull', address)

    def _view_changed(
        self, now: float, way: str, address: SocketAddress
    ) -> None:
        logger.info(
            'view-changed',
            extra={
                'way': way,
                'peer': address[0],
                'revision': self.view.revision,
                'version': self.view.routes.version,
                'age_ms': int(min(self.age_s(now), FOREVER_S) * MS_PER_S),
            },
        )
        self.ports.changed()
        self.publish(now)


def _is_behind(view: FleetView, revision: int, version: int) -> bool:
    return version > view.routes.version or revision > view.revision


def _is_ahead(view: FleetView, status: DaemonStatus) -> bool:
    if view.routes.version > status.version:
        return True
    return view.revision > status.revision
