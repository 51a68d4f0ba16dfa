"""The other daemons, as this one has heard of them."""

__all__ = ('Peer', 'PeerBook')

import random
from collections.abc import Iterable

from attrs import define, field

from dragonflyshift._internal.carried.messages import Status
from dragonflyshift._internal.carried.packet import Pair

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

    pair: Pair
    status: Status
    heard_at: float
    told_revision: int = 0
    told_version: int = 0


@define(eq=False, repr=False)
class PeerBook:
    """Balancers and sidecars by address.

    ``seeds`` are addresses to ask while no balancer is known.
    """

    own: Pair
    seeds: tuple[Pair, ...]
    rng: random.Random
    peers: dict[Pair, Peer] = field(factory=dict)
    # Balancers that others named and that have not spoken yet.
    named: dict[Pair, float] = field(factory=dict)

    def heard(self, now: float, pair: Pair, status: Status) -> Peer:
        """Keep a peer's status and the balancers that it names."""
        peer = self.peers.get(pair)
        if peer is None:
            peer = Peer(pair, status, now)
            self.peers[pair] = peer
        peer.status = status
        peer.heard_at = now
        self.named.pop(pair, None)
        for text in status.peers:
            self._name(now, _pair(text))
        return peer

    def forget_silent(self, now: float) -> None:
        """Drop who has been silent for long."""
        for pair, peer in tuple(self.peers.items()):
            if now - peer.heard_at > FORGET_S:
                self.peers.pop(pair)
        for pair, since in tuple(self.named.items()):
            if now - since > FORGET_S:
                self.named.pop(pair)

    def balancers(self) -> list[Peer]:
        """Return the balancers that have spoken and are not leaving."""
        return [
            peer
            for peer in self.peers.values()
            if peer.status.is_balancer and not peer.status.is_leaving
        ]

    def balancer_pairs(self) -> set[Pair]:
        """Return the addresses of all balancers known or named, and seeds."""
        pairs = {peer.pair for peer in self.balancers()}
        pairs.update(self.named, self.seeds)
        pairs.discard(self.own)
        return pairs

    def readers(self, now: float) -> list[Pair]:
        """Return who reads the store with success, in a common order."""
        return sorted(
            peer.pair
            for peer in self.peers.values()
            if peer.status.is_reader
            and now - peer.heard_at < READER_SILENCE_S
            and peer.status.age_ms < READER_MAX_AGE_MS
        )

    def reader_names(self, now: float, *, is_reading: bool) -> tuple[str, ...]:
        """Return some readers among the balancers as text, to pass on."""
        readers = [
            pair
            for pair in self.readers(now)
            if self.peers[pair].status.is_balancer
        ]
        if is_reading:
            readers.insert(0, self.own)
        return tuple(_text(pair) for pair in readers[:NAMED_READERS])

    def reported_readers(self, now: float) -> list[Pair]:
        """Return the readers that balancers with a fresh view have heard."""
        reported: set[Pair] = set()
        for peer in self.balancers():
            is_fresh = peer.status.age_ms < FRESH_REPORT_MS
            if is_fresh and now - peer.heard_at < READER_SILENCE_S:
                reported.update(_pair(text) for text in peer.status.readers)
        return sorted(reported)

    def sample(self, pairs: Iterable[Pair], count: int) -> list[Pair]:
        """Return at most ``count`` of the addresses, chosen at random."""
        known = sorted(pairs)
        if len(known) <= count:
            return known
        return self.rng.sample(known, count)

    def names(self, count: int) -> tuple[str, ...]:
        """Return some balancers' addresses as text, to pass on."""
        pairs = self.sample((peer.pair for peer in self.balancers()), count)
        return tuple(_text(pair) for pair in pairs)

    def _name(self, now: float, pair: Pair) -> None:
        if pair[1] and pair != self.own and pair not in self.peers:
            self.named.setdefault(pair, now)


def _pair(text: str) -> Pair:
    """Read an address; port 0 stands for one that can't be read."""
    host, _colon, port = text.rpartition(':')
    return (host, int(port) if port.isdigit() else 0)


def _text(pair: Pair) -> str:
    """Return an address as text."""
    host, port = pair
    return f'{host}:{port}'
