"""A sidecar's datagrams: from balancers and from other sidecars."""

import logging
import time
from collections.abc import Callable

from dragonflyshift._internal.exceptions import MembershipError, WireError
from dragonflyshift._internal.kernel.settings import Settings
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.telemetry import Metrics
from dragonflyshift._internal.utils.udp import DatagramSocket
from dragonflyshift._internal.wire import (
    DatagramCodec,
    Forward,
    Kind,
    Opened,
)

logger = logging.getLogger(__name__)

ForwardHandler = Callable[[Forward], None]
MembershipHandler = Callable[[Kind, bytes, Address, float], None]


class DatagramLink:
    """Authenticate datagrams and dispatch them by kind."""

    def __init__(self, settings: Settings, metrics: Metrics) -> None:
        """Prepare the codec; ``open`` binds the socket."""
        self._listen = settings.listen
        self._metrics = metrics
        self._socket: DatagramSocket | None = None
        self._forwarded: ForwardHandler | None = None
        self._membership: MembershipHandler | None = None
        self.codec = DatagramCodec(settings.fleet_keys)

    def open(
        self,
        forwarded: ForwardHandler,
        membership: MembershipHandler,
    ) -> None:
        """Bind the socket and hand what arrives to the two handlers."""
        self._forwarded = forwarded
        self._membership = membership
        self._socket = DatagramSocket.bind(self._listen, self._receive)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def send(self, datagram: bytes, address: Address) -> None:
        """Send a sealed datagram; nothing once the socket is closed."""
        if self._socket is not None:
            self._socket.send(datagram, address)

    def send_membership(
        self,
        address: Address,
        kind: Kind,
        body: bytes,
    ) -> None:
        """Send a message of membership to a peer."""
        datagram = self.codec.seal(kind, body)
        self._metrics.incr('control-bytes', len(datagram))
        self.send(datagram, address)

    def relay(self, forward: Forward, peer: Address) -> None:
        """Pass a packet of a new flow on to a peer."""
        self.send(self.codec.seal(Kind.RELAY, forward.relayed()), peer)

    def _receive(self, datagram: bytes, sender: Address) -> None:
        try:
            self._dispatch(self.codec.open(datagram), sender)
        except (WireError, MembershipError) as exc:
            self._metrics.incr('dropped.unauthentic')
            logger.debug('datagram-refused', extra={'reason': exc.message})

    def _dispatch(self, opened: Opened, sender: Address) -> None:
        if opened.kind is Kind.REPLY:
            raise WireError('a sidecar takes no replies')
        if opened.kind in {Kind.FORWARD, Kind.RELAY}:
            if self._forwarded is not None:
                self._forwarded(Forward.decode(opened.body))
        elif self._membership is not None:
            now = time.monotonic()
            self._membership(opened.kind, opened.body, sender, now)
