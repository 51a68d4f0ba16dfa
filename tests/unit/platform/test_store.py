import unittest

from dragonflyshift._internal.carried.fleet.reader import HistoryLostError
from dragonflyshift._internal.carried.fleet.revisions import split_revision
from dragonflyshift._internal.carried.policies.evacuation import (
    EvacuationRecord,
)
from dragonflyshift._internal.exceptions import PlatformError
from dragonflyshift.platform.store import PlatformStore
from tests.lib.kvstore import (
    FakeStore,
    build_config_item,
    build_entry_item,
    build_item,
)


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fake_store = FakeStore(items=[build_config_item()], revision=9)
        self.store = PlatformStore(await self.fake_store.start())

    async def asyncTearDown(self) -> None:
        self.store.close()
        self.fake_store.close()

    async def test_all_pages_are_read(self) -> None:
        self.fake_store.page_size = 2
        for number in range(5):
            entry = build_entry_item(f'i-{number}', 2 + number)
            self.fake_store.items.append(entry)
        update = await self.store.read_all()
        self.assertEqual(len(update.records), 5)
        self.assertEqual(update.revision, 9)
        assert update.routes is not None
        self.assertEqual(update.routes.version, 3)
        self.assertEqual(len(self.fake_store.calls), 3)
        self.assertEqual(self.fake_store.connections, 1)

    async def test_invalid_entries_are_ignored(self) -> None:
        self.fake_store.items += [
            build_entry_item('i-1', 2),
            build_entry_item('i-2', 3, state='resting'),
            build_item('servers/i-3', 4, b'\xff\xfe'),
            {'key': 'servers/i-4', 'revision': 5, 'value': '***'},
            build_item('other/key', 6, {}),
        ]
        update = await self.store.read_all()
        self.assertEqual([rec.name for rec in update.records], ['i-1'])

    async def test_invalid_warmup_rate_is_logged_once(self) -> None:
        """Each full read returns the configuration again."""
        services = [{'name': 'lists', 'warmupPerS': 'fast'}]
        self.fake_store.items = [build_config_item(services=services)]
        with self.assertLogs(level='WARNING') as logs:
            first = await self.store.read_all()
            again = await self.store.read_all()
        self.assertEqual(len(logs.records), 1)
        assert first.routes is not None and again.routes is not None
        self.assertEqual((first.routes.version, again.routes.version), (3, 3))

    async def test_watch_returns_changes_and_removals(self) -> None:
        self.fake_store.revision = 12
        self.fake_store.events = [
            build_entry_item('i-1', 10),
            build_entry_item('i-2', 11),
            {'key': 'servers/i-1', 'revision': 12, 'deleted': True},
        ]
        update = await self.store.wait(9, 1)
        self.assertEqual([rec.name for rec in update.records], ['i-2'])
        self.assertEqual(update.removed, (('i-1', 12),))
        self.assertEqual((update.base, update.revision), (9, 12))

    async def test_evacuations_are_keys_below_their_prefix(self) -> None:
        self.fake_store.items.append(build_item('op/evacuate/klang', 2, {}))
        update = await self.store.read_all()
        self.assertEqual(
            update.evacuations, (EvacuationRecord('klang', 2, True),)
        )
        self.assertTrue(update.lists_evacuations)

    async def test_deleted_evacuation_puts_a_data_center_in_service(self):
        self.fake_store.revision = 12
        self.fake_store.events = [
            build_item('op/evacuate/klang', 10, {}),
            {'key': 'op/evacuate/klang', 'revision': 11, 'deleted': True},
        ]
        update = await self.store.wait(9, 1)
        self.assertEqual(
            update.evacuations, (EvacuationRecord('klang', 11, False),)
        )
        self.assertFalse(update.lists_evacuations)

    async def test_endpoint_with_a_reserved_identifier_is_used(self) -> None:
        """The platform leaves the choice of identifiers to the endpoints."""
        self.fake_store.items.append(build_entry_item('\x01evacuated:ipoh', 2))
        update = await self.store.read_all()
        names = [record.name for record in update.records]
        self.assertEqual(names, ['\x01id:\x01evacuated:ipoh'])
        self.assertEqual(update.evacuations, ())

    async def test_invalid_entry_is_told_apart_from_a_removed_one(self) -> None:
        self.fake_store.revision = 12
        self.fake_store.events = [
            build_item('servers/\x01evacuated:ipoh', 11, {}),
            {'key': 'servers/i-1', 'revision': 12, 'deleted': True},
        ]
        update = await self.store.wait(9, 1)
        self.assertEqual(update.removed, (('i-1', 12),))
        self.assertEqual(update.invalid, (('\x01id:\x01evacuated:ipoh', 11),))

    async def test_evacuations_are_read_alone(self) -> None:
        self.fake_store.revision = 5
        self.fake_store.items += [
            build_entry_item('i-1', 2),
            build_item('op/evacuate/klang', 4, {}),
        ]
        update = await self.store.read_evacuations()
        self.assertEqual(
            update.evacuations, (EvacuationRecord('klang', 4, True),)
        )
        self.assertIn('prefix=op%2Fevacuate%2F', self.fake_store.calls[-1])

    async def test_lost_history_is_distinguished_from_an_outage(self) -> None:
        self.fake_store.oldest_revision = 50
        with self.assertRaises(HistoryLostError):
            await self.store.wait(9, 1)
        for status in (503, 429, 500):
            self.fake_store.status = status
            with self.assertRaises(PlatformError) as caught:
                await self.store.read_all()
            self.assertNotIsInstance(caught.exception, HistoryLostError)

    async def test_revisions_rise_when_the_store_is_restored(self) -> None:
        """The store gives out lower revisions again, in a later era."""
        self.fake_store.era = 1
        before = await self.store.read_all()
        self.assertEqual(before.revision, 9)
        self.fake_store.restore([build_entry_item('i-1', 3)], revision=4)
        after = await self.store.read_all()
        self.assertGreater(after.revision, before.revision)
        self.assertGreater(after.records[0].revision, before.revision)
        self.assertEqual(split_revision(after.revision), (1, 4))

    async def test_watch_from_before_a_restore_loses_its_history(self) -> None:
        """The restored store may have the same revision with other changes."""
        self.fake_store.era = 3
        before = await self.store.read_all()
        self.fake_store.restore([], revision=20)
        with self.assertRaises(HistoryLostError):
            await self.store.wait(before.revision, 1)
        restored = await self.store.read_all()
        self.fake_store.revision = 21
        self.fake_store.events = [build_entry_item('i-5', 21)]
        update = await self.store.wait(restored.revision, 1)
        self.assertEqual([rec.name for rec in update.records], ['i-5'])
        self.assertEqual(update.base, restored.revision)

    async def test_restore_between_two_pages_is_no_complete_state(self) -> None:
        self.fake_store.era = 1
        self.fake_store.page_size = 1
        self.fake_store.items.append(build_entry_item('i-1', 2))
        self.fake_store.restore_after_calls = 1
        with self.assertRaises(HistoryLostError):
            await self.store.read_all()

    async def test_unresponsive_connection_is_replaced(self) -> None:
        await self.store.read_all()
        self.fake_store.is_unresponsive = True
        self.store.read_timeout_s = 0.1
        with self.assertRaises(PlatformError):
            await self.store.read_all()
        self.fake_store.is_unresponsive = False
        await self.store.read_all()
        self.assertEqual(self.fake_store.connections, 2)

    async def test_unreachable_store_is_an_error(self) -> None:
        self.fake_store.close()
        unreachable = PlatformStore(('127.0.0.1', 1))
        with self.assertRaises(PlatformError):
            await unreachable.read_all()
