"""Loopback networks of their own for clusters that run side by side."""

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
    """A /24 of loopback addresses, held until it is released.

    The lowest free one is taken, so that a run on a quiet machine has the
    same addresses each time.
    """

    number: int
    _lock: socket.socket

    @classmethod
    def claim(cls) -> Self:
        """Take the first network that no other run holds."""
        for number in range(FIRST_NETWORK, LAST_NETWORK + 1):
            lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                lock.bind((_host(number, LOCK_HOST), LOCK_PORT))
            except OSError:
                lock.close()
                continue
            return cls(number, lock)
        raise OSError('no loopback network is free')

    def host(self, number: int) -> str:
        """Return the IP of one host of the network."""
        return _host(self.number, number)

    def address(self, number: int, port: int) -> Address:
        """Return an address on one host of the network."""
        return Address(self.host(number), port)

    def release(self) -> None:
        """Let another run take the network."""
        self._lock.close()


def _host(network: int, number: int) -> str:
    return f'127.0.{network}.{number}'
