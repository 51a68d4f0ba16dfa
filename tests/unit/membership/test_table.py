import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.membership import MemberTable, decode_digest
from dragonflyshift._internal.membership.digest import MAX_COUNTER
from dragonflyshift._internal.membership.roster import (
    MAX_REMOVED,
    REMOVED_RETENTION_S,
)
from dragonflyshift._internal.membership.table import SUSPICION_TIMEOUT_S
from dragonflyshift._internal.models import Incarnation, MemberState
from tests.lib.members import address_of, build_member

steady = settings(derandomize=True, deadline=None, max_examples=100)
words = st.lists(
    st.builds(
        build_member,
        st.integers(1, 4),
        st.integers(0, 3),
        st.integers(0, 3),
        st.sampled_from(MemberState),
    ),
    max_size=12,
)


def _merged(*batches):
    table = MemberTable(None)
    for batch in batches:
        table.merge(batch, 0)
    return table


class MergeTest(unittest.TestCase):
    @steady
    @given(words, words, words)
    def test_commutative_associative_idempotent(self, one, two, three):
        straight = _merged(one, two, three)
        joined = decode_digest(_merged(two, three).digest)
        for other in (
            _merged(three, one, two),
            _merged(joined, one),
            _merged(one, two, three, two, one),
        ):
            self.assertEqual(straight.digest, other.digest)
            self.assertEqual(straight.hash, other.hash)

    @steady
    @given(words)
    def test_changes_tell_every_change_once(self, batch):
        table = MemberTable(None)
        told = []
        table.changes.subscribe(told.extend)
        for word in batch:
            before = table.record(word.address)
            table.merge([word], 0)
            changed = table.record(word.address) != before
            self.assertEqual(bool(told), changed)
            told.clear()

    def test_death_of_an_older_boot_does_not_override(self):
        table = _merged([build_member(boot=2)])
        table.merge([build_member(boot=1, epoch=9, state=MemberState.DEAD)], 0)
        self.assertIs(table.state_of(address_of(1)), MemberState.ALIVE)

    def test_load_is_kept_within_a_life_and_not_emitted(self):
        table = _merged([build_member()])
        told = []
        table.changes.subscribe(told.append)
        before = table.hash
        table.note_load(address_of(1), 3, 2, 0)
        self.assertEqual((table.hash, told), (before, []))
        table.merge([build_member(epoch=1)], 0)
        self.assertEqual(table.record(address_of(1)).free_slots, 3)
        table.merge([build_member(boot=2)], 0)
        self.assertEqual(table.record(address_of(1)).free_slots, 0)


class OwnTest(unittest.TestCase):
    @steady
    @given(words, st.sampled_from(MemberState))
    def test_own_word_always_holds(self, batch, state):
        table = MemberTable(build_member(state=state))
        table.merge(batch, 0)
        own = table.own.record
        self.assertIs(own.state, state)
        for word in batch:
            if word.address == own.address and word != build_member(
                state=state,
            ):
                self.assertGreater(own.precedence, word.precedence)

    def test_restart_with_a_clock_gone_back_adopts_the_next_boot(self):
        table = MemberTable(build_member(boot=5))
        table.merge([build_member(boot=9, state=MemberState.DEAD)], 0)
        self.assertEqual(table.own.record.incarnation, Incarnation(10))
        self.assertEqual(table.own.boots, {5, 10})

    def test_leaving_is_kept_when_refuting(self):
        table = MemberTable(build_member())
        table.set_own_state(MemberState.LEAVING)
        table.merge([build_member(state=MemberState.DEAD)], 0)
        self.assertEqual(
            table.own.record,
            build_member(epoch=1, state=MemberState.LEAVING),
        )

    def test_going_back_to_serving_overrides_the_word_of_leaving(self):
        table = MemberTable(build_member())
        table.set_own_state(MemberState.LEAVING)
        peer = _merged([table.own.record])
        table.set_own_state(MemberState.ALIVE)
        peer.merge([table.own.record], 0)
        self.assertIs(peer.state_of(address_of(1)), MemberState.ALIVE)

    def test_highest_counters_end_without_a_loop(self):
        table = MemberTable(build_member())
        word = build_member(boot=MAX_COUNTER, epoch=MAX_COUNTER)
        table.merge([word], 0)
        self.assertEqual(table.merge([word], 0), ())


class SuspicionTest(unittest.TestCase):
    def test_silent_suspect_dies_and_its_refutation_revives_it(self):
        table = _merged([build_member()])
        table.suspect(address_of(1), 10)
        self.assertIs(table.state_of(address_of(1)), MemberState.SUSPECT)
        self.assertFalse(table.expire_suspects(10 + SUSPICION_TIMEOUT_S / 2))
        self.assertTrue(table.expire_suspects(10 + SUSPICION_TIMEOUT_S))
        self.assertIs(table.state_of(address_of(1)), MemberState.DEAD)
        table.merge([build_member(epoch=1)], 20)
        self.assertIs(table.state_of(address_of(1)), MemberState.ALIVE)
        self.assertFalse(table.expire_suspects(99))

    def test_silent_leaving_member_stays_leaving_until_it_dies(self):
        table = _merged([build_member(state=MemberState.LEAVING)])
        table.suspect(address_of(1), 0)
        self.assertIs(table.state_of(address_of(1)), MemberState.LEAVING)
        table.expire_suspects(SUSPICION_TIMEOUT_S)
        self.assertIs(table.state_of(address_of(1)), MemberState.DEAD)

    def test_member_never_heard_can_be_suspected_and_then_start(self):
        table = MemberTable(None)
        table.suspect(address_of(1), 0)
        table.expire_suspects(SUSPICION_TIMEOUT_S)
        self.assertIs(table.state_of(address_of(1)), MemberState.DEAD)
        table.merge([build_member(state=MemberState.COLD)], 9)
        self.assertIs(table.state_of(address_of(1)), MemberState.COLD)


class PauseTest(unittest.TestCase):
    def test_beliefs_are_doubtful_until_heard_anew_and_stay_local(self):
        table = _merged([build_member(1), build_member(2)])
        before = table.digest
        table.forget_beliefs(50)
        self.assertTrue(table.doubtful)
        self.assertEqual(table.digest, before)
        self.assertIs(table.state_of(address_of(1)), MemberState.SUSPECT)
        self.assertEqual(table.merge([build_member(1)], 51), (build_member(1),))
        self.assertIs(table.state_of(address_of(1)), MemberState.ALIVE)
        self.assertIs(table.state_of(address_of(2)), MemberState.SUSPECT)

    def test_pause_does_not_turn_suspicion_into_death(self):
        table = _merged([build_member()])
        table.suspect(address_of(1), 0)
        table.forget_beliefs(100)
        self.assertFalse(table.expire_suspects(100))


class RetainTest(unittest.TestCase):
    def test_removed_member_is_hidden_and_not_revived_by_a_stale_word(self):
        leaving = build_member(boot=5, state=MemberState.LEAVING)
        table = _merged([leaving, build_member(2)])
        table.retain([address_of(2)], 0)
        self.assertEqual(table.records(), (build_member(2),))
        self.assertEqual(table.digest, _merged([build_member(2)]).digest)
        self.assertFalse(table.merge([build_member(boot=4)], 1))
        table.retain([address_of(1), address_of(2)], 2)
        table.merge([build_member(boot=4)], 3)
        self.assertEqual(table.record(address_of(1)), leaving)

    def test_removed_members_are_dropped_in_time_and_bounded(self):
        members = [build_member(index) for index in range(MAX_REMOVED * 2)]
        named = [member.address for member in members]
        table = _merged(members)
        table.retain([], 0)
        table.retain(named, 1)
        self.assertEqual(len(table.records()), MAX_REMOVED)
        table.retain([], 1)
        table.expire_suspects(1 + REMOVED_RETENTION_S)
        table.retain(named, 999)
        self.assertEqual(table.records(), ())

    def test_own_record_leaves_the_digest_with_the_configuration(self):
        table = MemberTable(build_member())
        table.retain([], 0)
        self.assertEqual(table.digest, b'')
        self.assertEqual(table.record(address_of(1)), build_member())
