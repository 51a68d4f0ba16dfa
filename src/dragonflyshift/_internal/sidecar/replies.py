"""Send replies to clients, wrapped in datagrams to balancers.

A reply carries the membership digest of the service if the balancer reported
a different view, so that control traffic is proportional to changes and not
to client traffic.
"""

import os
import time
from collections.abc import Callable
from typing import Any

from attrs import define, evolve

from dragonflyshift._internal.models import Address
from dragonflyshift._internal.recovery import BalancerDirectory, ReturnPath
from dragonflyshift._internal.sidecar.balancer_views import BalancerViews
from dragonflyshift._internal.wire import (
    DatagramCodec,
    DatagramKind,
    ForwardEnvelope,
    ReplyEnvelope,
)

MAX_REPLY_PAYLOAD_BYTES = 1350
_SHORT_HEADER = 0x40
_SHORT_HEADER_MASK = 0x3F


@define
class ServiceView:
    """A sidecar's view of the members, and its configuration version.

    ``digest`` is empty if the view must not be sent.
    """

    digest_hash: bytes
    digest: bytes
    version: int


class ReplySender:
    """Wraps replies and sends them through balancers."""

    def __init__(
        self,
        tag: int,
        codec: DatagramCodec,
        send: Callable[[bytes, Address], None],
        service_view: Callable[[], ServiceView],
        directory: BalancerDirectory,
    ) -> None:
        """Send datagrams with ``send`` and the view from ``service_view``."""
        self._tag = tag
        self._codec = codec
        self._send = send
        self._service_view = service_view
        self._views = BalancerViews()
        self.directory = directory

    def note_balancer(self, forward: ForwardEnvelope) -> None:
        """Record the view that a balancer reports and whether it leaves."""
        now = time.monotonic()
        self.directory.record(
            forward.balancer,
            now,
            leaving=forward.leaving,
        )
        self._views.update(forward.balancer, forward.digest_hash)

    def open_path(self, forward: ForwardEnvelope) -> 'ReplyPath':
        """Return the reply path of the flow that a packet starts."""
        return ReplyPath(self, forward)

    def reply_to(self, forward: ForwardEnvelope, packet: bytes) -> None:
        """Reply to a packet through the balancer that delivered it.

        The reply carries the tag of the packet, which differs from the own
        tag if the packet was delivered to the wrong service.
        """
        reply = ReplyEnvelope(
            tag=forward.tag,
            client=forward.client,
            service=forward.service,
            packet=packet,
        )
        self._seal_and_send(reply, forward.balancer)

    def send_reset(
        self, forward: ForwardEnvelope, size: int, token: bytes
    ) -> None:
        """Send a stateless reset of ``size`` bytes that ends in a token."""
        filler = bytearray(os.urandom(size - len(token)))
        filler[0] = _SHORT_HEADER | (filler[0] & _SHORT_HEADER_MASK)
        self.reply_to(forward, bytes(filler) + token)

    def send_packet(
        self,
        client: Address,
        service: Address,
        packet: bytes,
        balancer: Address,
    ) -> None:
        """Wrap and send a packet, with the digest if it is due."""
        service_view = self._service_view()
        digest = self._digest_for(balancer, service_view)
        reply = ReplyEnvelope(
            tag=self._tag,
            client=client,
            service=service,
            packet=packet,
            version=service_view.version,
            digest=digest,
        )
        if digest and len(packet) + len(digest) > MAX_REPLY_PAYLOAD_BYTES:
            # Together they would exceed the MTU of the path.
            self._seal_and_send(evolve(reply, packet=b''), balancer)
            reply = evolve(reply, digest=b'')
        self._seal_and_send(reply, balancer)

    def _seal_and_send(self, reply: ReplyEnvelope, balancer: Address) -> None:
        self._send(
            self._codec.seal(DatagramKind.REPLY, reply.encode()), balancer
        )

    def _digest_for(
        self,
        balancer: Address,
        service_view: ServiceView,
    ) -> bytes:
        if not service_view.digest:
            return b''
        now = time.monotonic()
        due = self._views.take_due(balancer, service_view.digest_hash, now)
        return service_view.digest if due else b''


class ReplyPath:
    """The transport of one flow; aioquic's protocol calls ``sendto``."""

    def __init__(self, sender: ReplySender, forward: ForwardEnvelope) -> None:
        """Set the service address of the packet that starts the flow."""
        self._sender = sender
        self._service = forward.service
        self._path = ReturnPath(sender.directory)

    def note_delivery(self, forward: ForwardEnvelope) -> None:
        """Record that a balancer delivered a packet of the flow."""
        self._service = forward.service
        self._path.record_delivery(forward.balancer, time.monotonic())

    def sendto(self, packet: bytes, client: Any) -> None:
        """Send a packet to the client; drop it if no balancer is known."""
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
