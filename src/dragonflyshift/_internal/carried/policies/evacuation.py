"""Decides which data centres take no new flows because they are evacuated.

An operator evacuates a data centre before work on it, or when it is in
trouble, and puts it back in service later. Both requests are records with
revisions, so that they can be merged in any order, as endpoint records are. An
absent record never puts a data centre back in service: after an outage, or
after a restore of the store, an entry may be missing although the request
stands.

A peer of the build before may report a request that nobody made: it takes the
name of a foreign entry for one. Such a claim has no effect by itself, and is
settled by a listing of the store.
"""

__all__ = ('MAX_CLAIMS', 'EvacuationRecord', 'EvacuationTable')

from collections.abc import Collection, Iterator

from attrs import define, field, frozen

# Further claims are dropped until the present ones are settled.
MAX_CLAIMS = 64


@frozen(repr=False)
class EvacuationRecord:
    """An operator's last request about a data centre, and its revision."""

    data_center: str
    revision: int
    is_evacuated: bool


@define(eq=False, repr=False)
class EvacuationTable:
    """The newest request about each data centre.

    ``tentative`` holds requests to put a data centre back in service that were
    inferred from an entry that is missing; ``confirm`` applies them. The
    evacuation stays in force until then. ``claims`` holds requests that wait
    for a listing of the store.

    Example:
        >>> table = EvacuationTable()
        >>> table.merge(EvacuationRecord('klang', 7, is_evacuated=True))
        True
        >>> table.is_evacuated('klang')
        True
        >>> table.merge(EvacuationRecord('klang', 5, is_evacuated=False))
        False
    """

    evacuated: frozenset[str] = field(default=frozenset())
    tentative: dict[str, EvacuationRecord] = field(factory=dict)
    claims: dict[str, EvacuationRecord] = field(factory=dict)
    _records: dict[str, EvacuationRecord] = field(factory=dict)

    def is_evacuated(self, data_center: str) -> bool:
        """Return whether a data centre takes no new flows."""
        return data_center in self.evacuated

    def find(self, data_center: str) -> EvacuationRecord | None:
        """Return the newest request about a data centre, or None."""
        return self._records.get(data_center)

    def merge(self, record: EvacuationRecord) -> bool:
        """Merge a request; return whether it was newer than the known one."""
        current = self._records.get(record.data_center)
        if current is not None and current.revision >= record.revision:
            return False
        self._records[record.data_center] = record
        self.tentative.pop(record.data_center, None)
        claim = self.claims.get(record.data_center)
        if claim is not None and claim.revision <= record.revision:
            self.claims.pop(record.data_center)
        self.evacuated = frozenset(
            known.data_center
            for known in self._records.values()
            if known.is_evacuated
        )
        return True

    def add_claim(self, claim: EvacuationRecord) -> None:
        """Keep a request that the store has to confirm, unless it is known.

        A claim that says what is in force changes nothing, whatever its
        revision.
        """
        name = claim.data_center
        current = self._records.get(name)
        if claim.is_evacuated == (name in self.evacuated):
            return
        if current is not None and current.revision >= claim.revision:
            return
        if name in self.claims or len(self.claims) < MAX_CLAIMS:
            self.claims[name] = claim

    def drop_claims(self, after: int, revision: int) -> None:
        """Drop the claims between two revisions whose requests are known."""
        for name, claim in tuple(self.claims.items()):
            if after < claim.revision <= revision:
                self.claims.pop(name)

    def merge_listing(
        self,
        listed: Collection[EvacuationRecord],
        revision: int,
        *,
        is_tentative: bool,
    ) -> bool:
        """Apply a complete listing; return whether a request was merged.

        ``listed`` are all evacuations at ``revision``. A data centre that the
        listing lacks is back in service, unless its evacuation is newer.
        With ``is_tentative`` this waits for ``confirm``.
        """
        names = {record.data_center for record in listed}
        changed = False
        for name in self.evacuated - names:
            if is_tentative:
                self.end_tentatively(name, revision)
                continue
            restored = EvacuationRecord(name, revision, is_evacuated=False)
            changed = self.merge(restored) or changed
        for record in listed:
            self.tentative.pop(record.data_center, None)
        return changed

    def end_tentatively(self, data_center: str, revision: int) -> None:
        """End an evacuation at a revision once ``confirm`` is called."""
        if self._records[data_center].revision < revision:
            self.tentative[data_center] = EvacuationRecord(
                data_center, revision, is_evacuated=False
            )

    def confirm(self) -> tuple[EvacuationRecord, ...]:
        """Apply the tentative requests and return them."""
        confirmed = tuple(self.tentative.values())
        self.tentative.clear()
        return tuple(record for record in confirmed if self.merge(record))

    def since(self, revision: int) -> tuple[EvacuationRecord, ...]:
        """Return the requests that are newer than a revision."""
        return tuple(record for record in self if record.revision > revision)

    def __iter__(self) -> Iterator[EvacuationRecord]:
        """Iterate over the newest requests of all data centres."""
        return iter(tuple(self._records.values()))
