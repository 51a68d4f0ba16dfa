"""The view that a process has of the members of one service.

A merge keeps the record with the highest precedence of each member. This is the
maximum of a total order, so views converge whatever the order in which records
are received, and even if they are received several times.
"""

from collections.abc import Iterable

from attrs import evolve
from reactivex import Observable
from reactivex.subject import Subject

from dragonflyshift._internal.membership.digest import (
    encode_digest,
    hash_digest,
)
from dragonflyshift._internal.membership.entries import MemberEntries
from dragonflyshift._internal.membership.own import OwnMember
from dragonflyshift._internal.models import (
    Address,
    Incarnation,
    MemberRecord,
    MemberState,
)

SUSPICION_TIMEOUT_S = 3.0


class MemberTable:
    """Member records of one service, merged by precedence.

    ``own`` is the member of the process itself; a balancer, which isn't a
    member, has none. ``changes`` emits the records that a call changed as one
    tuple. Changes of the load are not emitted.

    The effective record of another member is its merged record, but with the
    state suspect if the merged record is cold or alive and outdated, that is,
    not confirmed since the last pause of this process. The own record is
    used as it is.

    Example:
        >>> table = MemberTable(None)
        >>> record = MemberRecord(
        ...     Address('192.0.2.1', 443), Incarnation(7), MemberState.LEAVING
        ... )
        >>> table.merge([record], now=0.0) == (record,)
        True
        >>> table.state_of(record.address).name
        'LEAVING'
    """

    def __init__(
        self,
        own: MemberRecord | None,
        suspicion_timeout: float = SUSPICION_TIMEOUT_S,
    ) -> None:
        """Create a table that contains only the own record.

        A suspect that doesn't refute the suspicion within
        ``suspicion_timeout`` seconds is declared dead.
        """
        self.own = OwnMember(own) if own else None
        self._entries = MemberEntries(suspicion_timeout)
        self._changes: Subject[tuple[MemberRecord, ...]] = Subject()
        self._digest: bytes | None = None
        self._has_outdated: bool | None = None

    @property
    def changes(self) -> Observable[tuple[MemberRecord, ...]]:
        """An observable of changed records."""
        return self._changes

    @property
    def has_outdated_records(self) -> bool:
        """Whether a record hasn't been confirmed since the last pause."""
        if self._has_outdated is None:
            self._has_outdated = any(
                entry.outdated for entry in self._entries.configured_entries()
            )
        return self._has_outdated

    @property
    def digest(self) -> bytes:
        """The encoded records of all configured members."""
        if self._digest is None:
            self._digest = encode_digest(self.digest_records())
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
        """Merge records; return the effective records that changed."""
        changed = []
        for record in records:
            if self.own and record.address == self.own.record.address:
                accepted = self.own.refute(record)
            else:
                accepted = self._entries.merge(record, now)
            if accepted:
                changed.append(record.address)
        return self._publish(changed)

    def set_own_state(self, state: MemberState) -> None:
        """Set the own state."""
        if self.own and self.own.change_state(state):
            self._publish([self.own.record.address])

    def set_own_load(self, free_slots: int, queued: int) -> None:
        """Set the own load."""
        if self.own:
            self.own.set_load(free_slots, queued)

    def update_load(
        self,
        address: Address,
        free_slots: int,
        queued: int,
        now: float,
    ) -> None:
        """Set the load that a member reported of itself at ``now``."""
        entry = self._entries.find(address)
        if entry is not None:
            entry.load_reported_at = now
            entry.record = evolve(
                entry.record,
                free_slots=free_slots,
                queued=queued,
            )

    def suspect(self, address: Address, now: float) -> None:
        """Mark a member that did not acknowledge a probe as suspect.

        A leaving member stays leaving, but its suspicion timeout starts, too.
        """
        entry = self._entries.find(address)
        if entry is None:
            unknown = MemberRecord(address, Incarnation(0), MemberState.SUSPECT)
            self.merge((unknown,), now)
            return
        if entry.record.state is MemberState.DEAD:
            return
        self.merge((evolve(entry.record, state=MemberState.SUSPECT),), now)
        if entry.suspected_at is None:
            entry.suspected_at = now

    def declare_suspects_dead(self, now: float) -> tuple[MemberRecord, ...]:
        """Declare suspects dead whose timeout has passed; return them."""
        self._entries.evict_removed(now)
        return self.merge(self._entries.dead_records(now), now)

    def mark_records_outdated(self, now: float) -> None:
        """Mark the records of all other members as outdated after a pause.

        The mark is local: it is neither encoded nor sent. The timeouts of
        suspects restart, because a refutation may be in a receive buffer.
        """
        self._publish(self._entries.mark_outdated(now))

    def record(self, address: Address) -> MemberRecord | None:
        """Return the effective record of a member, or None."""
        if self.own and address == self.own.record.address:
            return self.own.record
        entry = self._entries.find(address)
        return entry.effective_record if entry else None

    def records(self) -> tuple[MemberRecord, ...]:
        """Return the effective records of all members and the own record."""
        effective_records = tuple(
            entry.effective_record
            for entry in self._entries.configured_entries()
        )
        return (
            (*effective_records, self.own.record)
            if self.own
            else effective_records
        )

    def state_of(self, address: Address) -> MemberState:
        """Return the state of a member; an unknown member counts as alive.

        It is in the configuration, so it may be used.
        """
        record = self.record(address)
        return record.state if record else MemberState.ALIVE

    def digest_records(self) -> tuple[MemberRecord, ...]:
        """Return the records of the digest, the last changed first.

        These are the received records, even if they are outdated.
        """
        entries = sorted(
            self._entries.configured_entries(),
            key=lambda entry: entry.changed_at,
            reverse=True,
        )
        others = tuple(entry.record for entry in entries)
        if self.own and self._entries.is_configured(self.own.record.address):
            return (self.own.record, *others)
        return others

    def set_configured_members(
        self, addresses: Iterable[Address], now: float
    ) -> None:
        """Set the members that are in the configuration."""
        self._entries.set_configured_members(addresses, now)
        self._digest = None
        self._has_outdated = None

    def _publish(self, addresses: list[Address]) -> tuple[MemberRecord, ...]:
        if not addresses:
            return ()
        self._digest = None
        self._has_outdated = None
        found = (self.record(address) for address in addresses)
        records = tuple(record for record in found if record)
        if records:
            self._changes.on_next(records)
        return records
