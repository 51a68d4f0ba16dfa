"""The member record of the process itself and its refutations."""

from attrs import define, evolve, field

from dragonflyshift._internal.membership.digest import MAX_COUNTER
from dragonflyshift._internal.models import (
    Incarnation,
    MemberRecord,
    MemberState,
)


@define(eq=False)
class OwnMember:
    """The member record of the process itself.

    ``boots`` holds all boot numbers that this process has used. It adopts a
    higher one if peers hold a record of an earlier process at the address
    with a higher boot number, which happens if the clock was set back.
    """

    record: MemberRecord
    boots: set[int] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with the boot number of the record."""
        self.boots = {self.record.incarnation.boot}

    def change_state(self, state: MemberState) -> bool:
        """Change the state; return whether it changed.

        A lower state overrides a higher one only with a higher epoch.
        """
        if state is self.record.state:
            return False
        incarnation = self.record.incarnation
        if state < self.record.state:
            incarnation = _next_epoch(incarnation)
        self.record = evolve(self.record, state=state, incarnation=incarnation)
        return True

    def set_load(self, free_slots: int, queued: int) -> None:
        """Set the load of the record."""
        self.record = evolve(
            self.record,
            free_slots=free_slots,
            queued=queued,
        )

    def refute(self, record: MemberRecord) -> bool:
        """Raise the incarnation if a record would override the own one.

        Returns whether the own record changed. The own state is kept, so a
        leaving process stays leaving. Only the process itself raises its
        epoch, so a higher epoch of the same boot number, like a higher boot
        number, comes from an earlier process at this address whose clock was
        ahead. The process then adopts the next boot number.
        """
        if record.precedence <= self.record.precedence:
            return False
        if record.incarnation == self.record.incarnation:
            incarnation = _next_epoch(self.record.incarnation)
        else:
            incarnation = _next_boot(record.incarnation)
        if incarnation == self.record.incarnation:
            return False
        self.boots.add(incarnation.boot)
        self.record = evolve(self.record, incarnation=incarnation)
        return True


def _next_epoch(incarnation: Incarnation) -> Incarnation:
    if incarnation.epoch < MAX_COUNTER:
        return evolve(incarnation, epoch=incarnation.epoch + 1)
    return _next_boot(incarnation)


def _next_boot(incarnation: Incarnation) -> Incarnation:
    return Incarnation(min(incarnation.boot + 1, MAX_COUNTER))
