"""Tests of the simulation of carried flows.

They guard against runs that differ for the same seed, which hide the effect
of a change, and against lost requests in fleets without a fault or after one.
"""

import logging
import tempfile
import unittest
from pathlib import Path

from attrs import evolve

from bench.emulator.scenario import (
    Fault,
    FleetPlan,
    LoadKind,
    Scenario,
    ScenarioError,
    load_scenario,
)
from bench.emulator.simulation import run_scenario

_LOAD = LoadKind('view', 60, 50, 250, 1200, users=40)
_SCENARIO = Scenario((_LOAD,), 3, FleetPlan(balancers=3, servers=3))


class EmulatorTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_statistics_repeat_for_same_seed_only(self) -> None:
        first = run_scenario(_SCENARIO, 1)
        self.assertEqual(first, run_scenario(_SCENARIO, 1))
        self.assertNotEqual(first, run_scenario(_SCENARIO, 2))

    def test_no_request_fails_without_faults(self) -> None:
        total = run_scenario(_SCENARIO, 1).total()
        self.assertEqual(total.failed, 0)
        self.assertGreater(total.worth, 0.99)

    def test_requests_succeed_again_after_power_loss(self) -> None:
        fault = Fault('power', at=1, for_s=0.5)
        scenario = evolve(_SCENARIO, seconds=8, faults=(fault,))
        windows = run_scenario(scenario, 1).windows
        self.assertLess(windows[0].worth, 1)
        self.assertGreater(windows[3].worth, 0.99)

    def test_no_open_flow_is_reset_while_servers_register_again(self) -> None:
        """A view that lists some of the servers proves no flow lost."""
        fault = Fault('power', at=1, for_s=0.5, jitter_s=0.2, register_s=0.8)
        scenario = evolve(_SCENARIO, seconds=8, faults=(fault,))
        statistics = run_scenario(scenario, 1)
        self.assertEqual(statistics.violations, [])
        self.assertGreater(statistics.windows[3].worth, 0.99)

    def test_no_request_fails_when_balancer_is_killed(self) -> None:
        fault = Fault('balancers', at=1, for_s=1, count=1)
        scenario = evolve(_SCENARIO, seconds=6, faults=(fault,))
        self.assertEqual(run_scenario(scenario, 1).total().failed, 0)

    def test_failing_servers_lose_their_flows(self) -> None:
        """They look fast and idle, and would get more than the others."""
        load = LoadKind(
            'view', 150, 20, 300, 3000, min_answer_bytes=400, retries=0
        )
        for kind in ('errors', 'resets', 'silence'):
            for at in (0, 3):
                fault = Fault(kind, at=at, for_s=4, count=2)
                fleet = FleetPlan(balancers=3, servers=15, slots=1)
                scenario = Scenario((load,), at + 5, fleet, (fault,))
                window = run_scenario(scenario, 1).windows[(at + 3) // 2]
                with self.subTest(kind=kind, at=at):
                    self.assertLess(window.failed, 0.1 * window.sent)

    def test_no_open_flow_is_reset_when_routes_move(self) -> None:
        """Lookups by the present route reset flows of the former service."""
        statistics = run_scenario(load_scenario('route-moves'), 1)
        self.assertEqual(statistics.violations, [])
        self.assertGreater(statistics.total().worth, 0.95)

    def test_cold_servers_get_no_more_than_the_warmup_rate(self) -> None:
        """Without the rate the same run exceeds it, so that it is counted."""
        fault = Fault('machines', at=1, for_s=1, count=1)
        load = LoadKind('view', 200, 10, 250, 1200)
        fleet = FleetPlan(balancers=3, servers=3, slots=1, cold_factor=1)
        peaks = []
        for per_s in (4, 0):
            plan = evolve(fleet, warmup_per_s=per_s)
            statistics = run_scenario(Scenario((load,), 4, plan, (fault,)), 1)
            self.assertEqual(statistics.violations, [])
            peaks.append(statistics.cold_peak)
        self.assertEqual(peaks[0], 4 * 1.5 + 5)
        self.assertGreater(peaks[1], peaks[0])

    def test_error_names_unknown_scenario(self) -> None:
        with self.assertRaisesRegex(ScenarioError, 'nowhere'):
            load_scenario('nowhere')

    def test_error_names_unknown_fault(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'own.toml'
            path.write_text('load = []\n[[faults]]\nkind = "rain"\nat = 1\n')
            with self.assertRaisesRegex(ScenarioError, 'rain'):
                load_scenario(str(path))
