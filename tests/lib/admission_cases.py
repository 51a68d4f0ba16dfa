"""Calls and common tests of the policies that queue new flows."""

__all__ = ('SERVICE_MS', 'SLOTS', 'QueuedAdmissionCases')

import unittest

from dragonflyshift._internal.carried.policies.admission import (
    AdmissionDecision,
    AdmissionPolicy,
    NewFlow,
)
from tests.lib.carried import build_new_flow

SERVICE_MS = 50.0
SLOTS = 3


class QueuedAdmissionCases(unittest.TestCase):
    """Tests that hold for each policy with a queue.

    A derived test case sets ``policy``. It imports this module and not the
    class, as unittest would also run the tests of the class itself. The server
    has three slots and a service time of 50 ms.
    """

    policy: AdmissionPolicy

    def test_flow_starts_at_once_in_a_free_slot(self) -> None:
        decision = self.offer(0, build_new_flow(1), busy=2)
        self.assertIs(decision, AdmissionDecision.START)

    def test_flow_waits_at_a_full_server(self) -> None:
        decision = self.offer(0, build_new_flow(1), busy=4)
        self.assertIs(decision, AdmissionDecision.WAIT)
        self.assertIsNone(self.next_ready(0, busy=4))
        self.assertIsNotNone(self.next_ready(0, busy=3))

    def test_busy_server_refuses_while_another_may_be_idle(self) -> None:
        """With one slot per server at 70 % utilization others may be idle."""
        flow = build_new_flow(1, is_last=False)
        decision = self.offer(0, flow, busy=SLOTS)
        self.assertIs(decision, AdmissionDecision.REFUSE)
        self.assertEqual(self.policy.waiting, 0)

    def offer(self, now: float, flow: NewFlow, busy: int) -> AdmissionDecision:
        """Return the decision on a new flow."""
        return self.policy.decide(now, flow, busy, SLOTS, SERVICE_MS)

    def next_ready(self, now: float, busy: int) -> NewFlow | None:
        """Return the next flow to start, if a slot is free."""
        return self.policy.next_ready(now, busy, SLOTS, SERVICE_MS)
