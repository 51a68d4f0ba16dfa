"""The view that a process holds of the members of one service.

Merging keeps for each member the record of the highest precedence. That is a
maximum over a total order, so views converge whatever the order in which
words arrive, and however often.
"""

from collections.abc import Iterable

from attrs import evolve
from reactivex import Observable
from reactivex.subject import Subject

from dragonflyshift._internal.membership.digest import (
    encode_digest,
    hash_digest,
)
from dragonflyshift._internal.membership.own import OwnMember
from dragonflyshift._internal.membership.roster import Roster
from dragonflyshift._internal.models import (
    Address,
    Incarnation,
    MemberRecord,
    MemberState,
)

SUSPICION_TIMEOUT_S = 3.0


class MemberTable:
    """Member records of one service, merged by precedence.

    ``own`` is the process itself; a balancer, which only listens, has none.
    ``changes`` emits the records that a call changed, as one tuple; changes
    of load are not emitted.

    Example:
        >>> table = MemberTable(None)
        >>> word = MemberRecord(
        ...     Address('192.0.2.1', 443), Incarnation(7), MemberState.LEAVING
        ... )
        >>> table.merge([word], now=0.0) == (word,)
        True
        >>> table.state_of(word.address).name
        'LEAVING'
    """

    def __init__(
        self,
        own: MemberRecord | None,
        suspicion_timeout: float = SUSPICION_TIMEOUT_S,
    ) -> None:
        """Start with the own record alone.

        A suspect that does not refute within ``suspicion_timeout`` seconds
        is declared dead.
        """
        self.own = OwnMember(own) if own else None
        self._roster = Roster(suspicion_timeout)
        self._changes: Subject[tuple[MemberRecord, ...]] = Subject()
        self._digest: bytes | None = None
        self._doubtful: bool | None = None

    @property
    def changes(self) -> Observable[tuple[MemberRecord, ...]]:
        """The stream of changed records."""
        return self._changes

    @property
    def doubtful(self) -> bool:
        """Whether a member has not been heard of since the last pause."""
        if self._doubtful is None:
            self._doubtful = any(
                entry.doubtful for entry in self._roster.visible()
            )
        return self._doubtful

    @property
    def digest(self) -> bytes:
        """The records of all members that the configuration names."""
        if self._digest is None:
            self._digest = encode_digest(self.stored())
        return self._digest

    @property
    def hash(self) -> bytes:
        """The hash of the digest."""
        return hash_digest(self.digest)

    def merge(
        self,
        records: Iterable[MemberRecord],
        now: float,
    ) -> tuple[MemberRecord, ...]:
        """Take in words on members; return the records that changed."""
        changed = []
        for record in records:
            if self.own and record.address == self.own.record.address:
                accepted = self.own.hear(record)
            else:
                accepted = self._roster.accept(record, now)
            if accepted:
                changed.append(record.address)
        return self._publish(changed)

    def set_own_state(self, state: MemberState) -> None:
        """Change the own state."""
        if self.own and self.own.change_state(state):
            self._publish([self.own.record.address])

    def set_load(self, free_slots: int, queued: int) -> None:
        """Note the own load."""
        if self.own:
            self.own.set_load(free_slots, queued)

    def note_load(
        self,
        address: Address,
        free_slots: int,
        queued: int,
        now: float,
    ) -> None:
        """Note the load that a member itself has told at ``now``."""
        entry = self._roster.find(address)
        if entry is not None:
            entry.load_at = now
            entry.record = evolve(
                entry.record,
                free_slots=free_slots,
                queued=queued,
            )

    def suspect(self, address: Address, now: float) -> None:
        """Take note that a member did not answer.

        A leaving member stays leaving, but its timeout starts as well.
        """
        entry = self._roster.find(address)
        if entry is None:
            unheard = MemberRecord(address, Incarnation(0), MemberState.SUSPECT)
            self.merge((unheard,), now)
            return
        if entry.record.state is MemberState.DEAD:
            return
        self.merge((evolve(entry.record, state=MemberState.SUSPECT),), now)
        if entry.suspected_at is None:
            entry.suspected_at = now

    def expire_suspects(self, now: float) -> tuple[MemberRecord, ...]:
        """Declare members dead that did not refute in time."""
        self._roster.drop_removed(now)
        return self.merge(self._roster.expired(now), now)

    def forget_beliefs(self, now: float) -> None:
        """Doubt all that was believed of others before a pause.

        The doubt is local: it is neither encoded nor sent. Timeouts of
        suspicions start anew, for the refutation may wait in a buffer.
        """
        self._publish(self._roster.doubt(now))

    def record(self, address: Address) -> MemberRecord | None:
        """Return what is believed of a member, or None if it is unknown."""
        if self.own and address == self.own.record.address:
            return self.own.record
        entry = self._roster.find(address)
        return entry.believed if entry else None

    def records(self) -> tuple[MemberRecord, ...]:
        """Return what is believed of all members, the own record included."""
        believed = tuple(entry.believed for entry in self._roster.visible())
        return (*believed, self.own.record) if self.own else believed

    def state_of(self, address: Address) -> MemberState:
        """Return a member's state; one never heard of counts as alive.

        The configuration names it, so it may be tried.
        """
        record = self.record(address)
        return record.state if record else MemberState.ALIVE

    def stored(self) -> tuple[MemberRecord, ...]:
        """Return the records of the digest, the last changed first."""
        entries = sorted(
            self._roster.visible(),
            key=lambda entry: entry.changed_at,
            reverse=True,
        )
        others = tuple(entry.record for entry in entries)
        if self.own and self._roster.allows(self.own.record.address):
            return (self.own.record, *others)
        return others

    def retain(self, addresses: Iterable[Address], now: float) -> None:
        """Keep to the members that the configuration names."""
        self._roster.retain(addresses, now)
        self._digest = None
        self._doubtful = None

    def _publish(self, addresses: list[Address]) -> tuple[MemberRecord, ...]:
        if not addresses:
            return ()
        self._digest = None
        self._doubtful = None
        found = (self.record(address) for address in addresses)
        records = tuple(record for record in found if record)
        if records:
            self._changes.on_next(records)
        return records
