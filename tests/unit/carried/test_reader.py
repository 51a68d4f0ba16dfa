import asyncio
import random
import time
import unittest
from collections.abc import Callable, Sequence
from functools import partial

from attrs import evolve

from dragonflyshift._internal.carried.fleet.reader import (
    REMOVAL_GRACE_S,
    HistoryLostError,
    StoreReader,
    ViewSource,
)
from dragonflyshift._internal.carried.fleet.revisions import join_revision
from dragonflyshift._internal.carried.fleet.view import FleetView, ViewUpdate
from dragonflyshift._internal.carried.policies.evacuation import (
    EvacuationRecord,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.exceptions import PlatformError
from tests.lib.carried import (
    SERVICE,
    build_evacuation,
    build_record,
    build_routes,
)

_COMPLETE_STATE = ViewUpdate(
    0,
    5,
    (build_record(1), build_record(2)),
    routes=build_routes(1),
)
# The calls of a daemon that begins to read, with a view from peers.
_FIRST_CALLS = ['after 5', 'all']


class _ScriptedSource(ViewSource):
    """Return the answers in turn; raise those that are errors."""

    def __init__(self, answers: Sequence[ViewUpdate | PlatformError]) -> None:
        self.calls: list[str] = []
        # Functions that are called before the response to a call.
        self.on_call: dict[str, Callable[[], None]] = {}
        self.waits: list[float] = []
        self._answers = list(answers)

    async def read_all(self) -> ViewUpdate:
        return await self._next('all')

    async def wait(self, after: int, wait_s: float) -> ViewUpdate:
        self.waits.append(wait_s)
        return await self._next(f'after {after}')

    def close(self) -> None:
        """Do nothing, as there is no connection."""

    async def _next(self, call: str) -> ViewUpdate:
        if not self._answers:
            await asyncio.Event().wait()
        self.calls.append(call)
        self.on_call.get(call, _do_nothing)()
        answer = self._answers.pop(0)
        if isinstance(answer, PlatformError):
            raise answer
        return answer


class _ClaimSource(_ScriptedSource):
    """Return listings of the evacuations apart from the other answers."""

    def __init__(self, listing: ViewUpdate) -> None:
        super().__init__([])
        self.listing = listing

    async def read_evacuations(self) -> ViewUpdate:
        self.calls.append('evacuations')
        return self.listing


class _SlowSource(_ScriptedSource):
    """Return each answer 0.3 s after the wait has passed."""

    async def wait(self, after: int, wait_s: float) -> ViewUpdate:
        self.waits.append(wait_s)
        await asyncio.sleep(wait_s + 0.3)
        return await self._next(f'after {after}')


class ClaimTest(unittest.IsolatedAsyncioTestCase):
    """A peer of the build before may report a request that nobody made."""

    def setUp(self) -> None:
        self.view = FleetView()
        self.view.apply(_COMPLETE_STATE)
        self.published: list[bool] = []

    async def test_claim_without_an_entry_has_no_effect(self) -> None:
        source = _ClaimSource(ViewUpdate(0, 9, lists_evacuations=True))
        await self._settle(source, build_evacuation(9))
        self.assertEqual(source.calls, ['evacuations'])
        self.assertEqual(self.view.evacuations.evacuated, frozenset())
        self.assertEqual(self.view.evacuations.claims, {})
        self.assertEqual(self.published, [])
        self.assertEqual(self.view.revision, 5)

    async def test_claim_with_an_entry_takes_effect(self) -> None:
        listing = ViewUpdate(
            0, 9, evacuations=(build_evacuation(7),), lists_evacuations=True
        )
        await self._settle(_ClaimSource(listing), build_evacuation(7))
        self.assertTrue(self.view.evacuations.evacuated)
        self.assertEqual(self.published, [True])

    async def test_claimed_end_of_an_evacuation_that_stands_is_dropped(self):
        self.view.evacuations.merge(build_evacuation(4))
        listing = ViewUpdate(
            0, 9, evacuations=(build_evacuation(4),), lists_evacuations=True
        )
        claim = build_evacuation(9, is_evacuated=False)
        await self._settle(_ClaimSource(listing), claim)
        self.assertTrue(self.view.evacuations.evacuated)

    async def test_claims_in_succession_cost_a_call_a_second(self) -> None:
        source = _ClaimSource(ViewUpdate(0, 9, lists_evacuations=True))
        reader = self._build_reader(source)
        task = asyncio.create_task(reader.run())
        for revision in range(9, 39):
            self.view.evacuations.add_claim(build_evacuation(revision))
            await asyncio.sleep(0.05)
        task.cancel()
        self.assertLessEqual(len(source.calls), 2)

    async def test_reader_of_the_store_settles_it_without_a_call(self) -> None:
        """It has read the keys of the operator itself."""
        calls = await self._claim_to_reader(_COMPLETE_STATE, 5)
        self.assertEqual(calls, [])

    async def test_daemon_that_took_over_settles_earlier_claims(self) -> None:
        """Peers of the build before sent it the changes until then."""
        for revision, expected in ((5, ['evacuations']), (6, [])):
            with self.subTest(revision=revision):
                calls = await self._claim_to_reader(ViewUpdate(5, 6), revision)
                self.assertEqual(calls, expected)

    async def _claim_to_reader(
        self, first: ViewUpdate, revision: int
    ) -> list[str]:
        """Return the listings of a reader that gets a claim.

        ``first`` is what it has read from the store.
        """
        source = _ClaimSource(ViewUpdate(0, 9, lists_evacuations=True))
        reader = self._build_reader(source)
        reader.record_update(first)
        self.view.evacuations.add_claim(build_evacuation(revision))
        task = asyncio.create_task(reader.run())
        await asyncio.sleep(0.5)
        task.cancel()
        self.assertEqual(self.view.evacuations.claims, {})
        return source.calls

    async def _settle(
        self, source: _ClaimSource, claim: EvacuationRecord
    ) -> None:
        self.view.evacuations.add_claim(claim)
        reader = self._build_reader(source)
        # It is long enough since an outage that entries are complete.
        reader.confirmed_at = time.monotonic()
        task = asyncio.create_task(reader.run())
        await asyncio.sleep(0.5)
        task.cancel()

    def _build_reader(self, source: ViewSource) -> StoreReader:
        return StoreReader(
            self.view,
            source,
            random.Random(1),
            bool,
            _ignore,
            settles_claims=True,
            on_evacuations=partial(self.published.append, True),
        )


class ReaderTest(unittest.IsolatedAsyncioTestCase):
    async def test_changes_are_read_after_the_complete_state(self) -> None:
        leaving = build_record(1, revision=6, is_leaving=True)
        source = _ScriptedSource(
            [_COMPLETE_STATE, ViewUpdate(5, 6, (leaving,))]
        )
        reader = await self._run(source, 0.3)
        self.assertEqual(source.calls, ['all', 'after 5'])
        self.assertTrue(reader.view.records['instance-1'].is_leaving)
        self.assertTrue(reader.is_reading)

    async def test_daemon_that_begins_to_read_gets_changes_at_once(
        self,
    ) -> None:
        """A watch would confirm its view only after the whole wait."""
        empty = ViewUpdate(5, 5)
        self.view = FleetView()
        self.view.apply(_COMPLETE_STATE)
        lost = PlatformError('lost')
        source = _ScriptedSource([empty, _COMPLETE_STATE, empty, lost, empty])
        task = asyncio.create_task(self._build_reader(source).run())
        await asyncio.sleep(0.6)
        task.cancel()
        self.assertEqual(source.waits[0], 0)
        self.assertAlmostEqual(source.waits[1], 1, delta=0.1)
        # After a failure the daemon begins anew.
        self.assertEqual(source.waits[3], 0)
        # It has read everything itself, so it need not list it again.
        self.assertEqual(source.calls[:2], _FIRST_CALLS)
        self.assertEqual(set(source.calls[2:]), {'after 5'})

    async def test_daemon_that_begins_to_read_lists_what_peers_sent(self):
        """A peer may have ended before it sent a part, or dropped an entry."""
        self.view = FleetView()
        self.view.apply(_COMPLETE_STATE)
        self.view.merge(build_record(3))
        listing = evolve(_COMPLETE_STATE, routes=build_routes(2))
        source = _ScriptedSource([ViewUpdate(5, 5), listing])
        reader = self._build_reader(source)
        task = asyncio.create_task(reader.run())
        await asyncio.sleep(0.2)
        self.assertEqual(source.calls, _FIRST_CALLS)
        self.assertEqual(self.view.routes.version, 2)
        now = time.monotonic()
        self.assertEqual(reader.confirm_removals(now), ())
        dropped = reader.confirm_removals(now + REMOVAL_GRACE_S)
        self.assertEqual(dropped, ('instance-3',))
        task.cancel()

    async def test_changes_of_peers_do_not_replace_reading(self) -> None:
        """A peer may keep a removal as tentative, and then lose power."""
        source = _ScriptedSource([_COMPLETE_STATE, ViewUpdate(5, 6)])
        source.on_call['all'] = lambda: self.view.apply(
            ViewUpdate(0, 9, routes=build_routes(1))
        )
        await self._run(source, 0.2)
        self.assertEqual(self.view.revision, 9)
        self.assertEqual(source.calls, ['all', 'after 5'])

    async def test_entry_that_a_peer_sends_after_the_grace_period_is_dropped(
        self,
    ) -> None:
        reader = await self._run(_ScriptedSource([_COMPLETE_STATE]), 0.2)
        now = time.monotonic() + REMOVAL_GRACE_S
        self.assertEqual(reader.confirm_removals(now), ())
        self.view.merge(build_record(3))
        self.view.evacuations.merge(build_evacuation(4))
        self.assertEqual(reader.confirm_removals(now), ('instance-3',))
        self.assertEqual(len(reader.confirm_evacuations(now)), 1)
        self.assertEqual(self.view.evacuations.evacuated, frozenset())

    async def test_watches_are_shorter_if_the_store_answers_late(self) -> None:
        """The view of a reader must not get older for that."""
        source = _SlowSource(
            [_COMPLETE_STATE, ViewUpdate(5, 5), ViewUpdate(5, 5)]
        )
        await self._run(source, 1.5)
        self.assertAlmostEqual(source.waits[1], 0.7, delta=0.15)

    async def test_response_from_before_a_pause_confirms_nothing(self) -> None:
        """A daemon that was frozen reads it after it has woken."""
        change = ViewUpdate(5, 6)
        source = _ScriptedSource([_COMPLETE_STATE, change, change])
        self.view = FleetView()
        reader = self._build_reader(source)
        confirmed: list[float] = []

        def pause() -> None:
            if not confirmed:
                confirmed.append(reader.confirmed_at)
                reader.on_pause(time.monotonic())

        source.on_call['after 5'] = pause
        task = asyncio.create_task(reader.run())
        await asyncio.sleep(0.1)
        self.assertEqual(confirmed, [reader.confirmed_at])
        self.assertFalse(reader.is_reading)
        await asyncio.sleep(0.4)
        task.cancel()
        self.assertEqual(source.calls[:3], ['all', 'after 5', 'after 5'])
        self.assertGreater(reader.confirmed_at, confirmed[0])

    async def test_lost_history_causes_a_full_read(self) -> None:
        source = _ScriptedSource(
            [_COMPLETE_STATE, HistoryLostError('gone'), _COMPLETE_STATE]
        )
        await self._run(source, 0.4)
        self.assertEqual(source.calls, ['all', 'after 5', 'all'])

    async def test_entry_that_expired_in_an_outage_is_kept_for_a_while(self):
        expired = ViewUpdate(5, 7, removed=(('instance-1', 7),))
        source = _ScriptedSource(
            [_COMPLETE_STATE, PlatformError('down'), expired]
        )
        reader = await self._run(source, 0.8)
        self.assertEqual(len(reader.view.endpoints(SERVICE)), 2)
        now = time.monotonic()
        self.assertEqual(reader.confirm_removals(now), ())
        dropped = reader.confirm_removals(now + REMOVAL_GRACE_S)
        self.assertEqual(dropped, ('instance-1',))
        self.assertEqual(len(reader.view.endpoints(SERVICE)), 1)

    async def test_evacuation_outlives_a_listing_right_after_an_outage(self):
        """Its entry may be missing although the request stands."""
        evacuated = evolve(_COMPLETE_STATE, evacuations=(build_evacuation(4),))
        listing = ViewUpdate(
            0, 7, _COMPLETE_STATE.records, lists_evacuations=True
        )
        source = _ScriptedSource(
            [evacuated, PlatformError('down'), HistoryLostError(''), listing]
        )
        reader = await self._run(source, 1.0)
        self.assertEqual(source.calls[-1], 'all')
        now = time.monotonic()
        self.assertEqual(reader.confirm_evacuations(now), ())
        self.assertTrue(reader.view.evacuations.evacuated)
        ended = reader.confirm_evacuations(now + REMOVAL_GRACE_S)
        self.assertEqual(len(ended), 1)
        self.assertFalse(reader.view.evacuations.evacuated)

    async def test_failing_store_is_retried_with_backoff(self) -> None:
        failures = [PlatformError('down') for _ in range(50)]
        source = _ScriptedSource(failures)
        reader = await self._run(source, 1.5)
        self.assertLess(len(source.calls), 8)
        self.assertFalse(reader.is_reading)

    async def test_entries_that_a_copy_lacks_are_kept_for_a_while(self) -> None:
        """Endpoints write their entries again after a restore."""
        copy = ViewUpdate(0, join_revision(1, 4), (_restored(1, 3),))
        returned = ViewUpdate(copy.revision, join_revision(1, 5))
        source = _ScriptedSource(
            [_COMPLETE_STATE, HistoryLostError('restored'), copy, returned]
        )
        reader = await self._run(source, 0.5)
        self.assertEqual(source.calls[-2:], ['all', f'after {copy.revision}'])
        self.assertEqual(len(reader.view.endpoints(SERVICE)), 2)
        now = time.monotonic()
        self.assertEqual(reader.confirm_removals(now), ())
        dropped = reader.confirm_removals(now + REMOVAL_GRACE_S)
        self.assertEqual(dropped, ('instance-2',))

    async def test_changes_after_a_restore_do_not_extend_the_wait(self) -> None:
        copy = ViewUpdate(0, join_revision(1, 4), (_restored(1, 3),))
        changes = [
            ViewUpdate(
                join_revision(1, number),
                join_revision(1, number + 1),
                (_restored(1, number + 1),),
            )
            for number in range(4, 12)
        ]
        source = _ScriptedSource(
            [_COMPLETE_STATE, HistoryLostError('restored'), copy, *changes]
        )
        reader = await self._run(source, 0.8)
        self.assertEqual(reader.view.revision, join_revision(1, 12))
        now = time.monotonic()
        dropped = reader.confirm_removals(now + REMOVAL_GRACE_S - 0.3)
        self.assertEqual(dropped, ('instance-2',))

    async def test_reader_reads_all_after_peers_reported_a_restore(self):
        """Otherwise entries from before it would never be removed."""
        copy = ViewUpdate(0, join_revision(1, 4), (_restored(1, 3),))
        source = _ScriptedSource([_COMPLETE_STATE, ViewUpdate(5, 5), copy])
        source.on_call['after 5'] = self._report_restore
        reader = await self._run(source, 0.4)
        self.assertEqual(source.calls, ['all', 'after 5', 'all'])
        self.assertEqual(set(reader.view.tentative_removals), {'instance-2'})

    async def test_store_of_an_earlier_epoch_is_retried_with_backoff(self):
        source = _ScriptedSource([_COMPLETE_STATE for _ in range(40)])
        source.on_call['all'] = self._report_restore
        reader = await self._run(source, 1.5)
        self.assertLess(len(source.calls), 8)
        self.assertFalse(reader.is_reading)

    def _report_restore(self) -> None:
        """Update the view as if a peer had reported the restore."""
        revision = join_revision(1, 4)
        record = _restored(1, 3)
        self.view.apply(ViewUpdate(self.view.revision, revision, (record,)))

    async def _run(self, source: ViewSource, seconds: float) -> StoreReader:
        self.view = FleetView()
        reader = self._build_reader(source)
        task = asyncio.create_task(reader.run())
        await asyncio.sleep(seconds)
        task.cancel()
        return reader

    def _build_reader(self, source: ViewSource) -> StoreReader:
        return StoreReader(
            self.view,
            source,
            random.Random(1),
            lambda: True,
            _ignore,
        )


def _restored(number: int, revision: int) -> EndpointRecord:
    return build_record(number, revision=join_revision(1, revision))


def _do_nothing() -> None:
    """Do nothing."""


def _ignore(_changed: bool) -> None:
    """Ignore an update."""
