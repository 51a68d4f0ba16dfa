"""The balancer's UDP sockets for the service addresses."""

import logging
from collections.abc import Callable, Iterable

from dragonflyshift._internal.exceptions import SettingsError
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.utils.udp import DatagramSocket

logger = logging.getLogger(__name__)

ClientPacketHandler = Callable[[Address, bytes, Address], None]


class ServiceSockets:
    """One UDP socket for each service address.

    A socket stays open after its address is removed from the configuration,
    as flows may still use it. Each packet is mapped to a service on arrival.
    """

    def __init__(self, entry_ip: str, receiver: ClientPacketHandler) -> None:
        """Bind on ``entry_ip``, or on each address's host if it is empty."""
        self._entry_ip = entry_ip
        self._receiver = receiver
        self._sockets: dict[Address, DatagramSocket] = {}

    def open(self, addresses: Iterable[Address]) -> None:
        """Bind the addresses that are not bound yet.

        An address that can't be bound is logged and skipped.
        """
        for address in addresses:
            if address not in self._sockets:
                self._bind_socket(address)

    def send(self, service: Address, packet: bytes, client: Address) -> None:
        """Send a packet to a client from a service address.

        The packet is dropped if no socket is bound to that address.
        """
        sock = self._sockets.get(service)
        if sock is not None:
            sock.send(packet, client)

    def close(self) -> None:
        """Close all sockets."""
        for sock in self._sockets.values():
            sock.close()
        self._sockets.clear()

    def _bind_socket(self, address: Address) -> None:
        host = self._entry_ip or address.host

        def receive(packet: bytes, client: Address) -> None:  # noqa: WPS430 -- binds address
            self._receiver(address, packet, client)

        try:
            sock = DatagramSocket.bind(Address(host, address.port), receive)
        except SettingsError as exc:
            logger.error('service-address-failed', extra={'reason': str(exc)})
            return
        self._sockets[address] = sock
