"""Claims: slots that are reserved for a peer until it sends its request."""

__all__ = ('Claim', 'ClaimTable')

import secrets

from attrs import frozen

from dragonflyshift._internal.exceptions import StateError

MAX_CLAIMS = 1024
_ID_BITS = 63


@frozen
class Claim:
    """A slot that is reserved until ``expires_at`` (monotonic seconds).

    ``claim_id`` is random, so that it doesn't match a claim that was granted
    before the process restarted. It is never 0, which means "no claim".
    """

    claim_id: int
    expires_at: float


class ClaimTable:
    """Claims that are granted and not yet redeemed.

    The caller takes a slot before it calls ``grant``, and releases as many
    slots as ``expire`` and ``drop_all`` return.
    """

    def __init__(self, lease_s: float, limit: int = MAX_CLAIMS) -> None:
        """Create a table of ``limit`` claims with a lease of ``lease_s``."""
        self._lease_s = lease_s
        self._limit = limit
        # All leases have the same length, so claims expire in insertion order.
        self._expiries: dict[int, float] = {}

    def __len__(self) -> int:
        """Return the number of reserved slots."""
        return len(self._expiries)

    def grant(self, now: float) -> Claim:
        """Add a claim; raise StateError if the table is full."""
        if len(self._expiries) >= self._limit:
            raise StateError(f'all {self._limit} claims are in use')
        claim_id = secrets.randbits(_ID_BITS) + 1
        claim = Claim(claim_id, now + self._lease_s)
        self._expiries[claim_id] = claim.expires_at
        return claim

    def redeem(self, claim_id: int, now: float) -> bool:
        """Remove a claim and return True if it is valid; its slot stays taken.

        A claim is valid once and within its lease. An expired claim stays in
        the table until ``expire`` counts its slot as released.
        """
        expires_at = self._expiries.get(claim_id)
        if expires_at is None or expires_at <= now:
            return False
        del self._expiries[claim_id]
        return True

    def expire(self, now: float) -> int:
        """Remove expired claims; return the number of slots to release."""
        expired = []
        for claim_id, expires_at in self._expiries.items():
            if expires_at > now:
                break
            expired.append(claim_id)
        for claim_id in expired:
            del self._expiries[claim_id]
        return len(expired)

    def drop_all(self) -> int:
        """Remove all claims; return the number of slots to release.

        This is called after a pause of the process, during which leases may
        have expired.
        """
        dropped = len(self._expiries)
        self._expiries.clear()
        return dropped
