"""A cache of the peers to which new flows were passed on."""

__all__ = ('PlacementCache',)

from collections import OrderedDict

from attrs import frozen

from dragonflyshift._internal.models import Address

MAX_PLACEMENTS = 16384
PLACEMENT_S = 10.0


@frozen
class _Placement:
    address: Address
    expires_at: float


class PlacementCache:
    """Maps a client-chosen connection id to the peer of its flow.

    The flow table stores the addresses of the peers to which it passed flows
    on. A retransmitted first packet must be passed on to the same peer as the
    original, even if the load has changed since. The oldest placements are
    evicted first.
    """

    def __init__(
        self,
        limit: int = MAX_PLACEMENTS,
        lifetime: float = PLACEMENT_S,
    ) -> None:
        """Keep at most ``limit`` placements for ``lifetime`` seconds each."""
        self._limit = limit
        self._lifetime = lifetime
        self._placements: OrderedDict[bytes, _Placement] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of placements in the cache."""
        return len(self._placements)

    def add(self, key: bytes, address: Address, now: float) -> None:
        """Add a placement, or replace and renew that of the same key."""
        self._placements.pop(key, None)
        self._placements[key] = _Placement(address, now + self._lifetime)
        self._evict(now)

    def get(self, key: bytes, now: float) -> Address | None:
        """Return the peer, or None if the placement expired or is missing."""
        placement = self._placements.get(key)
        if placement is None or placement.expires_at <= now:
            return None
        return placement.address

    def _evict(self, now: float) -> None:
        while self._placements:
            oldest = next(iter(self._placements.values()))
            if len(self) <= self._limit and oldest.expires_at > now:
                return
            self._placements.popitem(last=False)
