"""What the members of a service believe of each other."""

import enum

from attrs import frozen

from dragonflyshift._internal.models.address import Address


class MemberState(enum.IntEnum):
    """A member's state; in one epoch a higher value overrides a lower one."""

    COLD = 0
    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@frozen(order=True)
class Incarnation:
    """One life of a process at an address.

    ``boot`` is a 32-bit number that rises with each start at the address,
    ``epoch`` rises when the process itself corrects what others say of it.
    """

    boot: int
    epoch: int = 0


@frozen
class MemberRecord:
    """The newest word on one member."""

    address: Address
    incarnation: Incarnation
    state: MemberState
    free_slots: int = 0
    queued: int = 0

    @property
    def precedence(self) -> tuple[Incarnation, MemberState]:
        """Of two records on one member, that with the higher one holds."""
        return (self.incarnation, self.state)
