"""Revisions that stay in order when the store is restored, and removals.

A store that is restored from a copy gives out revisions again, and counts its
restores in an epoch. A revision of this package is the epoch in the high bits
and the store's own revision in the low ones, so that revisions compare as
integers in views, messages and checksums.

Example:
    >>> join_revision(1, 500) < join_revision(2, 300)
    True
    >>> split_revision(join_revision(2, 300))
    (2, 300)

A view keeps the revisions of removals for its peers (``RemovalLog``). What its
revision promises to them is limited by the version of the configuration that
peers have reported (``ReportedVersion``). A reader compares the view with what
it has read itself (``StoreListing``).
"""

__all__ = (
    'MAX_REVISION',
    'MAX_UNLISTED_REMOVALS',
    'RemovalLog',
    'ReportedVersion',
    'StoreListing',
    'epoch_of',
    'join_revision',
    'split_revision',
)

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from dragonflyshift._internal.carried.fleet.view import (
        FleetView,
        ViewUpdate,
    )

_REVISION_BITS = 40
# The highest revision that all peers can decode, of whatever epoch.
MAX_REVISION = 2**63 - 1
# Other writers may remove entries at any rate, so removals of endpoints that a
# view has never listed have a limit of their own.
MAX_REMOVALS = 4096
MAX_UNLISTED_REMOVALS = 1024
# A version that no peer has reported for this long counts as lost: a store that
# was restored from a copy may not have it any more.
REPORT_TTL_S = 10.0


def join_revision(epoch: int, revision: int) -> int:
    """Return a revision that is higher than all those of earlier epochs.

    In epoch zero it equals the store's own revision.
    """
    return epoch << _REVISION_BITS | revision


def split_revision(joined: int) -> tuple[int, int]:
    """Return the epoch of a revision and the store's own revision."""
    epoch = epoch_of(joined)
    return epoch, joined ^ epoch << _REVISION_BITS


def epoch_of(joined: int) -> int:
    """Return the epoch of a revision."""
    return joined >> _REVISION_BITS


@define(eq=False, repr=False)
class RemovalLog:
    """The revisions of removals, by the names of the endpoints.

    They are passed on to peers, and keep older records from reviving an
    endpoint. At a limit the oldest removal is forgotten; an older record of a
    peer may then list the endpoint again, until views are compared.

    Example:
        >>> log = RemovalLog()
        >>> log.record('lists-1', 9, was_listed=True)
        >>> log.revision_of('lists-1'), log.revision_of('lists-2')
        (9, 0)
        >>> log.since(8)
        (('lists-1', 9),)
    """

    _listed: dict[str, int] = field(factory=dict)
    _unlisted: dict[str, int] = field(factory=dict)

    def revision_of(self, name: str) -> int:
        """Return the revision of an endpoint's removal, zero if unknown."""
        return max(self._listed.get(name, 0), self._unlisted.get(name, 0))

    def record(self, name: str, revision: int, *, was_listed: bool) -> None:
        """Record a removal, unless a newer one is known."""
        revision = max(revision, self.revision_of(name))
        is_listed = was_listed or name in self._listed
        removals = self._listed if is_listed else self._unlisted
        limit = MAX_REMOVALS if is_listed else MAX_UNLISTED_REMOVALS
        self.discard(name)
        while len(removals) >= limit:
            removals.pop(next(iter(removals)))
        removals[name] = revision

    def discard(self, name: str) -> None:
        """Forget a removal, as the endpoint is listed again."""
        self._listed.pop(name, None)
        self._unlisted.pop(name, None)

    def since(self, base: int) -> tuple[tuple[str, int], ...]:
        """Return the removals after a revision."""
        rows = (*self._listed.items(), *self._unlisted.items())
        return tuple(row for row in rows if row[1] > base)


@define(eq=False, repr=False)
class ReportedVersion:
    """A version of the configuration, and when a peer last reported it.

    A version reaches a daemon in two steps: a notice reports it, and the route
    table is pulled afterwards. In between the daemon knows that it lacks the
    table, and must neither promise its revision to others nor count its view as
    fresh. Times are in monotonic seconds.

    Example:
        >>> reported = ReportedVersion()
        >>> reported.record(now=0, version=7)
        >>> reported.is_missing(now=1, held=5), reported.is_missing(1, held=7)
        (True, False)
    """

    _version: int = field(default=0)
    _reported_at: float = field(default=float('-inf'))

    def record(self, now: float, version: int) -> None:
        """Record that a peer has reported a version."""
        if version >= self._version:
            self._version = version
            self._reported_at = now

    def is_missing(self, now: float, held: int) -> bool:
        """Return whether a newer version than the held one was reported."""
        if self._version <= held:
            return False
        return now - self._reported_at < REPORT_TTL_S

    def clear(self) -> None:
        """Discard the report, as the store's own state is known.

        The store may have been restored from a copy without this version, or
        this build refuses it.
        """
        self._version = 0


@define(eq=False, repr=False)
class StoreListing:
    """What the store lists at the revision ``until``, by own reading.

    The view also holds what peers have sent. A peer may send an entry that it
    keeps although the store has removed it, since entries that lapsed in an
    outage may return, and may lose power before it drops the entry. An entry
    that the store doesn't list, and that isn't newer than what was read, has
    ended.

    All changes after ``since`` were read by this daemon. Those before came from
    peers, and the names are then incomplete; zero stands for the complete
    state.

    Example:
        >>> listing = StoreListing()
        >>> listing.apply(ViewUpdate(0, 7))
        >>> listing.is_complete, listing.until
        (True, 7)
    """

    since: int = field(default=0)
    until: int = field(default=0)
    _endpoints: set[str] = field(factory=set)
    _evacuated: set[str] = field(factory=set)

    @property
    def is_complete(self) -> bool:
        """Whether the complete state was read, and all changes since."""
        return bool(self.until) and not self.since

    def begin(self, revision: int) -> None:
        """Begin to read after a revision that peers have supplied."""
        self.since = revision
        self.until = revision
        self._endpoints.clear()
        self._evacuated.clear()

    def apply(self, update: 'ViewUpdate') -> None:
        """Apply an update that this daemon has read from the store."""
        if not update.base:
            self.begin(0)
        elif not self.until or update.base > self.until:
            self.begin(update.base)
        self.until = max(self.until, update.revision)
        for name, _revision in (*update.removed, *update.invalid):
            self._endpoints.discard(name)
        self._endpoints.update(record.name for record in update.records)
        for request in update.evacuations:
            self._evacuated.discard(request.data_center)
            if request.is_evacuated:
                self._evacuated.add(request.data_center)

    def find_ended_endpoints(self, view: 'FleetView') -> list[str]:
        """Return the endpoints of a view that the store doesn't list."""
        if not self.is_complete:
            return []
        return [
            name
            for name in view.records.keys() - self._endpoints
            if view.records[name].revision <= self.until
        ]

    def find_ended_evacuations(self, view: 'FleetView') -> list[str]:
        """Return the evacuations of a view that the store doesn't list."""
        if not self.is_complete:
            return []
        ended = []
        for name in view.evacuations.evacuated - self._evacuated:
            request = view.evacuations.find(name)
            if request is not None and request.revision <= self.until:
                ended.append(name)
        return ended
