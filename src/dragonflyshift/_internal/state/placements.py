"""Memory of where new flows were passed on."""

__all__ = ('PlacementMemory',)

from collections import OrderedDict

from attrs import frozen

from dragonflyshift._internal.models import Address

MAX_PLACEMENTS = 16384
PLACEMENT_S = 10.0


@frozen
class _Placement:
    address: Address
    expires_at: float


class PlacementMemory:
    """Which peer a client-chosen connection id was passed on to.

    A retransmitted first packet follows the first choice although loads have
    changed. The oldest placements are forgotten first.
    """

    def __init__(
        self,
        limit: int = MAX_PLACEMENTS,
        lifetime: float = PLACEMENT_S,
    ) -> None:
        """Keep at most ``limit`` placements, for ``lifetime`` seconds."""
        self._limit = limit
        self._lifetime = lifetime
        self._placements: OrderedDict[bytes, _Placement] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of placements held."""
        return len(self._placements)

    def remember(self, key: bytes, address: Address, now: float) -> None:
        """Note a choice; a later one for the same key replaces it."""
        self._placements.pop(key, None)
        self._placements[key] = _Placement(address, now + self._lifetime)
        self._forget_old(now)

    def find(self, key: bytes, now: float) -> Address | None:
        """Return the choice if it is still remembered."""
        placement = self._placements.get(key)
        if placement is None or placement.expires_at <= now:
            return None
        return placement.address

    def _forget_old(self, now: float) -> None:
        while self._placements:
            oldest = next(iter(self._placements.values()))
            if len(self) <= self._limit and oldest.expires_at > now:
                return
            self._placements.popitem(last=False)
