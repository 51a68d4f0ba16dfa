"""A queue of peers whose claims were refused, for offers of free slots."""

from dragonflyshift._internal.models import Address

REFUSAL_LIFETIME_SECONDS = 10.0
MAX_PEERS = 256


class OfferQueue:
    """A queue of the peers whose claims were refused.

    A request that finds no free slot waits at its own sidecar, which can't
    detect when a slot becomes free at a peer. Therefore a sidecar records
    the peers whose claims it refused. When a slot becomes free and no local
    request waits for it, the sidecar sends an offer to the first of these
    peers. An offer doesn't reserve the slot: the peer claims it as usual if
    it still has a waiting request.

    Example:
        >>> queue = OfferQueue()
        >>> queue.add(Address('192.0.2.1', 443), now=0)
        >>> queue.pop(now=1)
        Address(host='192.0.2.1', port=443)
        >>> queue.pop(now=1) is None
        True
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._refused_at: dict[Address, float] = {}

    def add(self, peer: Address, now: float) -> None:
        """Record a refused claim; a queued peer keeps its position.

        A new peer is ignored while ``MAX_PEERS`` are queued.
        """
        if peer in self._refused_at or len(self._refused_at) < MAX_PEERS:
            self._refused_at[peer] = now

    def pop(self, now: float) -> Address | None:
        """Remove and return the first peer, or None if the queue is empty.

        Peers without a refused claim in the last
        ``REFUSAL_LIFETIME_SECONDS`` are removed and skipped.
        """
        while self._refused_at:
            peer = next(iter(self._refused_at))
            if now - self._refused_at.pop(peer) <= REFUSAL_LIFETIME_SECONDS:
                return peer
        return None
