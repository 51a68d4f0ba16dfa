"""Measure the processor time of the carried path at several flow counts.

    python -m bench.micro.carried

For balancer and sidecar it prints the microseconds per packet of a known flow
at 1, 1,000 and 100,000 flows, the time of a bare socket pair that sends and
receives the same bytes in the same run, and the time of a placement among 7
and 50 endpoints.
"""

import logging
import random
import socket
import time
from collections.abc import Callable

from dragonflyshift._internal.carried.balancer.forwarder import (
    CachedOwner,
    FlowForwarder,
    ForwarderCallbacks,
)
from dragonflyshift._internal.carried.balancer.placer import (
    REMOTE_REQUESTS,
)
from dragonflyshift._internal.carried.balancer.sidecars import SidecarTable
from dragonflyshift._internal.carried.messages import (
    ForwardedPacket,
    decode_datagram,
)
from dragonflyshift._internal.carried.packet import FlowKey, SocketAddress
from dragonflyshift._internal.carried.policies.placement import (
    LeastRequests,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.sidecar.flows import FlowPhase
from dragonflyshift._internal.carried.telemetry import Counters
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import (
    ACK,
    SERVICE,
    SYN,
    build_flow_handler,
    build_packet,
    build_view,
)

FLOW_COUNTS = (1, 1000, 100_000)
ROUNDS = 20_000
PLACEMENTS = 2000
MAX_BYTES = 2048
PAYLOAD = b'x' * 600
_BALANCER: SocketAddress = ('10.0.0.1', 7720)
_US_PER_S = 1_000_000
# Ports of the client and the service, and the service's address.
_KEY_SUFFIX = b'\x9c\x41\xc6\x12\x00\x01\x01\xbb'


def _flow_key(number: int) -> FlowKey:
    client = (100 << 24) + number
    return b''.join((client.to_bytes(4, 'big'), _KEY_SUFFIX))


def _per_call_us(call: Callable[[int], None], rounds: int = ROUNDS) -> float:
    started = time.process_time()
    for number in range(rounds):
        call(number)
    return (time.process_time() - started) / rounds * _US_PER_S


def _drop(_raw: bytes, _target: object) -> None:
    """Stub of a socket that sends."""


def _sidecar_of(record: EndpointRecord) -> SocketAddress:
    return (record.host, 7720)


def _view_age_s(_now: float) -> float:
    return 0


def _request_nothing(*_args: object) -> None:
    """Stub that requests no status."""


def _has_same_view(_sidecars: object) -> bool:
    return True


def _build_forwarder(endpoints: int) -> FlowForwarder:
    return FlowForwarder(
        build_view(endpoints),
        SidecarTable('klang'),
        PlatformCodec(),
        LeastRequests(),
        ForwarderCallbacks(
            _drop,
            _drop,
            _sidecar_of,
            _view_age_s,
            _has_same_view,
            _request_nothing,
            _request_nothing,
        ),
        random.Random(1),
        Counters(),
    )


class BareSocket:
    """Sends and receives a datagram through a bare socket pair."""

    def __init__(self) -> None:
        """Connect two sockets and build the packet."""
        sender, receiver = socket.socketpair(socket.AF_UNIX, socket.SOCK_DGRAM)
        self._sender = sender
        self._receiver = receiver
        self._raw = build_packet(_flow_key(1), ACK, payload=PAYLOAD)

    def run(self, _number: int) -> None:
        """Send and receive the packet once."""
        self._sender.send(self._raw)
        self._receiver.recv(MAX_BYTES)


class BalancerPackets:
    """Client packets of known flows at a balancer."""

    def __init__(self, flows: int) -> None:
        """Add the flows to the owner cache and build their packets."""
        self._forwarder = _build_forwarder(7)
        keys = [_flow_key(number) for number in range(flows)]
        for key in keys:
            cached = CachedOwner(('10.1.0.1', 7720), SERVICE, 0)
            self._forwarder.owner_cache[key] = cached
        self._packets = [
            build_packet(each, ACK, payload=PAYLOAD) for each in keys
        ]

    def run(self, number: int) -> None:
        """Forward one packet."""
        raw = self._packets[number % len(self._packets)]
        self._forwarder.on_client_packet(1, raw)


class SidecarPackets:
    """Forwarded packets of known flows at a sidecar."""

    def __init__(self, flows: int) -> None:
        """Add the flows to the flow table and build their datagrams."""
        handler, outbox = build_flow_handler()
        self._flow_handler = handler
        self._outbox = outbox
        keys = [_flow_key(number) for number in range(flows)]
        for key in keys:
            handler.backend.table.adopt(0, key, _BALANCER, FlowPhase.OPEN)
        self._datagrams = [
            ForwardedPacket(
                SERVICE, build_packet(each, ACK, payload=PAYLOAD)
            ).encode()
            for each in keys
        ]

    def run(self, number: int) -> None:
        """Deliver one packet."""
        raw = self._datagrams[number % len(self._datagrams)]
        message = decode_datagram(raw)
        if isinstance(message, ForwardedPacket):
            self._flow_handler.on_forwarded_packet(1, message, _BALANCER)
        self._outbox.to_backend.clear()


class Placements:
    """New flows at a balancer with a number of endpoints."""

    def __init__(self, endpoints: int) -> None:
        """Build a forwarder whose view holds the endpoints."""
        self._forwarder = _build_forwarder(endpoints)
        self._policy = LeastRequests()
        self._rng = random.Random(1)

    def decide(self, _number: int) -> None:
        """Build and order the placement options, as each placement does."""
        forwarder = self._forwarder
        options = [
            forwarder.sidecars.placement_option(1, record, _sidecar_of(record))
            for record in forwarder.view.endpoints(SERVICE)
        ]
        self._policy.order(options, REMOTE_REQUESTS, self._rng)

    def run(self, number: int) -> None:
        """Place one new flow."""
        self._forwarder.on_client_packet(
            1, build_packet(_flow_key(number), SYN)
        )
        self._forwarder.placer.pending.clear()


def main() -> None:
    """Measure and print the table."""
    logging.disable(logging.CRITICAL)
    print(f'bare socket pair: {_per_call_us(BareSocket().run):.1f} us a packet')
    print('| flows | balancer us | sidecar us |')
    print('|---|---|---|')
    for flows in FLOW_COUNTS:
        balancer = _per_call_us(BalancerPackets(flows).run)
        sidecar = _per_call_us(SidecarPackets(flows).run)
        print(f'| {flows} | {balancer:.1f} | {sidecar:.1f} |')
    for endpoints in (7, 50):
        placements = Placements(endpoints)
        decision = _per_call_us(placements.decide, rounds=PLACEMENTS)
        full_path = _per_call_us(placements.run, rounds=PLACEMENTS)
        print(
            f'placement among {endpoints} endpoints: {decision:.0f} us,'
            f' with packet and datagram {full_path:.0f} us',
        )


if __name__ == '__main__':
    main()
