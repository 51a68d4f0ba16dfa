"""Which peer should rather run a long request."""

import random
import unittest

from attrs import evolve

from dragonflyshift._internal.models import (
    Address,
    Incarnation,
    MemberRecord,
    MemberState,
)
from dragonflyshift._internal.routing import PowerOfTwo

FREE_HERE = 2
BUSY = MemberRecord(
    Address('192.0.2.1', 7000),
    Incarnation(1),
    MemberState.ALIVE,
    free_slots=FREE_HERE,
)
IDLE = evolve(BUSY, address=Address('192.0.2.2', 7000), free_slots=4)
QUEUED = evolve(IDLE, queued=3)
LEAVING = evolve(IDLE, state=MemberState.LEAVING)


class ReliefTest(unittest.TestCase):
    def relieve(self, *peers: MemberRecord) -> MemberRecord | None:
        return PowerOfTwo().relieve(peers, random.Random(1), FREE_HERE)

    def test_peer_with_more_room_is_chosen(self):
        self.assertEqual(self.relieve(BUSY, IDLE), IDLE)

    def test_equal_room_moves_nothing(self):
        self.assertIsNone(self.relieve(BUSY))

    def test_queue_counts_against_room(self):
        self.assertIsNone(self.relieve(QUEUED))

    def test_leaving_peer_is_left_alone(self):
        self.assertIsNone(self.relieve(LEAVING))
