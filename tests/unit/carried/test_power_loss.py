"""Tests that no change is lost with the daemons that have read it.

A notice raised the revision of a view without the route table. When the daemons
that had the table lost power, all others kept the former configuration for
good: they read on after that revision.
"""

import logging
import unittest

from tests.lib.power_loss_replay import BALANCERS, ORDERS, Order, play

# Moments at which the orders of the configuration broke it, by the replay.
_KILLS_S = (0.006, 0.012, 0.3)
_SEEDS = (1,)
_LARGE = 60


class PowerLossTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_survivors_hold_what_the_store_holds(self) -> None:
        for order in ORDERS:
            for kill_s in _KILLS_S:
                for seed in _SEEDS:
                    self._check(order, seed, kill_s)

    def test_survivors_of_a_large_fleet_hold_it_too(self) -> None:
        order = next(order for order in ORDERS if order.count == BALANCERS)
        large = Order(order.name, order.scenario, _LARGE)
        self._check(large, 1, 0.006)

    def _check(self, order: Order, seed: int, kill_s: float) -> None:
        with self.subTest(order=order.name, seed=seed, kill_s=kill_s):
            result = play(order, seed, kill_s)
            self.assertEqual(result.late, set())
            self.assertEqual(result.wrong, {})
