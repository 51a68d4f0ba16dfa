"""The other daemons, by the statuses that they sent to this one."""

__all__ = ('Peer', 'PeerTable')

import random
from collections.abc import Iterable

from attrs import define, field

from dragonflyshift._internal.carried.messages import DaemonStatus
from dragonflyshift._internal.carried.packet import SocketAddress

# A daemon that sends no status for this long is dropped from the table.
PEER_EXPIRY_S = 30.0
# A reader without a status for this long counts as lost; readers send two a
# second.
READER_TIMEOUT_S = 1.3
# An older view of a reader shows that the store doesn't respond to it.
READER_MAX_AGE_MS = 3500
# A sidecar that has sent a status within this time is running.
SIDECAR_TIMEOUT_S = 5.0
MAX_ADVERTISED_READERS = 3
# A balancer with an older view receives no statuses from the readers that it
# reports.
MAX_REPORT_AGE_MS = 1500


@define(eq=False, repr=False)
class Peer:
    """A daemon with its newest status.

    ``received_at`` is when this status arrived. ``sent_revision`` is the
    revision of the view that this daemon last sent to the peer.
    """

    address: SocketAddress
    status: DaemonStatus
    received_at: float
    sent_revision: int = 0


@define(eq=False, repr=False)
class PeerTable:
    """Balancers and sidecars by address.

    ``seeds`` are addresses that are tried in addition to known balancers.
    """

    own_address: SocketAddress
    seeds: tuple[SocketAddress, ...]
    rng: random.Random
    peers: dict[SocketAddress, Peer] = field(factory=dict)
    # Balancers that peers advertised and that have sent no status yet, with
    # the time of the first advertisement.
    advertised: dict[SocketAddress, float] = field(factory=dict)

    def record_status(
        self, now: float, address: SocketAddress, status: DaemonStatus
    ) -> Peer:
        """Record a peer's status and the balancers that it advertises."""
        peer = self.peers.get(address)
        if peer is None:
            peer = Peer(address, status, now)
            self.peers[address] = peer
        peer.status = status
        peer.received_at = now
        self.advertised.pop(address, None)
        for text in status.peers:
            self._add_advertised(now, _parse_address(text))
        return peer

    def drop_expired(self, now: float) -> None:
        """Drop peers without a recent status, and old advertisements."""
        for address, peer in tuple(self.peers.items()):
            if now - peer.received_at > PEER_EXPIRY_S:
                self.peers.pop(address)
        for address, advertised_at in tuple(self.advertised.items()):
            if now - advertised_at > PEER_EXPIRY_S:
                self.advertised.pop(address)

    def balancers(self) -> list[Peer]:
        """Return the balancers that have sent a status and are not leaving."""
        return [
            peer
            for peer in self.peers.values()
            if peer.status.is_balancer and not peer.status.is_leaving
        ]

    def balancer_addresses(self) -> set[SocketAddress]:
        """Return the addresses of known and advertised balancers and seeds."""
        addresses = {peer.address for peer in self.balancers()}
        addresses.update(self.advertised, self.seeds)
        addresses.discard(self.own_address)
        return addresses

    def readers(self, now: float) -> list[SocketAddress]:
        """Return the daemons that read the store successfully.

        The order is the same at all daemons.
        """
        return sorted(
            peer.address
            for peer in self.peers.values()
            if peer.status.is_reader
            and now - peer.received_at < READER_TIMEOUT_S
            and peer.status.age_ms < READER_MAX_AGE_MS
        )

    def have_reported(
        self, addresses: Iterable[SocketAddress], digest: int
    ) -> bool:
        """Return whether the last status of each daemon has a checksum."""
        peers = map(self.peers.get, addresses)
        return all(
            peer is not None and peer.status.digest == digest for peer in peers
        )

    def is_sidecar(self, now: float, address: SocketAddress) -> bool:
        """Return whether a sidecar at an address has reported itself lately."""
        peer = self.peers.get(address)
        if peer is None or peer.status.is_balancer:
            return False
        return now - peer.received_at < SIDECAR_TIMEOUT_S

    def advertised_readers(
        self, now: float, *, is_reading: bool
    ) -> tuple[str, ...]:
        """Return some balancers that read the store as ``host:port``."""
        readers = [
            address
            for address in self.readers(now)
            if self.peers[address].status.is_balancer
        ]
        if is_reading:
            readers.insert(0, self.own_address)
        return tuple(
            _format_address(address)
            for address in readers[:MAX_ADVERTISED_READERS]
        )

    def reported_readers(self, now: float) -> list[SocketAddress]:
        """Return the readers that balancers with a recent view report."""
        reported: set[SocketAddress] = set()
        for peer in self.balancers():
            is_fresh = peer.status.age_ms < MAX_REPORT_AGE_MS
            if is_fresh and now - peer.received_at < READER_TIMEOUT_S:
                reported.update(
                    _parse_address(text) for text in peer.status.readers
                )
        return sorted(reported)

    def sample(
        self, addresses: Iterable[SocketAddress], count: int
    ) -> list[SocketAddress]:
        """Return at most ``count`` of the addresses, chosen at random."""
        ordered = sorted(addresses)
        if len(ordered) <= count:
            return ordered
        return self.rng.sample(ordered, count)

    def advertised_balancers(self, count: int) -> tuple[str, ...]:
        """Return some balancers' addresses as ``host:port``."""
        addresses = self.sample(
            (peer.address for peer in self.balancers()), count
        )
        return tuple(_format_address(address) for address in addresses)

    def _add_advertised(self, now: float, address: SocketAddress) -> None:
        if (
            address[1]
            and address != self.own_address
            and address not in self.peers
        ):
            self.advertised.setdefault(address, now)


def _parse_address(text: str) -> SocketAddress:
    """Parse ``host:port``; the port is 0 if it is malformed."""
    host, _colon, port = text.rpartition(':')
    return (host, int(port) if port.isdigit() else 0)


def _format_address(address: SocketAddress) -> str:
    """Return an address as ``host:port``."""
    host, port = address
    return f'{host}:{port}'
