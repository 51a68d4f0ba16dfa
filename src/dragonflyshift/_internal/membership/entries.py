"""The entries of the other members, configured and recently removed."""

from collections.abc import Iterable

from attrs import evolve

from dragonflyshift._internal.membership.entry import MemberEntry
from dragonflyshift._internal.models import Address, MemberRecord, MemberState

REMOVED_RETENTION_S = 300.0
MAX_REMOVED = 256
MAX_MEMBERS = 8192


class MemberEntries:
    """Entries of configured members and of recently removed ones.

    The entry of a removed member is hidden and kept for some time. If the
    address is added again, an old record can't override the newer one in the
    entry. Before the first call of ``set_configured_members`` all members
    count as configured.
    """

    def __init__(self, suspicion_timeout: float) -> None:
        """Create an empty table.

        A suspect is declared dead after ``suspicion_timeout`` seconds.
        """
        self._suspicion_timeout = suspicion_timeout
        self._entries: dict[Address, MemberEntry] = {}
        self._configured: frozenset[Address] | None = None

    def is_configured(self, address: Address) -> bool:
        """Return whether a member is in the configuration."""
        return self._configured is None or address in self._configured

    def find(self, address: Address) -> MemberEntry | None:
        """Return the entry of a configured member, or None."""
        entry = self._entries.get(address)
        if entry is None or entry.removed_at is not None:
            return None
        return entry

    def configured_entries(self) -> tuple[MemberEntry, ...]:
        """Return the entries of all configured members."""
        return tuple(
            entry
            for entry in self._entries.values()
            if entry.removed_at is None
        )

    def merge(self, record: MemberRecord, now: float) -> bool:
        """Merge a record; return whether an effective record changed."""
        entry = self._entries.get(record.address)
        if entry is None:
            return self._add(record, now)
        outdated = entry.outdated
        if record.precedence > entry.record.precedence:
            entry.replace(record, now)
        elif record.precedence == entry.record.precedence and outdated:
            entry.outdated = False
        else:
            return False
        return entry.removed_at is None

    def mark_outdated(self, now: float) -> list[Address]:
        """Mark all entries as outdated and restart suspicion timeouts.

        Returns the addresses of the configured members.
        """
        for entry in self._entries.values():
            entry.outdated = entry.record.state is not MemberState.DEAD
            if entry.suspected_at is not None:
                entry.suspected_at = now
        return [member.record.address for member in self.configured_entries()]

    def dead_records(self, now: float) -> tuple[MemberRecord, ...]:
        """Return a dead record for each suspect whose timeout has passed."""
        return tuple(
            evolve(entry.record, state=MemberState.DEAD)
            for entry in self.configured_entries()
            if entry.suspected_at is not None
            and now - entry.suspected_at >= self._suspicion_timeout
        )

    def set_configured_members(
        self, addresses: Iterable[Address], now: float
    ) -> None:
        """Set the configured members and hide all others."""
        self._configured = frozenset(addresses)
        for address, entry in self._entries.items():
            if address in self._configured:
                entry.removed_at = None
            elif entry.removed_at is None:
                entry.removed_at = now
        self.evict_removed(now)

    def evict_removed(self, now: float) -> None:
        """Evict removed members after ``REMOVED_RETENTION_S``.

        The members removed first are evicted earlier if there are more than
        ``MAX_REMOVED``.
        """
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
        is_full = len(self._entries) >= MAX_MEMBERS
        if is_full or not self.is_configured(record.address):
            return False
        entry = MemberEntry(record, now)
        entry.replace(record, now)
        self._entries[record.address] = entry
        return True
