"""Datagram body in which a sidecar reports the balancers that it has seen.

Each entry is an address of six bytes and the time since the last datagram of
that balancer, in milliseconds as 16 bits.
"""

import struct
from typing import Self

from attrs import frozen

from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.wire.envelope import (
    pack_address,
    require_address,
)

MAX_REPORTED_BALANCERS = 8
MAX_AGE_MS = 0xFFFF
_ENTRY = struct.Struct('!6sH')


@frozen
class ReportedBalancer:
    """A balancer and the milliseconds since its last datagram."""

    address: Address
    age_ms: int


@frozen
class BalancerReport:
    """The balancers that a sidecar has seen, at least one.

    Example:
        >>> balancer = ReportedBalancer(Address('192.0.2.1', 7000), 120)
        >>> report = BalancerReport((balancer,))
        >>> BalancerReport.decode(report.encode()) == report
        True
    """

    balancers: tuple[ReportedBalancer, ...]

    def encode(self) -> bytes:
        """Return the datagram body."""
        return b''.join(
            _ENTRY.pack(
                pack_address(each.address), min(each.age_ms, MAX_AGE_MS)
            )
            for each in self.balancers
        )

    @classmethod
    def decode(cls, body: bytes) -> Self:
        """Read a datagram body; raise WireError if it is malformed."""
        count, rest = divmod(len(body), _ENTRY.size)
        if rest or not 0 < count <= MAX_REPORTED_BALANCERS:
            raise WireError(
                f'report of balancers of {len(body)} bytes is malformed'
            )
        return cls(
            tuple(
                ReportedBalancer(require_address(raw), age_ms)
                for raw, age_ms in _ENTRY.iter_unpack(body)
            )
        )
