"""A store in memory for replays of fleet members, with cuts and delays."""

__all__ = ('MemberSource', 'ReplayStore')

import asyncio

from attrs import define, evolve, field

from dragonflyshift._internal.carried.fleet.reader import (
    HistoryLostError,
    ViewSource,
)
from dragonflyshift._internal.carried.fleet.revisions import (
    epoch_of,
    join_revision,
    split_revision,
)
from dragonflyshift._internal.carried.fleet.view import ViewUpdate
from dragonflyshift._internal.carried.policies.evacuation import (
    EvacuationRecord,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.exceptions import PlatformError
from dragonflyshift.platform.store import (
    READ_TIMEOUT_S,
    WATCH_TIMEOUT_MARGIN_S,
)
from tests.lib.carried import DATA_CENTER, build_record, build_routes


def _first_endpoints() -> dict[str, EndpointRecord]:
    records = map(build_record, (1, 2, 3))
    return {record.name: record for record in records}


@define(eq=False)
class ReplayStore:
    """The state of a store, and who reaches it.

    ``latency_s`` is the time of an answer. ``cut`` holds the members that get
    none, ``refused`` those that get an error at once; with ``is_down`` nobody
    gets an answer. ``revision`` counts the changes, also across restores.
    """

    latency_s: float = 0.004
    is_down: bool = False
    cut: set[int] = field(factory=set)
    refused: set[int] = field(factory=set)
    # Members that stand still, and receive answers later.
    frozen: set[int] = field(factory=set)
    calls: list[tuple[float, int]] = field(factory=list)
    revision: int = 5
    version: int = 1
    records: dict[str, EndpointRecord] = field(factory=_first_endpoints)
    _configured_at: int = 5
    _removals: dict[str, int] = field(factory=dict)
    _evacuations: dict[str, EvacuationRecord] = field(factory=dict)
    _history_from: int = 0
    _changed: asyncio.Event = field(factory=asyncio.Event)
    _thawed: asyncio.Event = field(factory=asyncio.Event)

    def change(self) -> int:
        """Publish another configuration; return its version."""
        self.version += 1
        self._configured_at = self._advance()
        return self.version

    def put(self, record: EndpointRecord) -> int:
        """Write an endpoint's entry; return its revision."""
        revision = self._advance()
        self.records[record.name] = evolve(record, revision=revision)
        self._removals.pop(record.name, None)
        return revision

    def remove(self, name: str) -> int:
        """Remove an endpoint's entry; return the revision."""
        revision = self._advance()
        self.records.pop(name)
        self._removals[name] = revision
        return revision

    def evacuate(self, *, is_evacuated: bool) -> int:
        """Evacuate the data centre, or end that; return the revision."""
        revision = self._advance()
        self._evacuations[DATA_CENTER] = EvacuationRecord(
            DATA_CENTER, revision, is_evacuated
        )
        return revision

    def compact(self) -> None:
        """Discard the history; later watches have to begin after it."""
        self._history_from = self.revision

    def restore(self) -> None:
        """Restart the history in the next epoch, with the same entries."""
        epoch, revision = split_revision(self.revision)
        self.revision = join_revision(epoch + 1, revision)
        self._configured_at = self._restored(self._configured_at)
        self.records = {
            name: evolve(record, revision=self._restored(record.revision))
            for name, record in self.records.items()
        }
        self._evacuations = {
            name: evolve(record, revision=self._restored(record.revision))
            for name, record in self._evacuations.items()
            if record.is_evacuated
        }
        self._removals.clear()
        self._notify()

    def state(self, base: int) -> ViewUpdate:
        """Return the changes after a revision, the complete state for zero."""
        evacuations = tuple(
            record
            for record in self._evacuations.values()
            if record.revision > base and (base or record.is_evacuated)
        )
        routes = None
        if self._configured_at > base:
            routes = evolve(build_routes(), version=self.version)
        return ViewUpdate(
            base,
            max(base, self.revision),
            records=tuple(
                record
                for record in self.records.values()
                if record.revision > base
            ),
            removed=tuple(
                row for row in self._removals.items() if 0 < base < row[1]
            ),
            routes=routes,
            evacuations=evacuations,
            lists_evacuations=not base,
        )

    async def answer(self, member: int, after: int, wait_s: float) -> bool:
        """Wait for a change; return whether the member gets an answer."""
        loop = asyncio.get_running_loop()
        self.calls.append((loop.time(), member))
        if member in self.refused:
            raise PlatformError('refused')
        deadline = loop.time() + wait_s
        while self.revision <= after and loop.time() < deadline:
            try:
                async with asyncio.timeout(deadline - loop.time()):
                    await self._changed.wait()
            except TimeoutError:
                break
        await asyncio.sleep(self.latency_s)
        return not self.is_down and member not in self.cut

    async def wait_until_thawed(self, member: int) -> None:
        """Wait while a member stands still."""
        if member in self.frozen:
            await self._thawed.wait()

    def thaw(self) -> None:
        """Resume all members that stand still."""
        self.frozen.clear()
        self._thawed.set()
        self._thawed = asyncio.Event()

    def check_history(self, after: int) -> None:
        """Raise HistoryLostError if changes since a revision are lost."""
        is_restored = epoch_of(after) != epoch_of(self.revision)
        if after and (after < self._history_from or is_restored):
            raise HistoryLostError('the history starts later')

    def _restored(self, revision: int) -> int:
        return join_revision(
            epoch_of(self.revision), split_revision(revision)[1]
        )

    def _advance(self) -> int:
        self.revision += 1
        self._notify()
        return self.revision

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


@define(eq=False)
class MemberSource(ViewSource):
    """The connection of one member with the store."""

    store: ReplayStore
    member: int

    async def read_all(self) -> ViewUpdate:
        """Return the complete state."""
        return await self._call(0, 0, READ_TIMEOUT_S)

    async def wait(self, after: int, wait_s: float) -> ViewUpdate:
        """Return the changes after a revision, once there are any."""
        timeout_s = max(READ_TIMEOUT_S, wait_s + WATCH_TIMEOUT_MARGIN_S)
        return await self._call(after, wait_s, timeout_s)

    def close(self) -> None:
        """Do nothing, as there is no connection."""

    async def _call(
        self, after: int, wait_s: float, timeout_s: float
    ) -> ViewUpdate:
        try:
            async with asyncio.timeout(timeout_s):
                if not await self.store.answer(self.member, after, wait_s):
                    await asyncio.sleep(timeout_s)
        except TimeoutError as exc:
            raise PlatformError('no answer') from exc
        self.store.check_history(after)
        update = self.store.state(after)
        await self.store.wait_until_thawed(self.member)
        return update
