"""Who a sidecar is, and the connection ids that it issues."""

import time

from attrs import define

from dragonflyshift._internal.models import Address
from dragonflyshift._internal.wire import ConnectionIdCodec, IssuedId

BOOT_BITS = 32


def new_boot() -> int:
    """Return a boot number above that of an earlier life.

    It is the time in seconds. A peer that remembers a higher one corrects
    it, so a clock that went back does no harm.
    """
    return int(time.time()) % (1 << BOOT_BITS)


@define(eq=False)
class SidecarIdentity:
    """Address, service tag and boot number of a sidecar."""

    address: Address
    tag: int
    boot: int
    codec: ConnectionIdCodec

    def new_id(self) -> bytes:
        """Issue a connection id that names this sidecar."""
        return self.codec.issue(IssuedId(self.address, self.tag, self.boot))
