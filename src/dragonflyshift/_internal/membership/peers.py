"""Selection of members that may be contacted."""

__all__ = ('live_peers',)

from dragonflyshift._internal.membership.table import MemberTable
from dragonflyshift._internal.models import Address, MemberState


def live_peers(members: MemberTable) -> tuple[Address, ...]:
    """Return the addresses of the other members that are not dead."""
    own_address = members.own.record.address if members.own else None
    return tuple(
        record.address
        for record in members.records()
        if record.address != own_address
        and record.state is not MemberState.DEAD
    )
