"""Whom a daemon tells what it knows.

Readers tell all balancers, and each balancer the sidecars that are assigned
to it, so that a change costs each daemon a few datagrams at any size.
"""

__all__ = ('Audience',)

from collections.abc import Callable

import xxhash
from attrs import define, field

from dragonflyshift._internal.carried.fleet.peers import PeerBook
from dragonflyshift._internal.carried.packet import SocketAddress

# Peers told each period by daemons that don't read the store.
FANOUT = 3
# Balancers that tell a sidecar; the second covers the loss of the first.
TELLERS = 2


@define(eq=False, repr=False)
class Audience:
    """Choose the addresses for statuses and news.

    ``sidecars()`` maps the addresses of all sidecars in the view to their
    data centres.
    """

    is_balancer: bool
    data_center: str
    book: PeerBook
    sidecars: Callable[[], dict[SocketAddress, str]]
    # The last assignment, with the balancers and sidecars that it is for.
    _known: tuple[object, frozenset[SocketAddress]] = field(
        default=(None, frozenset()),
    )

    def periodic(self, now: float, *, is_reading: bool) -> set[SocketAddress]:
        """Return whom to send a status each period."""
        balancers = self.book.balancer_addresses()
        if is_reading:
            return balancers | self._assigned()
        targets = set(self.book.sample(balancers, FANOUT))
        targets.update(self.book.readers(now)[:TELLERS])
        targets.discard(self.book.own)
        return targets | self._assigned()

    def of_news(self, *, is_reading: bool) -> set[SocketAddress]:
        """Return whom to tell of a change at once."""
        if not self.is_balancer:
            return set()
        if is_reading:
            return self.book.balancer_addresses() | self._assigned()
        return set(self._assigned())

    def _assigned(self) -> frozenset[SocketAddress]:
        """Return the sidecars that this balancer keeps up to date."""
        if not self.is_balancer:
            return frozenset()
        places = {
            peer.address: peer.status.data_center
            for peer in self.book.balancers()
        }
        sidecars = self.sidecars()
        if self._known[0] != (places, sidecars):
            assigned = self._assign(places, sidecars)
            self._known = ((places, sidecars), assigned)
        return self._known[1]

    def _assign(
        self,
        places: dict[SocketAddress, str],
        sidecars: dict[SocketAddress, str],
    ) -> frozenset[SocketAddress]:
        """Rank the balancers of a sidecar's data centre, or else all."""
        own = self.book.own
        places[own] = self.data_center
        near: dict[str, list[SocketAddress]] = {}
        for balancer, data_center in places.items():
            near.setdefault(data_center, []).append(balancer)
        everyone = list(places)
        places.pop(own)
        return frozenset(
            address
            for address, place in sidecars.items()
            if _is_teller(own, address, near.get(place, everyone))
        )


def _is_teller(
    own: SocketAddress, sidecar: SocketAddress, balancers: list[SocketAddress]
) -> bool:
    """Tell whether ``own`` ranks among the first for a sidecar."""
    if own not in balancers:
        return False
    weight = _weight(own, sidecar)
    better = sum(_weight(other, sidecar) > weight for other in balancers)
    return better < TELLERS


def _weight(balancer: SocketAddress, sidecar: SocketAddress) -> int:
    text = f'{balancer[0]}>{sidecar[0]}:{sidecar[1]}'
    return int(xxhash.xxh3_64_intdigest(text.encode()))
