"""Tests that one invalid record doesn't stop the others.

A view was encoded and decoded all or nothing. One record that msgpack couldn't
encode, or that the peer couldn't decode, kept every later change from peers.
"""

import logging
import unittest

import msgpack

from dragonflyshift._internal.carried.fleet.exchange import (
    decode_update,
    encode_update,
)
from dragonflyshift._internal.carried.fleet.view import FleetView, ViewUpdate
from dragonflyshift._internal.exceptions import ConfigurationError
from tests.lib.carried import build_record, build_routes, build_view
from tests.lib.fleet_harness import FleetHarness

_INVALID_RECORDS = (
    build_record(4, service='inventory-\ud83d'),
    build_record(4, started_ms=10**30),
    build_record(4, name='inventory-\ud83d'),
)


class ExchangeTest(unittest.TestCase):
    def test_record_that_can_not_be_encoded_is_left_out(self) -> None:
        for invalid in _INVALID_RECORDS:
            view = build_view(3)
            view.merge(invalid)
            with self.subTest(invalid=ascii(invalid.name)):
                with self.assertLogs(level='ERROR') as logs:
                    update = decode_update(encode_update(view, 0, 0))
                self.assertEqual(len(update.records), 3)
                self.assertEqual(logs.records[0].msg, 'record-not-sent')
                assert update.routes is not None

    def test_removal_that_can_not_be_encoded_is_left_out(self) -> None:
        view = build_view(3)
        view.remove('inventory-\ud83d', 5)
        view.remove('instance-1', 6)
        with self.assertLogs(level='ERROR'):
            update = decode_update(encode_update(view, 2, 0))
        self.assertEqual(update.removed, (('instance-1', 6),))

    def test_rows_that_can_not_be_decoded_are_left_out(self) -> None:
        """A peer of another build may send records with further fields."""
        fields = msgpack.unpackb(encode_update(build_view(3), 0, 0))
        fields[2][1].append('further')
        fields[3] += [['gone', 'now'], ['gone', 7]]
        fields[4] = b'\xc1'
        with self.assertLogs(level='ERROR') as logs:
            update = decode_update(msgpack.packb(fields))
        self.assertEqual(
            [record.name for record in update.records],
            ['instance-1', 'instance-3'],
        )
        self.assertEqual(update.removed, (('gone', 7),))
        self.assertIsNone(update.routes)
        self.assertEqual(len(logs.records), 3)

    def test_update_that_is_no_view_is_an_error(self) -> None:
        for raw in (b'', b'\x01', msgpack.packb([1, 2, 3, 4, None])):
            with self.subTest(raw=raw), self.assertRaises(ConfigurationError):
                decode_update(raw)


class InvalidRecordAtAReaderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)
        self.harness = FleetHarness()
        self.addCleanup(self.harness.close)

    async def test_changes_after_an_invalid_record_reach_all_daemons(self):
        members = [
            await self.harness.add(number, is_balancer=number < 3)
            for number in range(1, 5)
        ]
        first = members[0]
        hosts = {number: f'127.0.41.{number}' for number in (3, 4)}
        view = ViewUpdate(
            base=0,
            revision=4,
            records=tuple(
                build_record(number, host=host)
                for number, host in hosts.items()
            ),
            routes=build_routes(1),
        )
        first.view.apply(view)
        await self.harness.run(1.5)
        invalid = ViewUpdate(4, 5, (build_record(9, service='\ud83d'),))
        first.view.apply(invalid)
        first.gossip.publish(0)
        first.view.apply(ViewUpdate(5, 6, routes=build_routes(2)))
        first.gossip.publish(0)

        def all_follow() -> bool:
            views: list[FleetView] = [member.view for member in members]
            return all(view.routes.version == 2 for view in views)

        # Two of the users' three seconds for a change of the configuration.
        self.assertTrue(await self.harness.run_until(all_follow, 2))
