"""The other daemons, as this one has heard of them."""

__all__ = ('Peer', 'PeerBook')

import random
from collections.abc import Iterable

from attrs import define, field

from dragonflyshift._internal.carried.messages import DaemonStatus
from dragonflyshift._internal.carried.packet import SocketAddress

# A balancer that was not heard of for this long is dropped from the book.
FORGET_S = 30.0
# Silence after which a reader counts as lost; readers speak twice a second.
READER_SILENCE_S = 1.3
# A view older than this at its reader shows that the store doesn't answer.
READER_MAX_AGE_MS = 3500
NAMED_READERS = 3
# A balancer with an older view doesn't hear the readers that it names.
FRESH_REPORT_MS = 1500


@define(eq=False, repr=False)
class Peer:
    """A daemon with the newest status heard from it."""

    address: SocketAddress
    status: DaemonStatus
    heard_at: float
    told_revision: int = 0
    told_version: int = 0


@define(eq=False, repr=False)
class PeerBook:
    """Balancers and sidecars by address.

    ``seeds`` are addresses to ask while no balancer is known.
    """

    own: SocketAddress
    seeds: tuple[SocketAddress, ...]
    rng: random.Random
    peers: dict[SocketAddress, Peer] = field(factory=dict)
    # Balancers that others named and that have not spoken yet.
    named: dict[SocketAddress, float] = field(factory=dict)

    def heard(
        self, now: float, address: SocketAddress, status: DaemonStatus
    ) -> Peer:
        """Keep a peer's status and the balancers that it names."""
        peer = self.peers.get(address)
        if peer is None:
            peer = Peer(address, status, now)
            self.peers[address] = peer
        peer.status = status
        peer.heard_at = now
        self.named.pop(address, None)
        for text in status.peers:
            self._name(now, _parse_address(text))
        return peer

    def forget_silent(self, now: float) -> None:
        """Drop who has been silent for long."""
        for address, peer in tuple(self.peers.items()):
            if now - peer.heard_at > FORGET_S:
                self.peers.pop(address)
        for address, since in tuple(self.named.items()):
            if now - since > FORGET_S:
                self.named.pop(address)

    def balancers(self) -> list[Peer]:
        """Return the balancers that have spoken and are not leaving."""
        return [
            peer
            for peer in self.peers.values()
            if peer.status.is_balancer and not peer.status.is_leaving
        ]

    def balancer_addresses(self) -> set[SocketAddress]:
        """Return the addresses of all balancers known or named, and seeds."""
        addresses = {peer.address for peer in self.balancers()}
        addresses.update(self.named, self.seeds)
        addresses.discard(self.own)
        return addresses

    def readers(self, now: float) -> list[SocketAddress]:
        """Return who reads the store with success, in a common order."""
        return sorted(
            peer.address
            for peer in self.peers.values()
            if peer.status.is_reader
            and now - peer.heard_at < READER_SILENCE_S
            and peer.status.age_ms < READER_MAX_AGE_MS
        )

    def reader_names(self, now: float, *, is_reading: bool) -> tuple[str, ...]:
        """Return some readers among the balancers as text, to pass on."""
        readers = [
            address
            for address in self.readers(now)
            if self.peers[address].status.is_balancer
        ]
        if is_reading:
            readers.insert(0, self.own)
        return tuple(
            _format_address(address) for address in readers[:NAMED_READERS]
        )

    def reported_readers(self, now: float) -> list[SocketAddress]:
        """Return the readers that balancers with a fresh view have heard."""
        reported: set[SocketAddress] = set()
        for peer in self.balancers():
            is_fresh = peer.status.age_ms < FRESH_REPORT_MS
            if is_fresh and now - peer.heard_at < READER_SILENCE_S:
                reported.update(
                    _parse_address(text) for text in peer.status.readers
                )
        return sorted(reported)

    def sample(
        self, addresses: Iterable[SocketAddress], count: int
    ) -> list[SocketAddress]:
        """Return at most ``count`` of the addresses, chosen at random."""
        known = sorted(addresses)
        if len(known) <= count:
            return known
        return self.rng.sample(known, count)

    def names(self, count: int) -> tuple[str, ...]:
        """Return some balancers' addresses as text, to pass on."""
        addresses = self.sample(
            (peer.address for peer in self.balancers()), count
        )
        return tuple(_format_address(address) for address in addresses)

    def _name(self, now: float, address: SocketAddress) -> None:
        if address[1] and address != self.own and address not in self.peers:
            self.named.setdefault(address, now)


def _parse_address(text: str) -> SocketAddress:
    """Read an address; port 0 stands for one that can't be read."""
    host, _colon, port = text.rpartition(':')
    return (host, int(port) if port.isdigit() else 0)


def _format_address(address: SocketAddress) -> str:
    """Return an address as text."""
    host, port = address
    return f'{host}:{port}'
