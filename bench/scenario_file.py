"""Scenarios as TOML files: services, load and the steps of one run."""

import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import cattrs
from attrs import evolve, field, frozen
from cattrs.errors import BaseValidationError

from tests.lib.declarations import ANYWHERE_RULES, ServicePlan

DIRECTORY = Path(__file__).resolve().parent / 'scenarios'
DEFAULTS = 'defaults.toml'
MIN_ENDPOINTS = 2
MIN_CLIENTS = 2
# The platform, the fabric and the bench itself.
OTHER_PROCESSES = 3


class ScenarioError(ValueError):
    """A scenario's file or name is not usable."""


@frozen
class ServiceLoad:
    """One service: its endpoints, and the clients that use it.

    ``mix`` gives each kind of request a weight, ``delay`` is the service
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
        """Return the same with more or fewer endpoints and clients."""
        endpoints = max(MIN_ENDPOINTS, round(self.endpoints * scale))
        clients = max(MIN_CLIENTS, round(self.clients * scale))
        return evolve(self, endpoints=endpoints, clients=clients)

    def plan(self) -> ServicePlan:
        """Return the service as a cluster declares it."""
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
    """What is done ``at`` a time in seconds, and to whom.

    ``service`` is the first one by default. ``endpoint`` and ``balancer``
    are numbers from 0, ``count`` is how many clients are cut, and
    ``seconds`` how long a cold start lasts.
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
    """One scenario; ``rest`` is the time without load before it."""

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
        """How many processes a run has at most."""
        joining = any('balancer' in each.do for each in self.step)
        balancers = self.balancers * (1 + joining)
        endpoints = sum(each.endpoints for each in self.service)
        return OTHER_PROCESSES + 2 * endpoints + balancers

    def scaled(self, scale: float) -> 'Scenario':
        """Return the same with other numbers of endpoints and clients."""
        services = tuple(each.scaled(scale) for each in self.service)
        return evolve(self, service=services)

    def lasting(self, seconds: float) -> 'Scenario':
        """Return the same with the load and steps over another time."""
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
    """Read all scenarios in the order of their file names.

    A file without a key takes it from ``defaults.toml`` beside it.
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
        raise ScenarioError(f'no scenario {missing}; there are {names}')
    return tuple(each for each in found if not only or each.name in only)


def _read(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text())
    except FileNotFoundError:
        return {}
    except tomllib.TOMLDecodeError as exc:
        raise ScenarioError(f'{path.name}: {exc}') from exc


def _build(path: Path, plain: dict[str, Any]) -> Scenario:
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        return converter.structure(plain, Scenario)
    except (BaseValidationError, ValueError, TypeError) as exc:
        problems = '; '.join(cattrs.transform_error(exc))
        raise ScenarioError(f'{path.name}: {problems}') from exc
