"""The way of a reply: wrapped, through a balancer, to the client.

A reply carries the service's membership digest when the balancer's view was
seen to differ, so that control bytes follow changes instead of traffic.
"""

import os
import time
from collections.abc import Callable
from typing import Any

from attrs import define, evolve

from dragonflyshift._internal.models import Address
from dragonflyshift._internal.recovery import BalancerDirectory, ReturnPath
from dragonflyshift._internal.sidecar.balancer_views import BalancerViews
from dragonflyshift._internal.wire import DatagramCodec, Forward, Kind, Reply

MAX_TOGETHER_BYTES = 1350
_SHORT_HEADER = 0x40
_SHORT_HEADER_MASK = 0x3F


@define
class ServiceWord:
    """What a sidecar has to tell: its view and configuration version."""

    digest_hash: bytes
    digest: bytes
    version: int


class ReplySender:
    """Wrap replies and send them through balancers."""

    def __init__(
        self,
        tag: int,
        codec: DatagramCodec,
        send: Callable[[bytes, Address], None],
        word: Callable[[], ServiceWord],
        directory: BalancerDirectory,
    ) -> None:
        """Send with ``send``; ask ``word`` for what balancers should know."""
        self._tag = tag
        self._codec = codec
        self._send = send
        self._word = word
        self._views = BalancerViews()
        self.directory = directory

    def heard(self, forward: Forward) -> None:
        """Take note of what a balancer knows and whether it leaves."""
        now = time.monotonic()
        self.directory.record(
            forward.balancer,
            now,
            leaving=forward.leaving,
        )
        self._views.heard(forward.balancer, forward.digest_hash)

    def open_path(self, forward: Forward) -> 'ReplyPath':
        """Return the way back of the flow that a packet started."""
        return ReplyPath(self, forward)

    def send_once(self, forward: Forward, packet: bytes) -> None:
        """Answer a packet through the balancer that delivered it.

        The answer carries the packet's own tag, which is that of another
        service when the packet came to the wrong one.
        """
        reply = Reply(
            tag=forward.tag,
            client=forward.client,
            service=forward.service,
            packet=packet,
        )
        self._seal(reply, forward.balancer)

    def send_reset(self, forward: Forward, size: int, token: bytes) -> None:
        """Send a stateless reset of ``size`` bytes that ends in a token."""
        filler = bytearray(os.urandom(size - len(token)))
        filler[0] = _SHORT_HEADER | (filler[0] & _SHORT_HEADER_MASK)
        self.send_once(forward, bytes(filler) + token)

    def send_packet(
        self,
        client: Address,
        service: Address,
        packet: bytes,
        balancer: Address,
    ) -> None:
        """Wrap a packet, with the digest if the balancer needs it."""
        word = self._word()
        digest = self._digest_for(balancer, word)
        reply = Reply(
            tag=self._tag,
            client=client,
            service=service,
            packet=packet,
            version=word.version,
            digest=digest,
        )
        if digest and len(packet) + len(digest) > MAX_TOGETHER_BYTES:
            # Both would not fit the path's MTU.
            self._seal(evolve(reply, packet=b''), balancer)
            reply = evolve(reply, digest=b'')
        self._seal(reply, balancer)

    def _seal(self, reply: Reply, balancer: Address) -> None:
        self._send(self._codec.seal(Kind.REPLY, reply.encode()), balancer)

    def _digest_for(self, balancer: Address, word: ServiceWord) -> bytes:
        if not word.digest:
            return b''
        now = time.monotonic()
        due = self._views.take_due(balancer, word.digest_hash, now)
        return word.digest if due else b''


class ReplyPath:
    """The transport of one flow; asyncio's protocol calls ``sendto``."""

    def __init__(self, sender: ReplySender, forward: Forward) -> None:
        """Start with the balancer that delivered the first packet."""
        self._sender = sender
        self._service = forward.service
        self._path = ReturnPath(sender.directory)

    def delivered(self, forward: Forward) -> None:
        """Take note that a balancer delivered a packet of the flow."""
        self._service = forward.service
        self._path.record_delivery(forward.balancer, time.monotonic())

    def sendto(self, packet: bytes, client: Any) -> None:
        """Send a packet to the flow's client."""
        now = time.monotonic()
        balancer = self._path.choose(now)
        if balancer is None:
            return
        self._path.record_sent(now)
        self._sender.send_packet(
            Address(*client[:2]),
            self._service,
            packet,
            balancer,
        )
