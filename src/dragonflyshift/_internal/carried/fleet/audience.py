"""Whom a daemon tells what it knows.

Readers tell all balancers, and each balancer the sidecars that are assigned
to it, so that a change costs each daemon a few datagrams at any size.
"""

__all__ = ('Audience',)

from collections.abc import Callable, Iterable

import xxhash
from attrs import define

from dragonflyshift._internal.carried.fleet.peers import PeerBook
from dragonflyshift._internal.carried.packet import Pair

# Peers told each period by daemons that don't read the store.
FANOUT = 3
# Balancers that tell a sidecar; the second covers the loss of the first.
TELLERS = 2


@define(eq=False, repr=False)
class Audience:
    """Choose the addresses for statuses and news.

    ``sidecars()`` lists the addresses of all sidecars in the view.
    """

    is_balancer: bool
    data_center: str
    book: PeerBook
    sidecars: Callable[[], Iterable[Pair]]

    def periodic(self, now: float, *, is_reading: bool) -> set[Pair]:
        """Return whom to send a status each period."""
        balancers = self.book.balancer_pairs()
        if is_reading:
            return balancers | self._assigned()
        targets = set(self.book.sample(balancers, FANOUT))
        targets.update(self.book.readers(now)[:TELLERS])
        targets.discard(self.book.own)
        return targets | self._assigned()

    def of_news(self, *, is_reading: bool) -> set[Pair]:
        """Return whom to tell of a change at once."""
        if not self.is_balancer:
            return set()
        if is_reading:
            return self._assigned() | self.book.balancer_pairs()
        return self._assigned()

    def _assigned(self) -> set[Pair]:
        """Return the sidecars that this balancer keeps up to date."""
        if not self.is_balancer:
            return set()
        balancers = self.book.balancers()
        everyone = [peer.pair for peer in balancers]
        local = [
            peer.pair
            for peer in balancers
            if peer.status.data_center == self.data_center
        ]
        own = self.book.own
        return {
            pair
            for pair in self.sidecars()
            if _is_teller(own, pair, local) or _is_teller(own, pair, everyone)
        }


def _is_teller(own: Pair, sidecar: Pair, balancers: list[Pair]) -> bool:
    """Tell whether ``own`` ranks among the first for a sidecar."""
    weight = _weight(own, sidecar)
    better = sum(_weight(other, sidecar) > weight for other in balancers)
    return better < TELLERS


def _weight(balancer: Pair, sidecar: Pair) -> int:
    text = f'{balancer[0]}>{sidecar[0]}:{sidecar[1]}'
    return int(xxhash.xxh3_64_intdigest(text.encode()))
