"""Membership records that the members of a service exchange."""

import enum

from attrs import frozen

from dragonflyshift._internal.models.address import Address


class MemberState(enum.IntEnum):
    """A member's state.

    Within one epoch, a higher value overrides a lower one.
    """

    COLD = 0
    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@frozen(order=True)
class Incarnation:
    """Identifies one run of a process at an address.

    ``boot`` is a 32-bit number that increases with each start at the address.
    ``epoch`` increases when the process refutes a state that other members
    report for it.
    """

    boot: int
    epoch: int = 0


@frozen
class MemberRecord:
    """The newest known state and load of one member."""

    address: Address
    incarnation: Incarnation
    state: MemberState
    free_slots: int = 0
    queued: int = 0

    @property
    def precedence(self) -> tuple[Incarnation, MemberState]:
        """Sort key: of two records on a member, the higher one is valid."""
        return (self.incarnation, self.state)
