"""The records of other members, and which of them count."""

from collections.abc import Iterable

from attrs import evolve

from dragonflyshift._internal.membership.entry import Entry
from dragonflyshift._internal.models import Address, MemberRecord, MemberState

REMOVED_RETENTION_S = 300.0
MAX_REMOVED = 256
MAX_MEMBERS = 8192


class Roster:
    """Entries of the members that the configuration names, and some more.

    The entry of a removed member is hidden, and kept for a while: were the
    address named again, a stale word could not revive its old life. Before
    ``retain`` is called the first time, every member counts.
    """

    def __init__(self, suspicion_timeout: float) -> None:
        """Start empty; a suspect dies after ``suspicion_timeout`` seconds."""
        self._suspicion_timeout = suspicion_timeout
        self._entries: dict[Address, Entry] = {}
        self._allowed: frozenset[Address] | None = None

    def allows(self, address: Address) -> bool:
        """Tell whether the configuration names a member."""
        return self._allowed is None or address in self._allowed

    def find(self, address: Address) -> Entry | None:
        """Return the entry of a member that counts, or None."""
        entry = self._entries.get(address)
        if entry is None or entry.removed_at is not None:
            return None
        return entry

    def visible(self) -> tuple[Entry, ...]:
        """Return the entries of all members that count."""
        return tuple(
            entry
            for entry in self._entries.values()
            if entry.removed_at is None
        )

    def accept(self, record: MemberRecord, now: float) -> bool:
        """Take in a word; tell whether it changed what is believed."""
        entry = self._entries.get(record.address)
        if entry is None:
            return self._add(record, now)
        doubtful = entry.doubtful
        if record.precedence > entry.record.precedence:
            entry.replace(record, now)
        elif record.precedence == entry.record.precedence and doubtful:
            entry.doubtful = False
        else:
            return False
        return entry.removed_at is None

    def doubt(self, now: float) -> list[Address]:
        """Doubt all entries and start the timeouts of suspicions anew."""
        for entry in self._entries.values():
            entry.doubtful = entry.record.state is not MemberState.DEAD
            if entry.suspected_at is not None:
                entry.suspected_at = now
        return [known.record.address for known in self.visible()]

    def expired(self, now: float) -> tuple[MemberRecord, ...]:
        """Return the word of death for each suspect that kept silent."""
        return tuple(
            evolve(entry.record, state=MemberState.DEAD)
            for entry in self.visible()
            if entry.suspected_at is not None
            and now - entry.suspected_at >= self._suspicion_timeout
        )

    def retain(self, addresses: Iterable[Address], now: float) -> None:
        """Count only the members named, and hide the others."""
        self._allowed = frozenset(addresses)
        for address, entry in self._entries.items():
            if address in self._allowed:
                entry.removed_at = None
            elif entry.removed_at is None:
                entry.removed_at = now
        self.drop_removed(now)

    def drop_removed(self, now: float) -> None:
        """Drop entries that have been hidden long, and any above the bound."""
        removed = sorted(
            (entry.removed_at, address)
            for address, entry in self._entries.items()
            if entry.removed_at is not None
        )
        surplus = len(removed) - MAX_REMOVED
        for index, (removed_at, address) in enumerate(removed):
            if index < surplus or now - removed_at >= REMOVED_RETENTION_S:
                self._entries.pop(address)

    def _add(self, record: MemberRecord, now: float) -> bool:
        full = len(self._entries) >= MAX_MEMBERS
        if full or not self.allows(record.address):
            return False
        entry = Entry(record, now)
        entry.replace(record, now)
        self._entries[record.address] = entry
        return True
