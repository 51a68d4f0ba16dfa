"""Tests of the outcome table and of its transfer to peers.

They guard against a request that runs twice under one key, a request that is
reported as not run although it ran, and tables that grow without limit.
"""

import asyncio
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.exceptions import StateError
from dragonflyshift._internal.models import (
    Address,
    IdempotencyKey,
    Outcome,
    OutcomeKind,
    StoredEntry,
)
from dragonflyshift._internal.state import (
    Begun,
    Fenced,
    NeverRan,
    OutcomeTable,
    OutcomeTableFullError,
    Running,
    Stored,
    TransferPart,
    transfer_parts,
)
from dragonflyshift._internal.state.outcomes import BODY_OMITTED
from dragonflyshift._internal.wire.messages import (
    OutcomeTransfer,
    decode_message,
    encode_message,
)

_OWNER = Address('127.0.0.1', 4433)
_BOOT = 7
_ISSUED = 20
_RETENTION_S = 10
_SAVED = Outcome(OutcomeKind.ANSWERED, 201, ((b'x-id', b'5'),), b'saved')
_NOT_RUN = Outcome(OutcomeKind.NOT_RUN, 503)
# Small, so that several steps use the same key.
_RANDOM_NONCES = 8
_FREEZE_SHARE = 0.01
_LOST_SHARE = 0.2
_RANDOM_STEPS = 300
_UNKNOWN = Outcome(OutcomeKind.UNKNOWN, 0)


def _key(nonce: int, boot: int = _BOOT) -> IdempotencyKey:
    return IdempotencyKey(_OWNER, boot, 3, nonce)


def _table(capacity: int = 100, issued: int = _ISSUED) -> OutcomeTable:
    nonces = [0]
    table = OutcomeTable(
        capacity,
        _RETENTION_S,
        owner=_OWNER,
        boot=_BOOT,
        last_issued_nonce=lambda: nonces[0],
    )
    nonces[0] = issued
    return table


def _hand_over(owner: OutcomeTable, peer: OutcomeTable, now: float) -> None:
    for message in transfer_parts(_OWNER, _BOOT, owner.freeze(), owner.floor):
        _adopt(peer, message, now)


def _adopt(peer: OutcomeTable, message: OutcomeTransfer, now: float) -> None:
    peer.adopt(
        message.owner,
        message.boot,
        message.entries,
        complete=message.complete,
        floor=message.floor,
        part=TransferPart(message.transfer, message.part),
        now=now,
    )


class OutcomeTableTest(unittest.IsolatedAsyncioTestCase):
    async def test_second_request_waits_and_third_gets_the_outcome(
        self,
    ) -> None:
        table = _table()
        self.assertEqual(table.begin(_key(1), 0), Begun())
        running = table.begin(_key(1), 0)
        assert isinstance(running, Running)
        waiting = asyncio.create_task(running.wait())
        await asyncio.sleep(0)
        table.finish(_key(1), _SAVED, 1)
        self.assertEqual(await waiting, _SAVED)
        self.assertEqual(await running.wait(), _SAVED)
        self.assertEqual(table.begin(_key(1), 2), Stored(_SAVED))

    async def test_removed_key_and_older_ones_are_fenced(self) -> None:
        table = _table()
        for nonce in (3, 5, 4):
            table.begin(_key(nonce), 0)
        table.finish(_key(5), _SAVED, 0)
        table.finish(_key(4), _SAVED, 5)
        table.expire(_RETENTION_S)
        self.assertEqual(table.begin(_key(5), 10), Fenced())
        self.assertEqual(table.begin(_key(2), 10), Fenced())
        self.assertEqual(table.begin(_key(4), 10), Stored(_SAVED))
        self.assertIsInstance(table.begin(_key(3), 10), Running)
        self.assertEqual(table.begin(_key(6), 10), Begun())

    async def test_not_run_request_may_start_again(self) -> None:
        table = _table()
        table.begin(_key(1), 0)
        table.finish(_key(1), _NOT_RUN, 0)
        self.assertEqual(table.begin(_key(1), 0), Begun())
        table.finish(_key(1), _UNKNOWN, 0)
        self.assertEqual(table.begin(_key(1), 0), Stored(_UNKNOWN))

    async def test_keys_of_other_owners_and_unissued_keys_are_refused(
        self,
    ) -> None:
        for key in (_key(_ISSUED + 1), _key(1, boot=8)):
            with self.assertRaises(StateError):
                _table().begin(key, 0)
        # Such as a key of another process with the same boot number.
        self.assertEqual(_table().begin(_key(0), 0), Fenced())
        with self.assertRaises(StateError):
            _table().finish(_key(1), _SAVED, 0)

    async def test_full_table_refuses_until_retention_ends(self) -> None:
        table = _table(capacity=2)
        for nonce in (1, 2):
            table.begin(_key(nonce), 0)
        table.finish(_key(1), _SAVED, 0)
        with self.assertRaises(OutcomeTableFullError) as caught:
            table.begin(_key(3), 4)
        self.assertEqual(caught.exception.retry_after, 6)
        self.assertEqual(table.begin(_key(3), 10), Begun())

    async def test_large_body_is_omitted_and_marked(self) -> None:
        table = _table(capacity=5000, issued=5000)
        large = Outcome(
            OutcomeKind.ANSWERED,
            200,
            ((b'Content-Length', b'70000'), (b'x-id', b'5')),
            bytes(70000),
        )
        table.begin(_key(1), 0)
        table.finish(_key(1), large, 0)
        stored = table.begin(_key(1), 0)
        assert isinstance(stored, Stored)
        self.assertEqual(stored.outcome.body, b'')
        self.assertEqual(
            stored.outcome.headers,
            (BODY_OMITTED, (b'x-id', b'5')),
        )
        for nonce in range(2, 500):
            table.begin(_key(nonce), 0)
            table.finish(_key(nonce), _large_answer(60_000), 0)
        entries = table.freeze()
        total = sum(len(entry.outcome.body) for entry in entries)
        self.assertLessEqual(total, 16 * 1024 * 1024)
        self.assertEqual(len(entries), 499)


class HandOverTest(unittest.TestCase):
    def test_peer_answers_for_a_stopped_owner(self) -> None:
        owner, peer = _table(), _table()
        for nonce in (1, 2, 3):
            owner.begin(_key(nonce), 0)
        owner.finish(_key(1), _SAVED, 0)
        owner.finish(_key(2), _SAVED, 5)
        owner.expire(_RETENTION_S)
        _hand_over(owner, peer, 10)
        self.assertIsNone(peer.find_adopted(_key(1), 10))
        self.assertEqual(peer.find_adopted(_key(2), 10), Stored(_SAVED))
        self.assertEqual(peer.find_adopted(_key(3), 10), Stored(_UNKNOWN))
        self.assertEqual(peer.find_adopted(_key(4), 10), NeverRan())
        self.assertIsNone(peer.find_adopted(_key(4, boot=8), 10))
        self.assertEqual(owner.begin(_key(4), 10), NeverRan())
        self.assertIsInstance(owner.begin(_key(3), 10), Running)
        owner.finish(_key(3), _SAVED, 11)
        _hand_over(owner, peer, 11)
        self.assertEqual(peer.find_adopted(_key(3), 11), Stored(_SAVED))
        self.assertIsNone(peer.find_adopted(_key(4), 21))

    def test_incomplete_transfer_leaves_missing_keys_unknown(self) -> None:
        owner, peer = _table(issued=100), _table()
        for nonce in range(1, 31):
            owner.begin(_key(nonce), 0)
            owner.finish(_key(nonce), _large_answer(60_000), 0)
        parts = list(transfer_parts(_OWNER, _BOOT, owner.freeze(), owner.floor))
        self.assertGreater(len(parts), 2)
        for part in parts:
            self.assertEqual(decode_message(encode_message(part)), part)
        for part in parts[:-1]:
            _adopt(peer, part, 0)
            self.assertIsNone(peer.find_adopted(_key(50), 0))
        _adopt(peer, parts[-1], 0)
        self.assertEqual(peer.find_adopted(_key(50), 0), NeverRan())

    def test_adopted_outcomes_are_bounded(self) -> None:
        owner, peer = _table(), _table(capacity=2)
        for nonce in (1, 2, 3):
            owner.begin(_key(nonce), 0)
        _hand_over(owner, peer, 0)
        for nonce in (1, 4):
            self.assertIsNone(peer.find_adopted(_key(nonce), 0))

    def test_adopted_bytes_are_bounded(self) -> None:
        peer = _table(capacity=5000)
        large = _large_answer(64 * 1024)
        entries = tuple(StoredEntry(_key(nonce), large) for nonce in range(600))
        for message in transfer_parts(_OWNER, _BOOT, entries, 0):
            _adopt(peer, message, 0)
        self.assertIsNone(peer.find_adopted(_key(1), 0))
        self.assertEqual(peer.adopted_owners(), ())


class _RandomSteps:
    """Random steps of an owner and of a peer that adopts its outcomes."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.owner = _table(capacity=4)
        self.peer = _table()
        self.now = 0
        self.steps = 0
        self.running: set[int] = set()
        self.ran: set[int] = set()
        self.parts: list[OutcomeTransfer] = []

    def step(self) -> None:
        self.steps += 1
        steps = (
            self.begin,
            self.finish,
            self.wait,
            self.adopt,
            self.check_peer,
        )
        self.rng.choice(steps)()
        if self.rng.random() < _FREEZE_SHARE:
            self.freeze()

    def begin(self) -> None:
        nonce = self.rng.randint(1, _RANDOM_NONCES)
        started = nonce in self.ran | self.running
        try:
            result = self.owner.begin(_key(nonce), self.now)
        except OutcomeTableFullError:
            return
        if isinstance(result, Begun):
            self.running.add(nonce)
        may_be_new = isinstance(result, Begun | NeverRan | Fenced)
        assert may_be_new or started, result
        assert not (isinstance(result, Begun | NeverRan) and started), result

    def finish(self) -> None:
        if not self.running:
            return
        nonce = self.rng.choice(sorted(self.running))
        outcome = self.rng.choice((_SAVED, _UNKNOWN, _NOT_RUN))
        self.running.remove(nonce)
        if outcome is not _NOT_RUN:
            self.ran.add(nonce)
        self.owner.finish(_key(nonce), outcome, self.now)

    def wait(self) -> None:
        self.now += self.rng.randint(1, _RETENTION_S)
        self.owner.expire(self.now)

    def freeze(self) -> None:
        entries = self.owner.freeze()
        self.parts.extend(
            OutcomeTransfer(
                _OWNER,
                _BOOT,
                entries[index : index + 1],
                complete=index >= len(entries) - 1,
                floor=self.owner.floor,
                transfer=self.steps,
                part=index,
            )
            for index in range(max(1, len(entries)))
        )

    def adopt(self) -> None:
        if not self.parts:
            return
        part = self.parts.pop(0)
        if self.rng.random() > _LOST_SHARE:
            _adopt(self.peer, part, self.now)

    def check_peer(self) -> None:
        nonce = self.rng.randint(1, _RANDOM_NONCES)
        found = self.peer.find_adopted(_key(nonce), self.now)
        if isinstance(found, NeverRan):
            assert nonce not in self.ran | self.running
        if isinstance(found, Stored) and found.outcome == _SAVED:
            assert nonce in self.ran


class AtMostOnceTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.integers(0, 1 << 32))
    def test_no_key_runs_twice_in_random_steps(self, seed: int) -> None:
        random_steps = _RandomSteps(random.Random(seed))
        while random_steps.steps < _RANDOM_STEPS:
            random_steps.step()


def _large_answer(size: int) -> Outcome:
    return Outcome(OutcomeKind.ANSWERED, 200, (), bytes(size))
