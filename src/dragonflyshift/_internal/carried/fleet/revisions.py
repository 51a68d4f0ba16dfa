"""Revisions of the store that stay in order when it is restored.

A store that is restored from a copy gives out revisions again, and counts its
restores in an epoch. A revision of this package is the epoch in the high bits
and the store's own revision in the low ones, so that revisions compare as
integers in views, messages and checksums.

Example:
    >>> join_revision(1, 500) < join_revision(2, 300)
    True
    >>> split_revision(join_revision(2, 300))
    (2, 300)
"""

__all__ = ('MAX_REVISION', 'epoch_of', 'join_revision', 'split_revision')

_REVISION_BITS = 40
# The highest revision that all peers can decode, of whatever epoch.
MAX_REVISION = 2**63 - 1


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
