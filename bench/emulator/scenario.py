"""Scenarios: a fleet, its load and the faults of one run, as TOML files."""

__all__ = (
    'Fault',
    'FleetPlan',
    'LoadKind',
    'Scenario',
    'ScenarioError',
    'load_scenario',
)

import tomllib
from pathlib import Path

import cattrs
from attrs import frozen
from cattrs.errors import BaseValidationError

FAULT_KINDS = frozenset(('balancers', 'burst', 'crash', 'power', 'slow'))
DIRECTORY = Path(__file__).resolve().parent / 'scenarios'
MS_PER_S = 1000


class ScenarioError(ValueError):
    """A scenario's name or file is not usable."""


@frozen
class FleetPlan:
    """The machines.

    ``packet_ms`` is what a balancer's processor takes for a datagram,
    ``balancer_load_s`` and ``sidecar_load_s`` the time from a start to the
    first packet. A server that has just started is ``cold_factor`` times
    slower for ``cold_s``.
    """

    data_centers: int = 3
    balancers: int = 7
    servers: int = 7
    slots: int = 4
    queue: int = 14
    packet_ms: float = 0.15
    crossing_ms: float = 0.5
    client_ms: float = 1.0
    balancer_load_s: float = 0.6
    sidecar_load_s: float = 0.25
    cold_s: float = 2.0
    cold_factor: float = 1.6


@frozen
class LoadKind:
    """One kind of request.

    ``users`` keep flows open for many requests; without users each request
    has a flow of its own. Worth is earned within ``target_ms`` of the first
    attempt, ``late_worth`` until ``budget_ms``.
    """

    name: str
    per_s: float
    work_ms: float
    target_ms: float
    budget_ms: float
    worth: float = 1
    late_worth: float = 0.5
    priority: int = 2
    users: int = 0
    retries: int = 2
    spread: float = 0.5


@frozen
class Fault:
    """One fault.

    power: everything is dark for ``for_s``; crash: ``count`` servers; slow:
    ``count`` servers are ``factor`` times slower; burst: ``factor`` times
    the load; balancers: ``count`` balancers are killed and start again.
    """

    kind: str
    at: float
    for_s: float = 1.0
    count: int = 1
    factor: float = 1.0


@frozen
class Scenario:
    """All of one run; ``seconds`` of load."""

    load: tuple[LoadKind, ...]
    seconds: float = 12.0
    fleet: FleetPlan = FleetPlan()
    faults: tuple[Fault, ...] = ()


def load_scenario(name: str) -> Scenario:
    """Read a scenario by its name, or by the path of its file."""
    path = Path(name)
    if path.suffix != '.toml':
        path = DIRECTORY / f'{name}.toml'
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        scenario = converter.structure(
            tomllib.loads(path.read_text()),
            Scenario,
        )
    except (OSError, ValueError, BaseValidationError) as exc:
        raise ScenarioError(f'{path}: {exc!r}') from exc
    unknown = {fault.kind for fault in scenario.faults} - FAULT_KINDS
    if unknown:
        raise ScenarioError(f'{path}: unknown faults: {sorted(unknown)}')
    return scenario
