"""Loads scenarios from TOML files: services, load and steps of a run."""

import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import cattrs
from attrs import evolve, field, frozen
from cattrs.errors import BaseValidationError

from tests.lib.declarations import ANYWHERE_RULES, ServicePlan

DIRECTORY = Path(__file__).resolve().parent
DEFAULTS = 'defaults.toml'
MIN_ENDPOINTS = 2
MIN_CLIENTS = 2
# The platform, the fabric and the benchmark itself.
OTHER_PROCESSES = 3


class ScenarioError(ValueError):
    """A scenario file, name, step or size is not usable."""


@frozen
class ServiceLoad:
    """One service: its endpoints, and the clients that use it.

    ``mix`` maps each kind of request to its weight, ``delay`` is the service
    time of a short request in seconds.
    """

    name: str
    organisation: str
    data_centers: tuple[str, ...]
    endpoints: int = 4
    slots: int = 3
    clients: int = 4
    mix: dict[str, float] = field(factory=lambda: {'list': 1.0})
    delay: float = 0.05
    slow_start: float = 0

    def scaled(self, scale: float) -> 'ServiceLoad':
        """Return a copy with the numbers of endpoints and clients scaled."""
        endpoints = max(MIN_ENDPOINTS, round(self.endpoints * scale))
        clients = max(MIN_CLIENTS, round(self.clients * scale))
        return evolve(self, endpoints=endpoints, clients=clients)

    def plan(self) -> ServicePlan:
        """Return the configuration of the service in a test cluster."""
        return ServicePlan(
            self.name,
            self.organisation,
            self.endpoints,
            self.slots,
            self.data_centers,
            rules=evolve(ANYWHERE_RULES, slow_start=self.slow_start),
        )


@frozen
class StepPlan:
    """The step ``do`` at ``at`` seconds after the load starts, and its target.

    ``service`` defaults to the first one. ``endpoint`` and ``balancer`` are
    indexes from 0, ``count`` is the number of clients to cut off, and
    ``seconds`` is the duration of a cold start.
    """

    at: float
    do: str
    service: str = ''
    endpoint: int = 0
    balancer: int = 0
    target: str = 'sidecar'
    data_center: str = ''
    count: int = 2
    seconds: float = 3.0
    delay: float = 0.5


@frozen
class Scenario:
    """One scenario; times are in seconds.

    ``rest`` is the idle time before the load starts.
    """

    name: str
    text: str
    service: tuple[ServiceLoad, ...]
    balancers: int = 3
    seconds: float = 8.0
    rest: float = 1.0
    think: float = 0.02
    step: tuple[StepPlan, ...] = ()

    @property
    def processes(self) -> int:
        """Maximum number of processes of a run."""
        joining = any('balancer' in each.do for each in self.step)
        balancers = self.balancers * (1 + joining)
        endpoints = sum(each.endpoints for each in self.service)
        return OTHER_PROCESSES + 2 * endpoints + balancers

    def scaled(self, scale: float) -> 'Scenario':
        """Return a copy with the numbers of endpoints and clients scaled."""
        services = tuple(each.scaled(scale) for each in self.service)
        return evolve(self, service=services)

    def lasting(self, seconds: float) -> 'Scenario':
        """Return a copy whose load lasts ``seconds``, with steps rescaled."""
        ratio = seconds / self.seconds
        steps = tuple(
            evolve(each, at=each.at * ratio, seconds=each.seconds * ratio)
            for each in self.step
        )
        return evolve(self, seconds=seconds, step=steps)


def load_scenarios(
    directory: Path = DIRECTORY,
    only: Sequence[str] = (),
) -> tuple[Scenario, ...]:
    """Read scenarios, all or ``only`` some, in order of file names.

    Keys that a file omits come from ``defaults.toml`` in the same directory.
    Raises ScenarioError for an invalid file or an unknown name.
    """
    defaults = _read(directory / DEFAULTS)
    paths = sorted(directory.glob('*.toml'))
    found = [
        _build(path, {**defaults, **_read(path)})
        for path in paths
        if path.name != DEFAULTS
    ]
    unknown = set(only) - {each.name for each in found}
    if unknown:
        names = ', '.join(each.name for each in found)
        missing = ', '.join(sorted(unknown))
        raise ScenarioError(f'unknown scenario {missing}; available: {names}')
    return tuple(each for each in found if not only or each.name in only)


def _read(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text())
    except FileNotFoundError:
        return {}
    except tomllib.TOMLDecodeError as exc:
        raise ScenarioError(f'{path.name}: {exc}') from exc


def _build(path: Path, document: dict[str, Any]) -> Scenario:
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        return converter.structure(document, Scenario)
    except (BaseValidationError, ValueError, TypeError) as exc:
        problems = '; '.join(cattrs.transform_error(exc))
        raise ScenarioError(f'{path.name}: {problems}') from exc
