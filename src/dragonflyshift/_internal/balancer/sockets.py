"""The balancer's sockets on the service addresses."""

import logging
from collections.abc import Callable, Iterable

from dragonflyshift._internal.exceptions import SettingsError
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.utils.udp import DatagramSocket

logger = logging.getLogger(__name__)

PacketReceiver = Callable[[Address, bytes, Address], None]


class ServiceSockets:
    """One UDP socket for each service address.

    A socket stays open when its address leaves the register, since flows may
    still run on it; packets are mapped to a service when they arrive.
    """

    def __init__(self, entry_ip: str, receiver: PacketReceiver) -> None:
        """Bind to ``entry_ip`` instead of the address's own host if set."""
        self._entry_ip = entry_ip
        self._receiver = receiver
        self._sockets: dict[Address, DatagramSocket] = {}

    def open(self, addresses: Iterable[Address]) -> None:
        """Bind what is not bound yet; an address in use is logged."""
        for address in addresses:
            if address not in self._sockets:
                self._open_one(address)

    def send(self, service: Address, packet: bytes, client: Address) -> None:
        """Send a packet to a client from a service address."""
        sock = self._sockets.get(service)
        if sock is not None:
            sock.send(packet, client)

    def close(self) -> None:
        """Close all sockets."""
        for sock in self._sockets.values():
            sock.close()
        self._sockets.clear()

    def _open_one(self, address: Address) -> None:
        host = self._entry_ip or address.host

        def receive(packet: bytes, client: Address) -> None:  # noqa: WPS430 -- binds address
            self._receiver(address, packet, client)

        try:
            sock = DatagramSocket.bind(Address(host, address.port), receive)
        except SettingsError as exc:
            logger.error('service-address-failed', extra={'reason': str(exc)})
            return
        self._sockets[address] = sock
