"""Handover of outcomes from a stopping sidecar to its peers.

Guards against outcomes that are lost because the table exceeds one message,
or because the peers that adopted it are stopped as well.
"""

import time
import unittest

from dragonflyshift._internal.membership import MemberTable
from dragonflyshift._internal.models import (
    IdempotencyKey,
    Incarnation,
    MemberRecord,
    MemberState,
    Outcome,
    OutcomeKind,
)
from dragonflyshift._internal.sidecar.handover import OutcomeHandover
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.state import NeverRan, OutcomeTable, Stored
from dragonflyshift._internal.wire import ConnectionIdCodec
from dragonflyshift._internal.wire.stream import MessageStream, StreamServer
from tests.lib.builders import build_fleet_keys
from tests.lib.network import free_address

_TAG = 3
_BOOT = 7
_KEYS = build_fleet_keys()
_ENTRIES = 1500
_SAVED = Outcome(
    OutcomeKind.ANSWERED,
    201,
    ((b'location', b'x'.ljust(2048, b'x')),),
    b'saved',
)


class _Sidecar:
    """The member table, outcomes and handover of one sidecar."""

    def __init__(self) -> None:
        self.address = free_address()
        self.issued = 0
        self.outcomes = OutcomeTable(
            _ENTRIES,
            retention=60,
            owner=self.address,
            boot=_BOOT,
            last_issued_nonce=lambda: self.issued,
        )
        self.issued = _ENTRIES + 1
        self.members = MemberTable(self.record)
        codec = ConnectionIdCodec(_KEYS)
        self.handover = OutcomeHandover(
            SidecarIdentity(self.address, _TAG, _BOOT, codec),
            _KEYS,
            self.members,
            self.outcomes,
        )

    @property
    def record(self) -> MemberRecord:
        return MemberRecord(self.address, Incarnation(1), MemberState.ALIVE)

    def key(self, nonce: int) -> IdempotencyKey:
        return IdempotencyKey(self.address, _BOOT, _TAG, nonce)

    async def serve(self, stream: MessageStream) -> None:
        while True:
            await self.handover.adopt(stream, await stream.receive())


class OutcomeHandoverTest(unittest.IsolatedAsyncioTestCase):
    async def test_large_table_reaches_a_peer_completely(self) -> None:
        owner, peer = _Sidecar(), _Sidecar()
        for nonce in range(1, _ENTRIES + 1):
            owner.outcomes.begin(owner.key(nonce), 0)
            owner.outcomes.finish(owner.key(nonce), _SAVED, 0)
        await self._hand_over(owner, peer)
        for nonce in (1, _ENTRIES):
            self.assertEqual(
                peer.outcomes.find_adopted(owner.key(nonce), 0),
                Stored(_SAVED),
            )
        unused = owner.key(_ENTRIES + 1)
        self.assertEqual(
            peer.outcomes.find_adopted(unused, 0),
            NeverRan(),
        )

    async def test_adopted_outcomes_are_handed_over_again(self) -> None:
        first, second, third = _Sidecar(), _Sidecar(), _Sidecar()
        first.outcomes.begin(first.key(1), 0)
        first.outcomes.finish(first.key(1), _SAVED, 0)
        await self._hand_over(first, second)
        await self._hand_over(second, third)
        now = time.monotonic()
        for sidecar, nonce, expected in (
            (first, 1, Stored(_SAVED)),
            (first, 2, NeverRan()),
            (second, 1, NeverRan()),
        ):
            found = third.outcomes.find_adopted(sidecar.key(nonce), now)
            self.assertEqual(found, expected)

    async def _hand_over(self, leaving: _Sidecar, peer: _Sidecar) -> None:
        leaving.members.merge([peer.record], 0)
        server = StreamServer(peer.address, _KEYS, peer.serve)
        await server.start()
        self.assertEqual(await leaving.handover.hand_over(), 1)
        await server.close()
