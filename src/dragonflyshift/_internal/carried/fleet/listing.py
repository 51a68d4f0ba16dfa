"""What the store lists, as far as this daemon has read it itself.

The view also holds what peers have sent. A peer may send an entry that it keeps
although the store has removed it, since entries that lapsed in an outage may
return, and may lose power before it drops the entry. A daemon that has read the
complete state therefore compares: an entry that the store doesn't list, and
that isn't newer than what was read, has ended.
"""

__all__ = ('StoreListing',)

from attrs import define, field

from dragonflyshift._internal.carried.fleet.view import FleetView, ViewUpdate


@define(eq=False, repr=False)
class StoreListing:
    """The names that the store lists at the revision ``until``.

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

    def apply(self, update: ViewUpdate) -> None:
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

    def find_ended_endpoints(self, view: FleetView) -> list[str]:
        """Return the endpoints of a view that the store doesn't list."""
        if not self.is_complete:
            return []
        return [
            name
            for name in view.records.keys() - self._endpoints
            if view.records[name].revision <= self.until
        ]

    def find_ended_evacuations(self, view: FleetView) -> list[str]:
        """Return the evacuations of a view that the store doesn't list."""
        if not self.is_complete:
            return []
        ended = []
        for name in view.evacuations.evacuated - self._evacuated:
            request = view.evacuations.find(name)
            if request is not None and request.revision <= self.until:
                ended.append(name)
        return ended
