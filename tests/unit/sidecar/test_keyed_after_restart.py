"""Repeated saves while the sidecars of a service restart one by one.

The outcome of a save is held by the peers to which the key owner handed it
over. Its successor at the same address, and any other sidecar that started
since, has to get it from them: a client whose save ran must not be told that
its outcome is unknown.
"""

import asyncio
import time
import unittest

from dragonflyshift._internal.kernel.tasks import BackgroundTasks
from dragonflyshift._internal.models import (
    Address,
    Outcome,
    OutcomeKind,
    StoredEntry,
)
from dragonflyshift._internal.sidecar.failures import RunFailedError
from dragonflyshift._internal.state import TransferPart
from dragonflyshift._internal.wire.stream import StreamServer
from tests.lib.keyed_sidecar import (
    KEYS,
    KeyedSidecar,
    RecordingSink,
    save_request,
)
from tests.lib.network import free_address

_OLD_BOOT = 7
_NEW_BOOT = 8
_WAIT_S = 5.0
_SAVED = Outcome(OutcomeKind.ANSWERED, 201, (), b'saved')


class RestartedOwnerTest(unittest.IsolatedAsyncioTestCase):
    """The successor of a key owner, and the peer that adopted its outcomes."""

    async def asyncSetUp(self) -> None:
        self.tasks = BackgroundTasks()
        self.home = free_address()
        self.peer = KeyedSidecar(free_address(), _OLD_BOOT, self.tasks)
        owner = KeyedSidecar(self.home, _OLD_BOOT, self.tasks)
        self.key = owner.issue()
        self.parsed_key = owner.parse(self.key)
        server = StreamServer(self.peer.address, KEYS, self.peer.serve)
        await server.start()
        self.addAsyncCleanup(server.close)

    async def asyncTearDown(self) -> None:
        await self.tasks.close()

    def _hand_over(self, *entries: StoredEntry) -> None:
        self.peer.outcomes.adopt(
            self.home,
            _OLD_BOOT,
            entries,
            complete=True,
            floor=self.parsed_key.nonce,
            part=TransferPart(1, 0),
            now=time.monotonic(),
        )

    async def _repeat(
        self, address: Address, peers: tuple[Address, ...]
    ) -> RecordingSink:
        sidecar = KeyedSidecar(address, _NEW_BOOT, self.tasks, peers)
        sink = RecordingSink()
        async with asyncio.timeout(_WAIT_S):
            await sidecar.keyed.serve(save_request(self.key), sink)
        self.assertEqual(sidecar.runs, 0)
        return sink

    async def test_successor_gets_the_outcome_from_a_peer(self) -> None:
        self._hand_over(StoredEntry(self.parsed_key, _SAVED))
        sink = await self._repeat(self.home, (self.peer.address,))
        self.assertEqual((sink.status, sink.body), (201, b'saved'))

    async def test_other_new_sidecar_gets_the_outcome_from_a_peer(self):
        self._hand_over(StoredEntry(self.parsed_key, _SAVED))
        # Nothing listens at the address of the stopped key owner.
        sink = await self._repeat(free_address(), (self.peer.address,))
        self.assertEqual((sink.status, sink.body), (201, b'saved'))

    async def test_peer_reports_that_the_save_has_not_run(self) -> None:
        self._hand_over()
        with self.assertRaises(RunFailedError) as caught:
            await self._repeat(self.home, (self.peer.address,))
        self.assertEqual(caught.exception.kind, OutcomeKind.NOT_RUN)

    async def test_outcome_that_no_peer_holds_is_unknown(self) -> None:
        with self.assertRaises(RunFailedError) as caught:
            await self._repeat(self.home, (free_address(), self.peer.address))
        self.assertEqual(caught.exception.kind, OutcomeKind.UNKNOWN)
        self.assertEqual(self.peer.runs, 0)
