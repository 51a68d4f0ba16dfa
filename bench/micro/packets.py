"""Measure the processor time of the balancer's packet path.

Run ``python -m bench.micro.packets [--json] [--seed N]``. Each time is
compared with a bare loop of ``recvfrom`` and ``sendto`` and with the bare
codec, both measured in the same run.
"""

import asyncio
import itertools
import random
import sys
import time
from collections.abc import Mapping, Sequence

from attrs import astuple, frozen

from bench.micro.packet_rig import (
    ENDPOINTS,
    PacketRig,
    PacketStream,
    open_sockets,
)
from bench.micro.timing import REPEATS as CODEC_REPEATS
from bench.micro.timing import US_PER_S, median_us, parse_options, show
from dragonflyshift._internal.utils.udp import MAX_DATAGRAM_BYTES, READ_BATCH
from dragonflyshift._internal.wire import (
    DatagramCodec,
    DatagramKind,
    ForwardEnvelope,
    ReplyEnvelope,
)

FLOWS = (1, 1000, 100_000)
PACKETS = 4800
ROUNDS = 3
CODEC_ROUNDS = 400


@frozen
class Trial:
    """A packet direction and the number of flows to measure."""

    direction: str
    flows: int


@frozen
class Baseline:
    """Processor time per packet without the balancer, in microseconds."""

    bare_socket_us: float
    seal_us: float
    open_us: float


@frozen
class PathCost:
    """Processor time of the balancer per packet in one direction.

    ``to_bare_socket`` and ``to_bare_codec`` are the ratios of this time to
    that of the bare socket loop and of the bare codec.
    """

    direction: str
    flows: int
    packet_us: float
    packets_a_cpu_second: float
    to_bare_socket: float
    to_bare_codec: float
    bare_socket_us: float


def measure_bare_socket(stream: PacketStream) -> float:
    """Return the time per packet of a bare receive and send loop.

    The time is processor time in microseconds.
    """
    relay = open_sockets(1)
    sock = relay.sockets[0]
    sink = open_sockets(ENDPOINTS)
    targets = itertools.cycle([address.pair for address in sink.addresses])
    relayed = PacketStream(
        stream.sources,
        relay.addresses[0],
        sink,
        stream.make,
    )
    spent: float = 0
    for first in range(0, PACKETS, READ_BATCH):
        relayed.send_batch(first)
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
    """Return the microseconds to encode and seal a forwarded packet."""
    codec = DatagramCodec(rig.keys)
    forward = ForwardEnvelope(
        tag=rig.service.tag,
        client=rig.clients.addresses[0],
        service=rig.service.addresses[0],
        balancer=rig.listen,
        packet=packet,
    )
    return median_us(
        lambda: codec.seal(DatagramKind.FORWARD, forward.encode()),
        CODEC_ROUNDS,
    )


def measure_open(rig: PacketRig) -> float:
    """Return microseconds to open and decode one reply."""
    sender = DatagramCodec(rig.keys)
    receiver = DatagramCodec(rig.keys)
    body = rig.reply(rig.clients.addresses[0])
    # The receiver rejects replays, so every call opens another datagram.
    sealed = iter(
        [
            sender.seal(DatagramKind.REPLY, body)
            for _round in range(CODEC_ROUNDS * CODEC_REPEATS)
        ],
    )
    return median_us(
        lambda: ReplyEnvelope.decode(receiver.open(next(sealed)).body),
        CODEC_ROUNDS,
    )


def measure_baseline(rig: PacketRig) -> Baseline:
    """Measure the bare socket loop and the bare codec."""
    stream = rig.to_sidecars(1)
    return Baseline(
        measure_bare_socket(stream),
        measure_seal(rig, stream.make(0)),
        measure_open(rig),
    )


async def measure_round(
    rig: PacketRig,
    streams: Mapping[Trial, PacketStream],
    rng: random.Random,
) -> list[PathCost]:
    """Measure the baseline, then all trials in random order."""
    baseline = measure_baseline(rig)
    order = list(streams)
    rng.shuffle(order)
    costs = []
    for trial in order:
        seconds = await rig.measure(streams[trial], PACKETS)
        costs.append(_path_cost(trial, seconds * US_PER_S, baseline))
    return costs


def _path_cost(
    trial: Trial,
    packet_us: float,
    baseline: Baseline,
) -> PathCost:
    is_reply = trial.direction == 'to clients'
    codec_us = baseline.open_us if is_reply else baseline.seal_us
    return PathCost(
        trial.direction,
        trial.flows,
        packet_us,
        US_PER_S / packet_us,
        packet_us / baseline.bare_socket_us,
        packet_us / codec_us,
        baseline.bare_socket_us,
    )


def _median_of(costs: Sequence[PathCost]) -> PathCost:
    """Return the cost with the median ratio to the bare socket loop."""
    ranked = sorted(costs, key=lambda cost: cost.to_bare_socket)
    return ranked[len(ranked) // 2]


async def _measure(seed: int) -> list[PathCost]:
    rng = random.Random(seed)
    rig = PacketRig()
    builders = {
        'to sidecars': rig.to_sidecars,
        'new flows': rig.new_flows,
        'to clients': rig.to_clients,
    }
    streams = {
        Trial(direction, flows): build(flows)
        for direction, build in builders.items()
        for flows in FLOWS
    }
    rounds = [await measure_round(rig, streams, rng) for _ in range(ROUNDS)]
    rig.close()
    return [
        _median_of(
            [
                cost
                for costs in rounds
                for cost in costs
                if (cost.direction, cost.flows) == astuple(trial)
            ],
        )
        for trial in streams
    ]


def main(argv: Sequence[str] | None = None) -> int:
    """Measure and print columns or JSON."""
    options = parse_options("Measure the balancer's packet path.", argv)
    costs = asyncio.run(_measure(options.seed))
    show(options, {'packet path': costs})
    return 0


if __name__ == '__main__':
    sys.exit(main())
