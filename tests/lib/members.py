"""Builders of member records."""

from dragonflyshift._internal.models import (
    Address,
    Incarnation,
    MemberRecord,
    MemberState,
)

PORT = 4433


def address_of(number: int) -> Address:
    """Return the address of the member with a number below 65,536."""
    return Address(f'127.1.{number >> 8}.{number & 255}', PORT)


def build_member(
    number: int = 1,
    boot: int = 1,
    epoch: int = 0,
    state: MemberState = MemberState.ALIVE,
) -> MemberRecord:
    """Build a record of a member."""
    return MemberRecord(address_of(number), Incarnation(boot, epoch), state)
