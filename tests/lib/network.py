"""Separate loopback networks for clusters that run concurrently."""

import socket
from typing import Self

from attrs import frozen

from dragonflyshift._internal.models import Address

FIRST_NETWORK = 1
LAST_NETWORK = 200
LOCK_HOST = 250
LOCK_PORT = 9


@frozen
class Network:
    """A /24 network of loopback addresses, reserved until it is released.

    A bound UDP socket in the network serves as the lock.
    """

    number: int
    _lock: socket.socket

    @classmethod
    def claim(cls) -> Self:
        """Reserve the lowest network that no other run has reserved.

        A run on an otherwise idle machine thus has the same addresses each
        time. Raises OSError if none is free.
        """
        for number in range(FIRST_NETWORK, LAST_NETWORK + 1):
            lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                lock.bind((_host(number, LOCK_HOST), LOCK_PORT))
            except OSError:
                lock.close()
                continue
            return cls(number, lock)
        raise OSError(
            f'no loopback network is free ({FIRST_NETWORK} to {LAST_NETWORK})'
        )

    def host(self, number: int) -> str:
        """Return the IP address of a host of the network."""
        return _host(self.number, number)

    def address(self, number: int, port: int) -> Address:
        """Return the address of a port on a host of the network."""
        return Address(self.host(number), port)

    def release(self) -> None:
        """Release the network for other runs."""
        self._lock.close()


def _host(network: int, number: int) -> str:
    return f'127.0.{network}.{number}'


def free_address() -> Address:
    """Return a loopback address on which nothing listens."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        return Address(*server.getsockname())
