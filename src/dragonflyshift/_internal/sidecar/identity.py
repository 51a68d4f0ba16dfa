"""The identity of a sidecar, and the connection ids that it issues."""

import time

from attrs import define, field

from dragonflyshift._internal.models import Address
from dragonflyshift._internal.wire import (
    ConnectionIdCodec,
    ConnectionIdContents,
)

BOOT_BITS = 32
BOOTS_PER_SECOND = 10
BOOT_EPOCH_SECONDS = 1767225600  # 2026-01-01


def new_boot() -> int:
    """Return a boot number that is greater than those of earlier processes.

    It counts tenths of a second, which is less than a process takes to start.
    If the clock has been set back, a peer that has a record with a higher
    boot number corrects this one.
    """
    elapsed = max(0, time.time() - BOOT_EPOCH_SECONDS)
    return int(elapsed * BOOTS_PER_SECOND) % (1 << BOOT_BITS)


@define(eq=False)
class SidecarIdentity:
    """Address, service tag and boot number of a sidecar.

    ``first_boot`` is the boot number at the start of the process. Idempotency
    keys contain it even after a peer has corrected ``boot``.
    """

    address: Address
    tag: int
    boot: int
    codec: ConnectionIdCodec
    first_boot: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Store the first boot number."""
        self.first_boot = self.boot

    def new_id(self) -> bytes:
        """Issue a connection id that identifies this sidecar."""
        return self.codec.issue(
            ConnectionIdContents(self.address, self.tag, self.boot)
        )
