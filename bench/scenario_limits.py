"""Bounds on what a run may take of the machine."""

import os

from bench.scenario_file import Scenario, ScenarioError

MAX_PROCESSES = 200
PROCESS_BYTES = 90 * 1024 * 1024
MEMORY_SHARE = 0.5


def check_limits(scenario: Scenario) -> None:
    """Raise ScenarioError when a run would take too much."""
    count = scenario.processes
    if count > MAX_PROCESSES:
        raise ScenarioError(
            f'{scenario.name}: {count} processes are more than '
            f'{MAX_PROCESSES}; take a smaller --scale',
        )
    memory = os.sysconf('SC_PAGE_SIZE') * os.sysconf('SC_PHYS_PAGES')
    if count * PROCESS_BYTES > memory * MEMORY_SHARE:
        raise ScenarioError(
            f'{scenario.name}: {count} processes take more than half of the '
            f'memory; take a smaller --scale',
        )
