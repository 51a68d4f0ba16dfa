"""Measure the costs of membership: digests, merges, probes and changes.

Run ``python -m bench.micro.membership [--json] [--seed N]``.
"""

import asyncio
import random
import sys
import tracemalloc
from collections.abc import Sequence

from attrs import frozen

from bench.micro.mesh import measure_meshes
from bench.micro.timing import US_PER_S, median_us, parse_options, show
from bench.slopes import fit_line
from dragonflyshift._internal.membership import (
    MemberTable,
    ProbeParameters,
    Prober,
    decode_digest,
    encode_digest,
)
from dragonflyshift._internal.models import (
    Address,
    MemberRecord,
)
from dragonflyshift._internal.wire.datagram import DatagramCodec, DatagramKind
from dragonflyshift._internal.wire.keys import FleetKeys
from tests.lib.members import build_member

TABLE_SIZES = (7, 50, 500, 5300)
EXCHANGE_SIZES = (7, 50, 500)
EXCHANGE_ROUNDS = 300
FLEET_KEY = f'1:{"5a" * 32}'
MAX_ROUNDS = 5000


@frozen
class TableCost:
    """Processor time in microseconds and memory of a member table."""

    members: int
    digest_bytes: int
    encode_us: float
    decode_us: float
    merge_new_us: float
    merge_same_us: float
    hash_cached_us: float
    memory_bytes: int


@frozen
class TableSlope:
    """A linear fit of one cost against the number of members."""

    cost: str
    fixed_us: float
    us_a_member: float
    worst_fit: float


@frozen
class ExchangeCost:
    """Processor time of a probe and its reply, of both members together.

    The time includes sealing and opening of the datagrams. On average, each
    member sends one probe and one reply per probe period.
    """

    members: int
    exchange_us: float
    cpu_percent_a_member: float


def _build_table(records: Sequence[MemberRecord]) -> MemberTable:
    table = MemberTable(None)
    table.merge(records, 0)
    return table


def _table_bytes(records: Sequence[MemberRecord]) -> int:
    digest = encode_digest(records)
    tracemalloc.start()
    table = MemberTable(None)
    table.merge(decode_digest(digest), 0)
    used, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


def measure_table(size: int) -> TableCost:
    """Measure the operations on a table with the given number of members."""
    records = [build_member(number) for number in range(size)]
    digest = encode_digest(records)
    table = _build_table(records)
    rounds = max(1, MAX_ROUNDS // size)
    return TableCost(
        members=size,
        digest_bytes=len(digest),
        encode_us=median_us(lambda: encode_digest(records), rounds),
        decode_us=median_us(lambda: decode_digest(digest), rounds),
        merge_new_us=median_us(lambda: _build_table(records), rounds),
        merge_same_us=median_us(lambda: table.merge(records, 0), rounds),
        hash_cached_us=median_us(lambda: table.hash, MAX_ROUNDS),
        memory_bytes=_table_bytes(records),
    )


def _fit_slopes(costs: Sequence[TableCost]) -> list[TableSlope]:
    sizes = [cost.members for cost in costs]
    slopes = []
    for name in ('encode_us', 'decode_us', 'merge_new_us', 'merge_same_us'):
        line = fit_line(sizes, [getattr(cost, name) for cost in costs])
        slopes.append(
            TableSlope(name, line.intercept, line.slope, line.max_residual),
        )
    return slopes


class _ProberPair:
    """Two members with complete tables that exchange sealed datagrams."""

    def __init__(self, size: int, seed: int) -> None:
        """Create two probers and merge all member records into both tables."""
        keys = FleetKeys.parse(FLEET_KEY)
        records = [build_member(number) for number in range(size)]
        self._addresses = [record.address for record in records]
        self._codecs = [DatagramCodec(keys) for _end in range(2)]
        self._probers = [
            Prober(table, self._peers, self._queue, random.Random(seed))
            for table in map(MemberTable, records[:2])
        ]
        self._queued: list[tuple[DatagramKind, bytes]] = []
        digest = encode_digest(records)
        for prober in self._probers:
            prober.table.merge(decode_digest(digest), 0)

    def exchange(self) -> None:
        """Send a probe from the first member and a reply from the second."""
        self._probers[0].send_probe(self._addresses[1], 1)
        self._deliver(0, 1)
        self._deliver(1, 0)

    def _deliver(self, source: int, target: int) -> None:
        kind, body = self._queued.pop()
        opened = self._codecs[target].open(
            self._codecs[source].seal(kind, body),
        )
        self._probers[target].handle(
            opened.kind,
            opened.body,
            self._addresses[source],
            0,
        )

    def _peers(self) -> Sequence[Address]:
        return self._addresses

    def _queue(self, _target: Address, kind: DatagramKind, body: bytes) -> None:
        self._queued.append((kind, body))


def measure_exchange(size: int, seed: int) -> ExchangeCost:
    """Measure a probe and its reply among the given number of members."""
    pair = _ProberPair(size, seed)
    exchange_us = median_us(pair.exchange, EXCHANGE_ROUNDS)
    cpu_share = exchange_us / US_PER_S / ProbeParameters().period
    return ExchangeCost(size, exchange_us, 100 * cpu_share)


def main(argv: Sequence[str] | None = None) -> int:
    """Measure and print columns or JSON."""
    options = parse_options('Measure what membership costs.', argv)
    random.seed(options.seed)
    tables = [measure_table(size) for size in TABLE_SIZES]
    meshes = asyncio.run(measure_meshes(options.seed))
    show(
        options,
        {
            'table': tables,
            'table slopes': _fit_slopes(tables),
            'probe and answer': [
                measure_exchange(size, options.seed) for size in EXCHANGE_SIZES
            ],
            'quiet service': [mesh.quiet for mesh in meshes],
            'one change': [mesh.change for mesh in meshes],
            'one death': [mesh.death for mesh in meshes],
        },
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
