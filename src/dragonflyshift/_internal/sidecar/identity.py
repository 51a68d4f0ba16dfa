"""Who a sidecar is, and the connection ids that it issues."""

import time

from attrs import define, field

from dragonflyshift._internal.models import Address
from dragonflyshift._internal.wire import ConnectionIdCodec, IssuedId

BOOT_BITS = 32
BOOTS_PER_SECOND = 10
BOOT_EPOCH_SECONDS = 1767225600  # 2026-01-01


def new_boot() -> int:
    """Return a boot number above that of an earlier life.

    It counts tenths of a second, shorter than a process takes to start. A
    peer that remembers a higher one corrects it, so a clock that went back
    does no harm.
    """
    elapsed = max(0, time.time() - BOOT_EPOCH_SECONDS)
    return int(elapsed * BOOTS_PER_SECOND) % (1 << BOOT_BITS)


@define(eq=False)
class SidecarIdentity:
    """Address, service tag and boot number of a sidecar.

    ``first_boot`` is the number that it started with; keys name that one
    also after a peer has corrected ``boot``.
    """

    address: Address
    tag: int
    boot: int
    codec: ConnectionIdCodec
    first_boot: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Keep the first boot number."""
        self.first_boot = self.boot

    def new_id(self) -> bytes:
        """Issue a connection id that names this sidecar."""
        return self.codec.issue(IssuedId(self.address, self.tag, self.boot))
