"""The datagrams that a sidecar exchanges with balancers and sidecars."""

import logging
import struct
import time
from collections.abc import Callable

from attrs import frozen

from dragonflyshift._internal.exceptions import MembershipError, WireError
from dragonflyshift._internal.kernel.settings import Settings
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.telemetry import Metrics
from dragonflyshift._internal.utils.udp import DatagramSocket
from dragonflyshift._internal.wire import (
    DatagramCodec,
    DatagramKind,
    ForwardEnvelope,
    VerifiedDatagram,
)
from dragonflyshift._internal.wire.datagram import HEADER_BYTES

logger = logging.getLogger(__name__)

_OFFER = struct.Struct('!I')


@frozen
class LinkHandlers:
    """Handlers for packets of flows and for messages of other sidecars."""

    on_forward: Callable[[ForwardEnvelope], None]
    on_membership: Callable[[DatagramKind, bytes, Address, float], None]
    on_offer: Callable[[Address], None]
    on_balancers: Callable[[bytes, float], None]


class DatagramLink:
    """Authenticates datagrams and dispatches them by kind."""

    def __init__(
        self,
        settings: Settings,
        tag: int,
        metrics: Metrics,
    ) -> None:
        """Create the codec; ``open`` binds the socket."""
        self._listen = settings.listen
        self._tag = tag
        self._metrics = metrics
        self._socket: DatagramSocket | None = None
        self._handlers: LinkHandlers | None = None
        self.codec = DatagramCodec(settings.fleet_keys)

    def open(self, handlers: LinkHandlers) -> None:
        """Bind the socket and dispatch datagrams to ``handlers``."""
        self._handlers = handlers
        self._socket = DatagramSocket.bind(self._listen, self._receive)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def send(self, datagram: bytes, address: Address) -> None:
        """Send a sealed datagram; do nothing if the socket is closed."""
        if self._socket is not None:
            self._socket.send(datagram, address)

    def send_to_peer(
        self,
        address: Address,
        kind: DatagramKind,
        body: bytes,
    ) -> None:
        """Send a message of this kind to another sidecar."""
        datagram = self.codec.seal(kind, body)
        self._metrics.incr('control-bytes', len(datagram))
        self.send(datagram, address)

    def relay(self, forward: ForwardEnvelope, peer: Address) -> None:
        """Pass a packet of a new flow on to a peer."""
        self.send(
            self.codec.seal(DatagramKind.RELAY, forward.encode_relayed()), peer
        )

    def send_offer(self, peer: Address) -> None:
        """Offer a free slot to a peer."""
        self._metrics.incr('control-bytes', HEADER_BYTES + _OFFER.size)
        self.send(
            self.codec.seal(DatagramKind.OFFER, _OFFER.pack(self._tag)), peer
        )

    def _receive(self, datagram: bytes, sender: Address) -> None:
        try:
            self._dispatch(self.codec.open(datagram), sender)
        except (WireError, MembershipError) as exc:
            self._metrics.incr('dropped.unauthentic')
            logger.debug('datagram-refused', extra={'reason': exc.message})

    def _dispatch(self, opened: VerifiedDatagram, sender: Address) -> None:
        if self._handlers is None:
            return
        match opened.kind:
            case DatagramKind.REPLY:
                raise WireError('a sidecar accepts no replies')
            case DatagramKind.FORWARD | DatagramKind.RELAY:
                self._handlers.on_forward(ForwardEnvelope.decode(opened.body))
            case DatagramKind.OFFER:
                self._receive_offer(opened.body, sender)
            case DatagramKind.BALANCERS:
                self._handlers.on_balancers(opened.body, time.monotonic())
            case kind:
                now = time.monotonic()
                self._handlers.on_membership(kind, opened.body, sender, now)

    def _receive_offer(self, body: bytes, sender: Address) -> None:
        if body != _OFFER.pack(self._tag):
            raise WireError('the offer is for another service')
        if self._handlers is not None:
            self._handlers.on_offer(sender)
