"""Claims: slots held for a peer until it sends its request."""

__all__ = ('Claim', 'ClaimTable')

import secrets

from attrs import frozen

from dragonflyshift._internal.exceptions import StateError

MAX_CLAIMS = 1024
_ID_BITS = 63


@frozen
class Claim:
    """A slot held until ``expires_at`` (monotonic seconds).

    The number is random and never 0, so that no claim of an earlier life
    matches.
    """

    claim_id: int
    expires_at: float


class ClaimTable:
    """Claims that are granted and not yet redeemed.

    The caller takes the slot before it grants, and gives back as many slots
    as ``expire`` and ``drop_all`` return.
    """

    def __init__(self, lease_s: float, limit: int = MAX_CLAIMS) -> None:
        """Hold each claim for ``lease_s`` seconds."""
        self._lease_s = lease_s
        self._limit = limit
        # All leases are equal, so the order of grants is that of expiry.
        self._expiries: dict[int, float] = {}

    def __len__(self) -> int:
        """Return the number of slots held."""
        return len(self._expiries)

    def grant(self, now: float) -> Claim:
        """Hold a slot; raise StateError when too many claims are open."""
        if len(self._expiries) >= self._limit:
            raise StateError('too many claims are open')
        claim_id = secrets.randbits(_ID_BITS) + 1
        claim = Claim(claim_id, now + self._lease_s)
        self._expiries[claim_id] = claim.expires_at
        return claim

    def redeem(self, claim_id: int, now: float) -> bool:
        """Use a claim, once and within its lease; its slot stays taken.

        A late claim stays in the table until ``expire`` gives its slot back.
        """
        expires_at = self._expiries.get(claim_id)
        if expires_at is None or expires_at <= now:
            return False
        del self._expiries[claim_id]
        return True

    def expire(self, now: float) -> int:
        """Forget claims past their lease; return the slots to give back."""
        expired = []
        for claim_id, expires_at in self._expiries.items():
            if expires_at > now:
                break
            expired.append(claim_id)
        for claim_id in expired:
            del self._expiries[claim_id]
        return len(expired)

    def drop_all(self) -> int:
        """Forget all claims, as after a pause; return the slots."""
        dropped = len(self._expiries)
        self._expiries.clear()
        return dropped
