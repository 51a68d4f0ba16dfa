"""Measure the balancer's packet path.

Run ``python -m bench.micro_packets [--json] [--seed N]``. Each figure stands
beside that of a bare loop of ``recvfrom`` and ``sendto`` and that of the bare
codec, measured in the same run.
"""

import asyncio
import itertools
import random
import statistics
import sys
import time
from collections.abc import Callable, Sequence

from attrs import frozen

from bench.micro import REPEATS as CODEC_REPEATS
from bench.micro import US_PER_S, median_us, parse_options, show
from bench.packet_rig import ENDPOINTS, PacketRig, Stream, open_endpoints
from dragonflyshift._internal.utils.udp import MAX_DATAGRAM_BYTES, READ_BATCH
from dragonflyshift._internal.wire import DatagramCodec, Forward, Kind, Reply

FLOWS = (1, 1000, 100_000)
PACKETS = 4800
REPEATS = 3
CODEC_ROUNDS = 400


@frozen
class Baseline:
    """Processor time of a packet without the balancer, in microseconds."""

    bare_socket_us: float
    seal_us: float
    open_us: float


@frozen
class PathCost:
    """What a packet costs the balancer in one direction.

    The ratios say how many times a bare socket loop, and a bare codec, would
    do the same work in the same time.
    """

    direction: str
    flows: int
    packet_us: float
    packets_a_cpu_second: float
    to_bare_socket: float
    to_bare_codec: float


def measure_bare_socket(stream: Stream) -> float:
    """Return microseconds of a loop that receives and sends each packet."""
    relay = open_endpoints(1)
    sock = relay.sockets[0]
    sink = open_endpoints(ENDPOINTS)
    targets = itertools.cycle([address.pair for address in sink.addresses])
    looped = Stream(stream.sources, relay.addresses[0], sink, stream.make)
    spent: float = 0
    for first in range(0, PACKETS, READ_BATCH):
        looped.send_batch(first)
        started = time.thread_time()
        for _ in range(READ_BATCH):
            datagram, _source = sock.recvfrom(MAX_DATAGRAM_BYTES)
            sock.sendto(datagram, next(targets))
        spent += time.thread_time() - started
        sink.drain()
    relay.close()
    sink.close()
    return spent / PACKETS * US_PER_S


def measure_seal(rig: PacketRig, packet: bytes) -> float:
    """Return microseconds to encode and seal one forward."""
    codec = DatagramCodec(rig.keys)
    forward = Forward(
        tag=rig.service.tag,
        client=rig.clients.addresses[0],
        service=rig.service.addresses[0],
        balancer=rig.listen,
        packet=packet,
    )
    return median_us(
        lambda: codec.seal(Kind.FORWARD, forward.encode()),
        CODEC_ROUNDS,
    )


def measure_open(rig: PacketRig) -> float:
    """Return microseconds to open and decode one reply."""
    sender = DatagramCodec(rig.keys)
    receiver = DatagramCodec(rig.keys)
    body = rig.reply(rig.clients.addresses[0])
    # Each datagram opens once only.
    sealed = iter(
        [
            sender.seal(Kind.REPLY, body)
            for _round in range(CODEC_ROUNDS * CODEC_REPEATS)
        ],
    )
    return median_us(
        lambda: Reply.decode(receiver.open(next(sealed)).body),
        CODEC_ROUNDS,
    )


async def measure_path(
    rig: PacketRig,
    baseline: Baseline,
    seed: int,
) -> list[PathCost]:
    """Measure each direction at each number of flows, in random order."""
    directions: dict[str, tuple[Callable[[int], Stream], float]] = {
        'to sidecars': (rig.to_sidecars, baseline.seal_us),
        'new flows': (rig.new_flows, baseline.seal_us),
        'to clients': (rig.to_clients, baseline.open_us),
    }
    trials = [(name, flows) for name in directions for flows in FLOWS]
    streams = {trial: directions[trial[0]][0](trial[1]) for trial in trials}
    spent: dict[tuple[str, int], list[float]] = {trial: [] for trial in trials}
    order = trials * REPEATS
    random.Random(seed).shuffle(order)
    for drawn in order:
        spent[drawn].append(await rig.run(streams[drawn], PACKETS))
    return [
        _path_cost(trial, spent[trial], baseline, directions[trial[0]][1])
        for trial in trials
    ]


def _path_cost(
    trial: tuple[str, int],
    seconds: Sequence[float],
    baseline: Baseline,
    codec_us: float,
) -> PathCost:
    packet_us = statistics.median(seconds) * US_PER_S
    return PathCost(
        *trial,
        packet_us,
        US_PER_S / packet_us,
        packet_us / baseline.bare_socket_us,
        packet_us / codec_us,
    )


async def _measure(seed: int) -> tuple[Baseline, list[PathCost]]:
    rig = PacketRig()
    try:
        stream = rig.to_sidecars(1)
        baseline = Baseline(
            measure_bare_socket(stream),
            measure_seal(rig, stream.make(0)),
            measure_open(rig),
        )
        return baseline, await measure_path(rig, baseline, seed)
    finally:
        rig.close()


def main(argv: Sequence[str] | None = None) -> int:
    """Measure and print."""
    options = parse_options("Measure the balancer's packet path.", argv)
    baseline, costs = asyncio.run(_measure(options.seed))
    show(options, {'baseline': [baseline], 'packet path': costs})
    return 0


if __name__ == '__main__':
    sys.exit(main())
