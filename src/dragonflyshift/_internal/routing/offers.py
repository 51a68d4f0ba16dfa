"""Peers that asked for a slot in vain, to be told when one is free."""

from dragonflyshift._internal.models import Address

ASK_SECONDS = 10.0
MAX_ASKERS = 256


class OfferBook:
    """Remember the sidecars whose claims were refused.

    A request that found no free slot waits at one endpoint, and can't know
    when a slot comes free at another. So a sidecar notes who asked it in
    vain. When a slot comes free and nobody waits for it there, it offers the
    slot to the one that asked first. An offer promises nothing: the asker
    claims the slot as usual, with a request that still waits.

    Example:
        >>> book = OfferBook()
        >>> book.note(Address('192.0.2.1', 443), now=0)
        >>> book.take(now=1)
        Address(host='192.0.2.1', port=443)
        >>> book.take(now=1) is None
        True
    """

    def __init__(self) -> None:
        """Start with no asker."""
        self._asked_at: dict[Address, float] = {}

    def note(self, asker: Address, now: float) -> None:
        """Remember a refused claim; an asker keeps its place."""
        if asker in self._asked_at or len(self._asked_at) < MAX_ASKERS:
            self._asked_at[asker] = now

    def take(self, now: float) -> Address | None:
        """Remove and return who asked first, leaving out old askers."""
        while self._asked_at:
            asker = next(iter(self._asked_at))
            if now - self._asked_at.pop(asker) <= ASK_SECONDS:
                return asker
        return None
