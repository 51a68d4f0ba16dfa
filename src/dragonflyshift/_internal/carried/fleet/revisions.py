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

A view keeps the revisions of removals for its peers (``RemovalLog``).
"""

__all__ = (
    'MAX_REVISION',
    'MAX_UNLISTED_REMOVALS',
    'RemovalLog',
    'epoch_of',
    'join_revision',
    'split_revision',
)

from attrs import define, field

_REVISION_BITS = 40
# The highest revision that all peers can decode, of whatever epoch.
MAX_REVISION = 2**63 - 1
# Other writers may remove entries at any rate, so removals of endpoints that a
# view has never listed have a limit of their own.
MAX_REMOVALS = 4096
MAX_UNLISTED_REMOVALS = 1024


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
