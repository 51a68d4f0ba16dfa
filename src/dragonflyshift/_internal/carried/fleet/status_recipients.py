"""The peers to which a daemon sends its status and changes of its view.

Readers of the store send to all balancers, and each balancer to the sidecars
that are assigned to it. A change thus costs each daemon a few datagrams,
whatever the number of daemons. Daemons that don't read the store send their
status also to some random balancers and to readers.
"""

__all__ = ('StatusRecipients',)

from collections.abc import Callable

import xxhash
from attrs import define, field

from dragonflyshift._internal.carried.fleet.peers import PeerTable
from dragonflyshift._internal.carried.packet import SocketAddress

# Balancers that receive a daemon's status each period, chosen at random,
# while the daemon doesn't read the store.
FANOUT = 3
# Balancers that send to a sidecar; the second covers the loss of the first.
# Also the number of readers that receive the status of a daemon that doesn't
# read the store.
BALANCERS_PER_SIDECAR = 2


@define(eq=False, repr=False)
class StatusRecipients:
    """Chooses the recipients of statuses and of changes.

    ``sidecars()`` maps the addresses of all sidecars in the view to their
    data centres.
    """

    is_balancer: bool
    data_center: str
    peer_table: PeerTable
    sidecars: Callable[[], dict[SocketAddress, str]]
    # The balancers and sidecars of the last assignment, and its result.
    _cached_assignment: tuple[object, frozenset[SocketAddress]] = field(
        default=(None, frozenset()),
    )

    def for_statuses(
        self, now: float, *, is_reading: bool
    ) -> set[SocketAddress]:
        """Return the peers that receive a status each period."""
        balancers = self.peer_table.balancer_addresses()
        if is_reading:
            return balancers | self._assigned_sidecars()
        targets = set(self.peer_table.sample(balancers, FANOUT))
        targets.update(self.peer_table.readers(now)[:BALANCERS_PER_SIDECAR])
        targets.discard(self.peer_table.own_address)
        return targets | self._assigned_sidecars()

    def for_changes(self, *, is_reading: bool) -> set[SocketAddress]:
        """Return the peers to which a change is sent at once."""
        if not self.is_balancer:
            return set()
        if is_reading:
            return (
                self.peer_table.balancer_addresses() | self._assigned_sidecars()
            )
        return set(self._assigned_sidecars())

    def _assigned_sidecars(self) -> frozenset[SocketAddress]:
        """Return the sidecars to which this balancer sends its view."""
        if not self.is_balancer:
            return frozenset()
        data_centers = {
            peer.address: peer.status.data_center
            for peer in self.peer_table.balancers()
        }
        sidecars = self.sidecars()
        if self._cached_assignment[0] != (data_centers, sidecars):
            assigned = self._assign_sidecars(data_centers, sidecars)
            self._cached_assignment = ((data_centers, sidecars), assigned)
        return self._cached_assignment[1]

    def _assign_sidecars(
        self,
        data_centers: dict[SocketAddress, str],
        sidecars: dict[SocketAddress, str],
    ) -> frozenset[SocketAddress]:
        """Assign sidecars by rendezvous hashing.

        The balancers of the sidecar's data centre are ranked, or all of them
        if it has none.
        """
        own = self.peer_table.own_address
        # This balancer is ranked as well. Its entry is removed again below,
        # because the caller caches the argument to detect changes.
        data_centers[own] = self.data_center
        balancers_by_data_center: dict[str, list[SocketAddress]] = {}
        for balancer, data_center in data_centers.items():
            balancers_by_data_center.setdefault(data_center, []).append(
                balancer
            )
        all_balancers = list(data_centers)
        data_centers.pop(own)
        return frozenset(
            address
            for address, sidecar_data_center in sidecars.items()
            if _is_assigned(
                own,
                address,
                balancers_by_data_center.get(
                    sidecar_data_center, all_balancers
                ),
            )
        )


def _is_assigned(
    own: SocketAddress, sidecar: SocketAddress, balancers: list[SocketAddress]
) -> bool:
    """Return whether ``own`` ranks among the first for a sidecar."""
    if own not in balancers:
        return False
    weight = _weight(own, sidecar)
    higher = sum(_weight(other, sidecar) > weight for other in balancers)
    return higher < BALANCERS_PER_SIDECAR


def _weight(balancer: SocketAddress, sidecar: SocketAddress) -> int:
    text = f'{balancer[0]}>{sidecar[0]}:{sidecar[1]}'
    return int(xxhash.xxh3_64_intdigest(text.encode()))
