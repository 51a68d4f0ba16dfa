"""What a process says of itself, and how it answers a wrong word."""

from attrs import define, evolve, field

from dragonflyshift._internal.membership.digest import MAX_COUNTER
from dragonflyshift._internal.models import (
    Incarnation,
    MemberRecord,
    MemberState,
)


@define(eq=False)
class OwnMember:
    """The record of the process itself.

    ``boots`` holds all boot numbers that this life of the process has
    carried: it adopts a higher one when its clock lags behind that of an
    earlier life.
    """

    record: MemberRecord
    boots: set[int] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with the boot number given."""
        self.boots = {self.record.incarnation.boot}

    def change_state(self, state: MemberState) -> bool:
        """Change the state; going back needs a higher epoch."""
        if state is self.record.state:
            return False
        incarnation = self.record.incarnation
        if state < self.record.state:
            incarnation = _next_epoch(incarnation)
        self.record = evolve(self.record, state=state, incarnation=incarnation)
        return True

    def set_load(self, free_slots: int, queued: int) -> None:
        """Note the load."""
        self.record = evolve(
            self.record,
            free_slots=free_slots,
            queued=queued,
        )

    def hear(self, word: MemberRecord) -> bool:
        """Take in a word on this process; tell whether it was refuted.

        The own state is kept, so a leaving process stays leaving. Only the
        process itself raises its epoch: a higher epoch of the same boot,
        like a higher boot, was said by an earlier life whose clock ran
        ahead. The process then adopts the boot number after it.
        """
        if word.precedence <= self.record.precedence:
            return False
        if word.incarnation == self.record.incarnation:
            incarnation = _next_epoch(self.record.incarnation)
        else:
            incarnation = _next_boot(word.incarnation)
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
