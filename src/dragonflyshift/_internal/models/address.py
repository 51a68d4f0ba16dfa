"""IPv4 address and port."""

import ipaddress
from functools import lru_cache
from typing import Self

from attrs import field, frozen

from dragonflyshift._internal.exceptions import ConfigurationError

MAX_PORT = 65535
MAX_CACHED_ADDRESSES = 65536


@frozen(order=True, cache_hash=True)
class Address:
    """A dotted IPv4 host and a port number.

    Example:
        >>> Address.parse('127.0.0.1:8443').port
        8443
    """

    host: str = field()
    port: int = field()

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse ``host:port``; raise ConfigurationError if it is malformed."""
        host, separator, port_text = text.rpartition(':')
        if not separator or not port_text.isascii():
            raise ConfigurationError(
                f'{text!r} is not an address',
                hint='write it as IPv4:port, such as 192.0.2.1:443',
            )
        try:
            return cls(str(ipaddress.IPv4Address(host)), int(port_text))
        except ValueError as exc:
            raise ConfigurationError(
                f'{text!r} is not an address',
                hint='write it as IPv4:port, such as 192.0.2.1:443',
            ) from exc

    @port.validator
    def _check_port(self, _attribute: object, port: int) -> None:
        if not 0 < port <= MAX_PORT:
            raise ConfigurationError(
                f'port {port} is out of range',
                hint=f'a port lies between 1 and {MAX_PORT}',
            )

    @classmethod
    def from_pair(cls, pair: tuple[str, int]) -> 'Address':
        """Return the address of a socket's ``(host, port)`` pair.

        Addresses are cached, because the packet path uses the same few
        thousand addresses repeatedly.
        """
        return _cached_address(pair)

    def __str__(self) -> str:
        """Format as ``host:port``."""
        return f'{self.host}:{self.port}'

    @property
    def pair(self) -> tuple[str, int]:
        """The ``(host, port)`` pair that the socket functions use."""
        return (self.host, self.port)


@lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def _cached_address(pair: tuple[str, int]) -> Address:
    return Address(*pair)
