import unittest

from dragonflyshift._internal.carried.fleet.source import HistoryLostError
from dragonflyshift._internal.exceptions import PlatformError
from dragonflyshift.platform.store import PlatformStore
from tests.lib.kvstore import (
    StoreStandIn,
    build_config_item,
    build_entry_item,
    build_item,
)


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stand_in = StoreStandIn(items=[build_config_item()], revision=9)
        self.store = PlatformStore(await self.stand_in.start())

    async def asyncTearDown(self) -> None:
        self.store.close()
        self.stand_in.close()

    async def test_all_pages_are_read(self) -> None:
        self.stand_in.page_items = 2
        for number in range(5):
            entry = build_entry_item(f'i-{number}', 2 + number)
            self.stand_in.items.append(entry)
        update = await self.store.read_all()
        self.assertEqual(len(update.records), 5)
        self.assertEqual(update.revision, 9)
        assert update.routes is not None
        self.assertEqual(update.routes.version, 3)
        self.assertEqual(len(self.stand_in.calls), 3)
        self.assertEqual(self.stand_in.connections, 1)

    async def test_foreign_entries_harm_nobody(self) -> None:
        self.stand_in.items += [
            build_entry_item('i-1', 2),
            build_entry_item('i-2', 3, state='resting'),
            build_item('servers/i-3', 4, b'\xff\xfe'),
            {'key': 'servers/i-4', 'revision': 5, 'value': '***'},
            build_item('other/key', 6, {}),
        ]
        update = await self.store.read_all()
        self.assertEqual([rec.name for rec in update.records], ['i-1'])

    async def test_watch_brings_changes_and_removals(self) -> None:
        self.stand_in.revision = 12
        self.stand_in.events = [
            build_entry_item('i-1', 10),
            build_entry_item('i-2', 11),
            {'key': 'servers/i-1', 'revision': 12, 'deleted': True},
        ]
        update = await self.store.wait(9)
        self.assertEqual([rec.name for rec in update.records], ['i-2'])
        self.assertEqual(update.removed, (('i-1', 12),))
        self.assertEqual((update.base, update.revision), (9, 12))

    async def test_lost_history_is_told_from_an_outage(self) -> None:
        self.stand_in.history_from = 50
        with self.assertRaises(HistoryLostError):
            await self.store.wait(9)
        for status in (503, 429, 500):
            self.stand_in.status = status
            with self.assertRaises(PlatformError) as caught:
                await self.store.read_all()
            self.assertNotIsInstance(caught.exception, HistoryLostError)

    async def test_silent_connection_is_given_up_for_a_new_one(self) -> None:
        await self.store.read_all()
        self.stand_in.is_silent = True
        self.store.read_timeout_s = 0.1
        with self.assertRaises(PlatformError):
            await self.store.read_all()
        self.stand_in.is_silent = False
        await self.store.read_all()
        self.assertEqual(self.stand_in.connections, 2)

    async def test_store_that_is_away_is_an_error(self) -> None:
        self.stand_in.close()
        gone = PlatformStore(('127.0.0.1', 1))
        with self.assertRaises(PlatformError):
            await gone.read_all()
