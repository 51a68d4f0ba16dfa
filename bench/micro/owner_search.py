"""Cost of finding the owner of a flow after a restart of all daemons.

The route of the flow has moved. All sidecars have restarted, so each one is
unsure until its server has bounced a flow probe. Replies and bounces take one
round trip on a virtual clock.

Example:
    python -m bench.micro.owner_search
"""

__all__ = ('main',)

import heapq
import random
import statistics

from attrs import define, field

from dragonflyshift._internal.carried.lookups import (
    LookupCallbacks,
    LookupTable,
    PendingLookup,
)
from dragonflyshift._internal.carried.messages import (
    Datagram,
    ForwardedPacket,
    OwnershipQuery,
    decode_datagram,
)
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.policies.owner_search import (
    OwnerCandidates,
)
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import ACK, build_key, build_packet

SIDECARS = (16, 54, 100, 300, 850)
# Sidecars of the service to which the route leads now.
LIKELY_SHARE = 0.3
ROUND_TRIP_S = 0.003
TICK_S = 0.02
# When a client sends the copies of its packet.
COPIES_S = (0, 0.2, 0.6, 1.4, 3.0)
PAYLOAD_BYTES = 300
RUNS = 20
_KEY = build_key()
_PACKET = PlatformCodec().from_client(
    build_packet(_KEY, ACK, payload=bytes(PAYLOAD_BYTES))
)


@define(eq=False)
class _Search:
    """The lookups of one flow among unsure sidecars.

    ``owner`` is None for a flow that no server holds.
    """

    sidecars: list[SocketAddress]
    owner: SocketAddress | None
    queries: int = 0
    probes: int = 0
    sent_bytes: int = 0
    ended_at: float | None = None
    now: float = 0
    _bounced: set[SocketAddress] = field(factory=set)
    _replies: list[tuple[float, SocketAddress, bool]] = field(factory=list)

    def run(self) -> None:
        """Send the copies of a packet until the owner is found or denied."""
        likely = self.sidecars[: int(len(self.sidecars) * LIKELY_SHARE)]
        rows = [
            (address, 'new' if address in likely else 'other')
            for address in self.sidecars
        ]
        table = LookupTable(
            LookupCallbacks(self._send, _ignore, self._on_denied, _ignore)
        )
        copies = list(COPIES_S)
        next_tick = TICK_S
        while self.ended_at is None and self.now < COPIES_S[-1] + 1:
            self.now += 0.001
            if copies and self.now >= copies[0]:
                copies.pop(0)
                table.start(
                    self.now, _PACKET, OwnerCandidates.split(rows, {'new'})
                )
            while self._replies and self._replies[0][0] <= self.now:
                self._deliver(table, *heapq.heappop(self._replies)[1:])
            if self.now >= next_tick:
                next_tick += TICK_S
                table.tick(self.now)

    def _send(self, raw: bytes, address: SocketAddress) -> None:
        self.sent_bytes += len(raw)
        message: Datagram = decode_datagram(raw)
        is_probe = isinstance(message, ForwardedPacket)
        self.probes += is_probe
        self.queries += isinstance(message, OwnershipQuery)
        if is_probe and address == self.owner:
            # The server answers: the flow is found.
            self.ended_at = self.ended_at or self.now
            return
        if is_probe:
            self._bounced.add(address)
        denies = address in self._bounced
        heapq.heappush(
            self._replies, (self.now + ROUND_TRIP_S, address, denies)
        )

    def _deliver(
        self, table: LookupTable, address: SocketAddress, denies: bool
    ) -> None:
        if denies:
            table.on_not_owned(self.now, _KEY, address)
        else:
            table.on_unsure(self.now, _KEY, address)

    def _on_denied(self, now: float, _lookup: PendingLookup) -> None:
        self.ended_at = self.ended_at or now


def _ignore(*_arguments: object) -> None:
    """Ignore a call."""


def _measure(count: int, *, is_lost: bool) -> list[_Search]:
    searches = []
    for seed in range(RUNS):
        sidecars = [
            (f'10.{number >> 8}.{number & 255}.1', 1) for number in range(count)
        ]
        others = sidecars[int(count * LIKELY_SHARE) :]
        owner = None if is_lost else random.Random(seed).choice(others)
        search = _Search(sidecars, owner)
        search.run()
        searches.append(search)
    return searches


def main() -> None:
    """Print a Markdown table of the costs."""
    print('| sidecars | flow | queries | probes | KB | ms, median and last |')
    print('|---|---|---|---|---|---|')
    for count in SIDECARS:
        for is_lost in (False, True):
            searches = _measure(count, is_lost=is_lost)
            ended = [
                (search.ended_at or float('inf')) * 1000 for search in searches
            ]
            means = [
                statistics.fmean(getattr(search, name) for search in searches)
                for name in ('queries', 'probes', 'sent_bytes')
            ]
            print(
                f'| {count} | {"lost" if is_lost else "open"} '
                f'| {means[0]:.0f} | {means[1]:.0f} | {means[2] / 1000:.0f} '
                f'| {statistics.median(ended):.0f}, {max(ended):.0f} |'
            )


if __name__ == '__main__':
    main()
