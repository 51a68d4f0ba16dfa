"""Replication of the view among daemons by gossip.

A status carries the revision that a daemon holds and how long ago the store
confirmed it. Small changes fit into a notice; a daemon that is further behind
pulls from the peer that is ahead. Readers of the store send to all balancers,
a balancer to the sidecars that are assigned to it. A reader whose
calls the store refuses receives changes from other daemons.
"""

__all__ = ('MIN_STATUS_INTERVAL_S', 'Gossip', 'GossipCallbacks')

import logging
import time
from collections.abc import Callable, Iterable

from attrs import define, field

from dragonflyshift._internal.carried.fleet.evacuation_rows import (
    RemovalRow,
    encode_evacuations,
    find_claims,
    split_removals,
)
from dragonflyshift._internal.carried.fleet.peers import PeerTable
from dragonflyshift._internal.carried.fleet.puller import ViewPuller
from dragonflyshift._internal.carried.fleet.status_recipients import (
    StatusRecipients,
)
from dragonflyshift._internal.carried.fleet.view import (
    FleetView,
    view_digest,
)
from dragonflyshift._internal.carried.load import LoadReport
from dragonflyshift._internal.carried.messages import ChangeNotice, DaemonStatus
from dragonflyshift._internal.carried.packet import SocketAddress

logger = logging.getLogger(__name__)

# Interval between the statuses that a daemon sends. Two of them fit into
# READER_TIMEOUT_S, after which a reader counts as lost.
STATUS_PERIOD_S = 0.5
# A reader sends its status after a confirmation of the store, unless it sent
# one within this time: by the ages of their views balancers decide whether to
# read the store.
MIN_STATUS_INTERVAL_S = 0.25
# Maximum number of balancers whose addresses a status contains.
MAX_ADVERTISED_PEERS = 8
MAX_NOTICE_BYTES = 1100
MS_PER_S = 1000
# Upper limit of a reported age; older views are not distinguished.
MAX_AGE_S = 3600.0


@define(eq=False, repr=False)
class GossipCallbacks:
    """Callbacks of gossip.

    ``changed()`` is called after the view has changed. ``load()`` returns a
    sidecar's load, or None on a balancer. ``is_reading()`` returns whether
    this daemon reads the store.
    """

    send: Callable[[bytes, SocketAddress], None]
    changed: Callable[[], None]
    load: Callable[[], LoadReport | None]
    is_reading: Callable[[], bool]


@define(eq=False, repr=False)
class Gossip:
    """Exchanges statuses, notices and views with peers.

    ``confirmed_at`` is when the store last confirmed this view.
    """

    view: FleetView
    peer_table: PeerTable
    recipients: StatusRecipients
    callbacks: GossipCallbacks
    confirmed_at: float = field(default=float('-inf'))
    is_leaving: bool = field(default=False)
    # The revision and time of a confirmation that is newer than this view.
    _pending_confirmation: tuple[int, float] = field(default=(0, float('-inf')))
    _sent_at: float = field(default=float('-inf'))
    # Whether this daemon read the store at the last tick.
    _was_reading: bool = field(default=False)
    puller: ViewPuller = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the puller."""
        self.puller = ViewPuller(self.view, self._on_pulled)

    def age_s(self, now: float) -> float:
        """Return the time since the store confirmed this view."""
        return now - self.confirmed_at

    def record_confirmation(self, now: float) -> None:
        """Record that the store confirmed this view."""
        self.confirmed_at = max(self.confirmed_at, now)

    def tick(self, now: float, interval_s: float = STATUS_PERIOD_S) -> None:
        """Send statuses if the last ones are ``interval_s`` seconds old.

        They are sent earlier if this daemon has started to read the store, so
        that others don't start as well.
        """
        is_reading = self.callbacks.is_reading()
        has_started = is_reading and not self._was_reading
        self._was_reading = is_reading
        if not has_started and now - self._sent_at < interval_s:
            return
        self._sent_at = now
        self.peer_table.drop_expired(now)
        self._send_statuses(
            self.recipients.for_statuses(now, is_reading=is_reading), now
        )

    def publish(self, now: float, removed: tuple[RemovalRow, ...] = ()) -> None:
        """Send a change of the view to its recipients.

        ``removed`` are removals, and evacuations that have ended, that
        may be older than what the recipients hold.
        """
        is_reading = self.callbacks.is_reading()
        for address in self.recipients.for_changes(is_reading=is_reading):
            self._send_changes(now, address, removed)

    def on_pause(self) -> None:
        """Discard the confirmations from before a pause of this process."""
        self.confirmed_at = float('-inf')
        self._pending_confirmation = (0, float('-inf'))

    def on_status(
        self, now: float, status: DaemonStatus, address: SocketAddress
    ) -> None:
        """Process a peer's status; pull from it or send it what it lacks."""
        peer = self.peer_table.record_status(now, address, status)
        self.view.reported_version.record(now, status.version)
        self._record_peer_confirmation(now, status.revision, status.age_ms)
        if status.wants_reply:
            self._send_status(now, address, wants_reply=False)
        if _is_behind(self.view, status.revision, status.version):
            self.puller.pull(now, address)
        elif _is_ahead(self.view, status):
            # Earlier notices may be lost, so the peer's own revision counts.
            peer.sent_revision = status.revision
            self._send_changes(now, address)
        elif status.digest != view_digest(self.view) and status.revision:
            self.puller.pull_all(now, address)

    def on_notice(
        self, now: float, notice: ChangeNotice, address: SocketAddress
    ) -> None:
        """Merge a small change; pull if an earlier change is missing.

        A notice never contains the route table, so a notice of a newer version
        leaves the revision as it is until the table has been pulled.
        """
        changed = False
        self.view.reported_version.record(now, notice.version)
        for record in notice.records:
            changed = self.view.merge(record) or changed
        removed, evacuations = split_removals(notice.removed)
        for evacuation in evacuations:
            changed = self.view.evacuations.merge(evacuation) or changed
        for claim in find_claims(notice.removed):
            self.view.evacuations.add_claim(claim)
        for name, revision in removed:
            changed = self.view.remove(name, revision) or changed
        self.view.raise_revision(notice.base, notice.revision)
        self._record_peer_confirmation(now, notice.revision, notice.age_ms)
        if changed:
            self._on_view_changed(now, 'notice', address)
        if _is_behind(self.view, notice.revision, notice.version):
            self.puller.pull(now, address)

    def own_status(self, now: float, *, wants_reply: bool) -> DaemonStatus:
        """Return this daemon's status."""
        age_s = min(self.age_s(now), MAX_AGE_S)
        is_balancer = self.recipients.is_balancer
        is_reading = self.callbacks.is_reading()
        readers = self.peer_table.advertised_readers(now, is_reading=is_reading)
        return DaemonStatus(
            is_balancer=is_balancer,
            is_reader=is_reading,
            data_center=self.recipients.data_center,
            revision=self.view.revision,
            version=self.view.routes.version,
            digest=view_digest(self.view),
            age_ms=int(age_s * MS_PER_S),
            is_leaving=self.is_leaving,
            wants_reply=wants_reply,
            peers=self.peer_table.advertised_balancers(MAX_ADVERTISED_PEERS),
            load=self.callbacks.load(),
            readers=readers if is_balancer else (),
        )

    def request_statuses(
        self, now: float, addresses: Iterable[SocketAddress] | None = None
    ) -> None:
        """Request the status of daemons, by default of all known balancers."""
        recipients = (
            self.peer_table.balancer_addresses()
            if addresses is None
            else addresses
        )
        for address in recipients:
            if address != self.peer_table.own_address:
                self._send_status(now, address, wants_reply=True)

    def _send_statuses(
        self, targets: Iterable[SocketAddress], now: float
    ) -> None:
        for address in targets:
            peer = self.peer_table.peers.get(address)
            wants_reply = peer is None or now - peer.received_at > 2
            self._send_status(now, address, wants_reply=wants_reply)

    def _send_status(
        self,
        now: float,
        address: SocketAddress,
        *,
        wants_reply: bool,
    ) -> None:
        status = self.own_status(now, wants_reply=wants_reply)
        self.callbacks.send(status.encode(), address)

    def _send_changes(
        self,
        now: float,
        address: SocketAddress,
        removed: tuple[RemovalRow, ...] = (),
    ) -> None:
        """Send a peer the changes since the revision that it holds.

        That is the revision of its last status, or that of the last notice
        to it if newer. Without either, or if the changes don't fit into a
        notice, the peer receives a status.
        """
        peer = self.peer_table.peers.get(address)
        base = 0
        if peer is not None:
            base = max(peer.status.revision, peer.sent_revision)
        datagram = self._encode_notice(now, base, removed) if base else None
        if datagram is None:
            self._send_status(now, address, wants_reply=False)
            return
        self.callbacks.send(datagram, address)
        if peer is not None:
            peer.sent_revision = self.view.revision

    def _encode_notice(
        self,
        now: float,
        base: int,
        removed: tuple[RemovalRow, ...],
    ) -> bytes | None:
        update = self.view.since(base)
        evacuations = encode_evacuations(update.evacuations)
        age_s = min(self.age_s(now), MAX_AGE_S)
        notice = ChangeNotice(
            base=base,
            revision=update.revision,
            version=self.view.routes.version,
            age_ms=int(age_s * MS_PER_S),
            records=update.records,
            removed=update.removed + evacuations + removed,
        )
        try:
            datagram = notice.encode()
        except (ValueError, TypeError, OverflowError):
            # The peer pulls instead, and gets all records but the invalid one.
            return None
        return datagram if len(datagram) <= MAX_NOTICE_BYTES else None

    def _record_peer_confirmation(
        self, now: float, revision: int, age_ms: int
    ) -> None:
        """Record the age of a peer's view once this view is as new.

        A view that lacks a version is not fresh, whatever its revision.
        """
        confirmed_at = now - age_ms / MS_PER_S
        if revision == self.view.revision and not self.view.lacks_routes:
            self.record_confirmation(confirmed_at)
        elif revision >= self.view.revision:
            if confirmed_at > self._pending_confirmation[1]:
                self._pending_confirmation = (revision, confirmed_at)
        self._apply_pending_confirmation()

    def _apply_pending_confirmation(self) -> None:
        revision, confirmed_at = self._pending_confirmation
        if revision <= self.view.revision and not self.view.lacks_routes:
            self.record_confirmation(confirmed_at)

    def _on_pulled(self, changed: bool, address: SocketAddress) -> None:
        self._apply_pending_confirmation()
        if changed:
            self._on_view_changed(time.monotonic(), 'pull', address)

    def _on_view_changed(
        self, now: float, origin: str, address: SocketAddress
    ) -> None:
        logger.info(
            'view-changed',
            extra={
                'way': origin,
                'peer': address[0],
                'revision': self.view.revision,
                'version': self.view.routes.version,
                'age_ms': int(min(self.age_s(now), MAX_AGE_S) * MS_PER_S),
            },
        )
        self.callbacks.changed()
        self.publish(now)


def _is_behind(view: FleetView, revision: int, version: int) -> bool:
    return version > view.routes.version or revision > view.revision


def _is_ahead(view: FleetView, status: DaemonStatus) -> bool:
    if view.routes.version > status.version:
        return True
    return view.revision > status.revision
