"""What a table keeps beside a member's record."""

from attrs import define, evolve

from dragonflyshift._internal.models import MemberRecord, MemberState

_TRUSTED_STATES = frozenset((MemberState.COLD, MemberState.ALIVE))


@define(eq=False)
class Entry:
    """One member's record and the local knowledge about it.

    Times are monotonic seconds. ``suspected_at`` starts the timeout after
    which a silent member is declared dead. ``doubtful`` says that the record
    stems from before a pause of this process. ``removed_at`` is set while
    the configuration does not name the member, ``load_at`` when the member
    last told its load.
    """

    record: MemberRecord
    changed_at: float
    suspected_at: float | None = None
    doubtful: bool = False
    removed_at: float | None = None
    load_at: float | None = None

    @property
    def believed(self) -> MemberRecord:
        """The record with the local doubt applied."""
        if self.doubtful and self.record.state in _TRUSTED_STATES:
            return evolve(self.record, state=MemberState.SUSPECT)
        return self.record

    def replace(self, record: MemberRecord, now: float) -> None:
        """Take over a newer word; keep the load within one life."""
        if record.incarnation.boot == self.record.incarnation.boot:
            record = evolve(
                record,
                free_slots=self.record.free_slots,
                queued=self.record.queued,
            )
        self.record = record
        self.changed_at = now
        self.doubtful = False
        suspect = record.state is MemberState.SUSPECT
        self.suspected_at = now if suspect else None
