"""A daemon's view of configuration and endpoints.

Every change carries the revision at which the store published it. Changes
may therefore arrive in any order and from any daemon: an older record never
replaces a newer one. Revisions of a restored store are higher than all before
(``revisions``), so what the store lists after a restore replaces what it listed
before it.
"""

__all__ = (
    'FleetView',
    'ViewUpdate',
    'has_records_before_epoch',
    'view_digest',
)

import time
import zlib
from collections.abc import Callable, Iterable, Mapping

from attrs import Factory, define, evolve, field, frozen

from dragonflyshift._internal.carried.fleet.revisions import (
    RemovalLog,
    ReportedVersion,
    epoch_of,
)
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.policies.evacuation import (
    EvacuationRecord,
    EvacuationTable,
)
from dragonflyshift._internal.carried.policies.owner_search import (
    RouteHistory,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.routes import RouteTable

# Twice the longest life of a flow: another balancer may have received a change
# of routes later by as much, and placed flows by the former ones until then.
ROUTE_HISTORY_S = 120.0


@frozen(eq=False, repr=False)
class ViewUpdate:
    """Changes of a view.

    The update holds all changes after ``base`` up to ``revision``, in
    ``removed`` the names of removed endpoints with the revisions of their
    removal, in ``invalid`` those whose entries are no valid endpoints any more,
    or never were. With ``base`` zero it is the complete state: endpoints that
    it doesn't list are removed. ``routes`` is None if they didn't change.
    ``lists_evacuations`` is set on a complete state of the store, in which a
    missing evacuation has ended; a peer may not have it yet. ``claims`` are
    evacuations that a peer reported and that the store has to confirm.
    """

    base: int
    revision: int
    records: tuple[EndpointRecord, ...] = ()
    removed: tuple[tuple[str, int], ...] = ()
    routes: RouteTable | None = None
    evacuations: tuple[EvacuationRecord, ...] = ()
    lists_evacuations: bool = False
    invalid: tuple[tuple[str, int], ...] = ()
    claims: tuple[EvacuationRecord, ...] = ()


def _is_unknown(_host: str) -> bool:
    """Return that no sidecar is known to answer at a host."""
    return False


@define(eq=False, repr=False)
class FleetView:
    """Routes and endpoints, complete up to ``revision``.

    ``records`` holds the endpoints by name, ``removals`` the revisions of
    removals. Removals around an outage of the store are tentative: these
    endpoints stay usable until ``confirm_removals`` is called.
    ``evacuations`` holds which data centres take no new flows.
    ``revision`` is a promise to peers and readers: they skip what lies before
    it. It is raised only by ``raise_revision``, once the view holds every part.
    ``clock()`` returns monotonic seconds, ``is_answering(host)`` whether a
    sidecar at a host has reported itself lately. ``listed_since`` is when the
    first listing arrived.
    """

    revision: int = field(default=0)
    routes: RouteTable = field(factory=RouteTable)
    records: dict[str, EndpointRecord] = field(factory=dict)
    removals: RemovalLog = field(factory=RemovalLog)
    tentative_removals: dict[str, int] = field(factory=dict)
    evacuations: EvacuationTable = field(factory=EvacuationTable)
    clock: Callable[[], float] = field(default=time.monotonic)
    is_answering: Callable[[str], bool] = field(default=_is_unknown)
    listed_since: float = field(default=float('inf'))
    route_history: RouteHistory = field(
        default=Factory(
            lambda view: RouteHistory(ROUTE_HISTORY_S, since=view.clock()),
            takes_self=True,
        ),
    )
    reported_version: ReportedVersion = field(factory=ReportedVersion)
    _by_service: dict[str, tuple[EndpointRecord, ...]] = field(factory=dict)
    # The endpoints that aren't evacuated, with the evacuations at that time.
    _placeable_by_service: dict[
        str, tuple[frozenset[str], tuple[EndpointRecord, ...]]
    ] = field(factory=dict)
    _listed: tuple[EndpointRecord, ...] | None = field(default=None)
    _newest_by_host: dict[str, EndpointRecord] | None = field(default=None)
    _unnamed_by_host: dict[str, EndpointRecord] | None = field(default=None)
    _checksum: int | None = field(default=None)

    @property
    def checksum(self) -> int:
        """Return a checksum of the endpoints' names and revisions."""
        if self._checksum is None:
            checksum = 0
            for record in self.records.values():
                text = f'{record.name}:{record.revision}'
                checksum ^= zlib.crc32(text.encode())
            self._checksum = checksum
        return self._checksum

    @property
    def is_usable(self) -> bool:
        """Whether a configuration has been received."""
        return self.routes.version > 0

    @property
    def lacks_routes(self) -> bool:
        """Whether a peer has reported a version that this view doesn't hold."""
        return self.reported_version.is_missing(
            self.clock(), self.routes.version
        )

    def raise_revision(self, base: int, revision: int) -> None:
        """Raise the revision after the changes since ``base`` were merged.

        It stays as it is if earlier changes are missing, or the route table of
        a version that a peer has reported.
        """
        if self.lacks_routes or not base <= self.revision < revision:
            return
        self.revision = revision
        self.listed_since = min(self.listed_since, self.clock())

    def endpoints(self, service: str) -> tuple[EndpointRecord, ...]:
        """Return the endpoints of a service, including leaving ones."""
        cached = self._by_service.get(service)
        if cached is None:
            cached = tuple(
                record
                for record in self.records.values()
                if record.service == service
            )
            self._by_service[service] = cached
        return cached

    def placeable_endpoints(self, service: str) -> tuple[EndpointRecord, ...]:
        """Return the endpoints of a service that aren't in an evacuation.

        Endpoints that are leaving are included.
        """
        endpoints = self.endpoints(service)
        if not self.evacuations.evacuated:
            return endpoints
        evacuated = self.evacuations.evacuated
        cached = self._placeable_by_service.get(service)
        if cached is None or cached[0] is not evacuated:
            placeable = tuple(
                record
                for record in endpoints
                if record.data_center not in evacuated
            )
            cached = (evacuated, placeable)
            self._placeable_by_service[service] = cached
        return cached[1]

    def listed_servers(self) -> tuple[EndpointRecord, ...]:
        """Return the endpoints of services that the configuration names.

        Other writers may list entries of further services, which stand for no
        endpoint. A service that was named until lately is included, as its
        servers may hold open flows. A daemon that started since doesn't know
        that it was named.
        """
        if self._listed is None:
            named = self.routes.services
            if named:
                named |= self.route_history.dropped_services(self.clock())
            self._listed = tuple(
                record
                for record in self.records.values()
                if not named or record.service in named
            )
        return self._listed

    def newest_by_host(self) -> Mapping[str, EndpointRecord]:
        """Return the newest endpoint of each host."""
        if self._newest_by_host is None:
            records = sorted(self.listed_servers(), key=_start_order)
            self._newest_by_host = {record.host: record for record in records}
        return self._newest_by_host

    def unnamed_by_host(self) -> Mapping[str, EndpointRecord]:
        """Return the newest entry of each host without a listed server.

        It stands for another writer's entry, or for a server whose service the
        configuration has dropped. The service is empty if several are entered.
        """
        if self._unnamed_by_host is None:
            listed = self.newest_by_host()
            unnamed: dict[str, EndpointRecord] = {}
            for record in sorted(self.records.values(), key=_start_order):
                former = unnamed.get(record.host, record)
                if former.service != record.service:
                    record = evolve(record, service='')
                if record.host not in listed:
                    unnamed[record.host] = record
            self._unnamed_by_host = unnamed
        return self._unnamed_by_host

    def find_by_address(
        self, address: SocketAddress, service: str
    ) -> EndpointRecord | None:
        """Return the newest endpoint of a service at a server's address.

        Returns None if there is none. Entries of other services at the address
        are those of earlier servers, or of other writers.
        """
        return max(
            (
                record
                for record in self.records.values()
                if record.address == address and record.service == service
            ),
            key=_start_order,
            default=None,
        )

    def apply(self, update: ViewUpdate, *, is_tentative: bool = False) -> bool:
        """Merge an update; return whether anything changed.

        With ``is_tentative`` removals are kept for later confirmation. The
        revision is raised if the view then holds every part.
        """
        changed = self._merge_routes(update.routes)
        has_evacuations = self.apply_evacuations(
            update, is_tentative=is_tentative
        )
        changed = changed or has_evacuations
        for record in update.records:
            changed = self.merge(record) or changed
        for name, revision in _removals(self.records, update):
            changed = (
                self.remove(name, revision, is_tentative=is_tentative)
                or changed
            )
        self.raise_revision(update.base, update.revision)
        return changed

    def apply_evacuations(
        self, update: ViewUpdate, *, is_tentative: bool = False
    ) -> bool:
        """Merge only the evacuations of an update; return if any changed."""
        changed = False
        for evacuation in update.evacuations:
            changed = self.evacuations.merge(evacuation) or changed
        for claim in update.claims:
            self.evacuations.add_claim(claim)
        if not update.lists_evacuations:
            return changed
        has_ended = self.evacuations.merge_listing(
            update.evacuations,
            update.revision,
            is_tentative=is_tentative,
        )
        return changed or has_ended

    def confirm_removals(self) -> tuple[str, ...]:
        """Drop the tentatively removed endpoints and return their names."""
        names = tuple(self.tentative_removals)
        for name, revision in tuple(self.tentative_removals.items()):
            self.remove(name, revision)
        self.tentative_removals.clear()
        return names

    def since(self, base: int) -> ViewUpdate:
        """Return the changes after a revision, the complete state for zero."""
        removed = self.removals.since(base) if base else ()
        return ViewUpdate(
            base=base,
            revision=self.revision,
            records=tuple(
                record
                for record in self.records.values()
                if record.revision > base
            ),
            removed=removed,
            evacuations=self.evacuations.since(base),
        )

    def _invalidate(self) -> None:
        self._by_service.clear()
        self._placeable_by_service.clear()
        self._listed = None
        self._newest_by_host = None
        self._unnamed_by_host = None
        self._checksum = None

    def _merge_routes(self, routes: RouteTable | None) -> bool:
        if routes is None or routes.version < self.routes.version:
            return False
        if routes.version == self.routes.version:
            # A build without these parts may have sent this version first.
            has_warmups = routes.warmups and not self.routes.warmups
            has_services = routes.services and not self.routes.services
            if not has_warmups and not has_services:
                return False
        self.route_history.record_change(self.clock(), self.routes, routes)
        self.routes = routes
        self._invalidate()
        return True

    def merge(self, record: EndpointRecord) -> bool:
        """Merge an endpoint's record; return whether it was newer.

        A record is ignored if a newer record or removal is known, or if it has
        no start time: the build before makes such records of foreign entries.
        """
        if not record.started_ms:
            return False
        current = self.records.get(record.name)
        if current is not None and current.revision >= record.revision:
            return False
        if self.removals.revision_of(record.name) >= record.revision:
            return False
        if current is not None and _has_left(current, record):
            record = evolve(record, is_leaving=True)
        self.records[record.name] = record
        self.removals.discard(record.name)
        self.tentative_removals.pop(record.name, None)
        self._invalidate()
        return True

    def remove(
        self, name: str, revision: int, *, is_tentative: bool = False
    ) -> bool:
        """Remove an endpoint unless a newer record is known.

        Returns whether it was dropped; a tentative removal is only recorded.
        """
        current = self.records.get(name)
        if current is None:
            self.removals.record(name, revision, was_listed=False)
            return False
        if current.revision > revision:
            return False
        if is_tentative:
            self.tentative_removals[name] = revision
            return False
        self.records.pop(name)
        self.tentative_removals.pop(name, None)
        self.removals.record(name, revision, was_listed=True)
        self._invalidate()
        return True


def has_records_before_epoch(view: FleetView, epoch: int) -> bool:
    """Return whether endpoints were last listed in an earlier epoch.

    Those that are tentatively removed are not counted.
    """
    return any(
        epoch_of(record.revision) < epoch
        for name, record in view.records.items()
        if name not in view.tentative_removals
    )


def view_digest(view: FleetView) -> int:
    """Return the checksum by which peers compare views of one revision.

    Without an evacuation it is that of the endpoints, which the build before
    sends.
    """
    digest = view.checksum
    for data_center in view.evacuations.evacuated:
        digest ^= zlib.crc32(f'evacuated:{data_center}'.encode())
    return digest


def _removals(
    records: Mapping[str, EndpointRecord], update: ViewUpdate
) -> Iterable[tuple[str, int]]:
    """Return the removals of an update of these records.

    An entry that is no valid endpoint concerns only a view that lists it.
    """
    if update.base:
        invalid = [row for row in update.invalid if row[0] in records]
        return (*update.removed, *invalid)
    listed = {record.name for record in update.records}
    return [
        (name, update.revision)
        for name, record in records.items()
        if name not in listed and record.revision <= update.revision
    ]


def _has_left(current: EndpointRecord, newer: EndpointRecord) -> bool:
    """Return whether a server that is leaving is listed by a restored store.

    The copy from which the store was restored may be older than its leaving.
    """
    is_restored = epoch_of(current.revision) < epoch_of(newer.revision)
    is_same_start = current.started_ms == newer.started_ms
    return current.is_leaving and is_restored and is_same_start


def _start_order(record: EndpointRecord) -> tuple[int, int]:
    return (record.started_ms, record.revision)
