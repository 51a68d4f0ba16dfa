"""What the build before does with messages, for tests of an upgrade."""

import time
from collections.abc import Iterable

from dragonflyshift._internal.carried.fleet.evacuation_rows import (
    find_claims,
    split_removals,
)
from dragonflyshift._internal.carried.fleet.gossip import Gossip
from dragonflyshift._internal.carried.fleet.member import FleetMember
from dragonflyshift._internal.carried.fleet.reader import StoreReader
from dragonflyshift._internal.carried.fleet.revisions import epoch_of
from dragonflyshift._internal.carried.fleet.view import (
    FleetView,
    ViewUpdate,
    has_records_before_epoch,
)
from dragonflyshift._internal.carried.messages import ChangeNotice
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.policies.evacuation import (
    EvacuationRecord,
)

_Rows = tuple[tuple[str, int], ...]


def split_removals_before(
    rows: Iterable[tuple[str, int]],
) -> tuple[_Rows, tuple[EvacuationRecord, ...]]:
    """Return the removals and evacuations that the build before decodes."""
    removed = []
    evacuations = []
    for name, revision in rows:
        if not name.startswith('\x01'):
            removed.append((name, revision))
            continue
        for prefix in ('\x01evacuated:', '\x01in-service:'):
            if name.startswith(prefix):
                record = EvacuationRecord(
                    name.removeprefix(prefix),
                    revision,
                    prefix == '\x01evacuated:',
                )
                evacuations.append(record)
    return tuple(removed), tuple(evacuations)


def adapter_removals_before(names: Iterable[str], revision: int) -> _Rows:
    """Return the removals that its reader makes of entries that are invalid.

    It takes the names of the entries as they are.
    """
    return tuple((name, revision) for name in names)


def downgrade(member: FleetMember) -> None:
    """Make a new member behave as one of the build before."""
    member.view.__class__ = _ViewBefore
    member.gossip.__class__ = _GossipBefore
    member._supplied_age_s = member.gossip.age_s  # type: ignore[method-assign]
    if member.reader is not None:
        member.reader.__class__ = _ReaderBefore


class _ViewBefore(FleetView):
    """Raises its revision whatever it lacks."""

    __slots__ = ()

    @property
    def lacks_routes(self) -> bool:
        return False


class _GossipBefore(Gossip):
    """Raises the revision with a notice, and confirms ages by it alone."""

    __slots__ = ()

    def on_notice(
        self, now: float, notice: ChangeNotice, address: SocketAddress
    ) -> None:
        changed = False
        for record in notice.records:
            changed = self.view.merge(record) or changed
        removed, evacuations = split_removals(notice.removed)
        for evacuation in evacuations:
            changed = self.view.evacuations.merge(evacuation) or changed
        for claim in find_claims(notice.removed):
            self.view.evacuations.add_claim(claim)
        for name, revision in removed:
            changed = self.view.remove(name, revision) or changed
        if notice.base <= self.view.revision < notice.revision:
            self.view.revision = notice.revision
        self._record_peer_confirmation(now, notice.revision, notice.age_ms)
        if changed:
            self._on_view_changed(now, 'notice', address)
        if (
            notice.version > self.view.routes.version
            or notice.revision > self.view.revision
        ):
            self.puller.pull(now, address)


class _ReaderBefore(StoreReader):
    """Reads on after the revision that peers have reported."""

    __slots__ = ()

    def confirm_removals(self, now: float) -> tuple[str, ...]:
        if not self.view.tentative_removals or now < self._grace_until:
            return ()
        return self.view.confirm_removals()

    async def _next_update(self) -> ViewUpdate:
        epoch = epoch_of(self.view.revision)
        if (
            self._needs_full_read
            or not self.view.revision
            or has_records_before_epoch(self.view, epoch)
        ):
            update = await self.source.read_all()
            self._needs_full_read = False
            return update
        wait_s = self.watch_s if self.is_reading else 0
        started_at = time.monotonic()
        update = await self.source.wait(self.view.revision, wait_s)
        self._latency_s = max(0, time.monotonic() - started_at - wait_s)
        return update
