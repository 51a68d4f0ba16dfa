"""An entry of the member table."""

from attrs import define, evolve

from dragonflyshift._internal.models import MemberRecord, MemberState

_CONFIRMED_STATES = frozenset((MemberState.COLD, MemberState.ALIVE))


@define(eq=False)
class MemberEntry:
    """A member record and the local state of this process about it.

    Times are monotonic seconds. ``suspected_at`` is the start of the timeout
    after which an unresponsive member is declared dead. ``outdated`` is set
    if the record was received before a pause of this process and hasn't been
    confirmed since. ``removed_at`` is set while the member isn't in the
    configuration. ``load_reported_at`` is the time of the last load report.
    """

    record: MemberRecord
    changed_at: float
    suspected_at: float | None = None
    outdated: bool = False
    removed_at: float | None = None
    load_reported_at: float | None = None

    @property
    def effective_record(self) -> MemberRecord:
        """The record; an outdated cold or alive member counts as suspect."""
        if self.outdated and self.record.state in _CONFIRMED_STATES:
            return evolve(self.record, state=MemberState.SUSPECT)
        return self.record

    def replace(self, record: MemberRecord, now: float) -> None:
        """Replace the record; keep the load if the boot number is the same."""
        if record.incarnation.boot == self.record.incarnation.boot:
            record = evolve(
                record,
                free_slots=self.record.free_slots,
                queued=self.record.queued,
            )
        self.record = record
        self.changed_at = now
        self.outdated = False
        suspect = record.state is MemberState.SUSPECT
        self.suspected_at = now if suspect else None
