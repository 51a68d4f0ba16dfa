"""Limits on the processes and memory of a run."""

import os

from bench.scenarios.file import Scenario, ScenarioError

MAX_PROCESSES = 200
BYTES_PER_PROCESS = 90 * 1024 * 1024
MAX_MEMORY_SHARE = 0.5


def check_limits(scenario: Scenario) -> None:
    """Raise ScenarioError if a run would exceed a limit."""
    count = scenario.processes
    if count > MAX_PROCESSES:
        raise ScenarioError(
            f'{scenario.name}: {count} processes exceed the limit of '
            f'{MAX_PROCESSES}; use a smaller --scale',
        )
    memory = os.sysconf('SC_PAGE_SIZE') * os.sysconf('SC_PHYS_PAGES')
    if count * BYTES_PER_PROCESS > memory * MAX_MEMORY_SHARE:
        raise ScenarioError(
            f'{scenario.name}: {count} processes need more than half of the '
            f'memory; use a smaller --scale',
        )
