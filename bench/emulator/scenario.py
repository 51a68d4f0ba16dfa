"""Scenarios, read from TOML files: the fleet, load and faults of a run."""

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

FAULT_KINDS = frozenset(
    (
        'balancers',
        'burst',
        'crash',
        'errors',
        'evacuation',
        'machines',
        'power',
        'processes',
        'resets',
        'routes',
        'silence',
        'slow',
    )
)
DIRECTORY = Path(__file__).resolve().parent / 'scenarios'
MS_PER_S = 1000


class ScenarioError(ValueError):
    """The scenario doesn't exist or its file is invalid."""


@frozen
class FleetPlan:
    """The number of machines and their speed.

    Each of ``servers`` runs ``slots`` requests at once and queues ``queue``
    more. ``packet_ms`` is the processor time of a balancer for a datagram.
    ``crossing_ms`` is the one-way delay between data centres and ``client_ms``
    the one between clients and the fleet. ``balancer_load_s`` and
    ``sidecar_load_s`` are the times from a start to the first packet. A server
    is ``cold_factor`` times slower for ``cold_s`` seconds after its start, and
    the more so the more its new flows of the last second exceed ``cold_per_s``,
    unless that is zero. The configuration has the warm-up rate
    ``warmup_per_s``, none if it is zero. The servers are divided among
    ``services``; routes lead to the first of them. The speeds of the servers,
    relative to the service times of the load, repeat in the order of
    ``speeds``. A share ``slow_share`` of the requests takes ``slow_factor``
    times as long.
    """

    data_centers: int = 3
    balancers: int = 7
    servers: int = 7
    services: int = 1
    slots: int = 4
    queue: int = 14
    packet_ms: float = 0.15
    crossing_ms: float = 0.5
    client_ms: float = 1.0
    balancer_load_s: float = 0.6
    sidecar_load_s: float = 0.25
    cold_s: float = 2.0
    cold_factor: float = 1.6
    cold_per_s: float = 0
    warmup_per_s: float = 0
    speeds: tuple[float, ...] = (1.0,)
    slow_share: float = 0
    slow_factor: float = 1


@frozen
class LoadKind:
    """One kind of request.

    ``per_s`` requests arrive per second on average, with a mean service time
    of ``work_ms`` and a log-normal ``spread``. Each of ``users`` keeps a flow
    open for many requests; without users each request has its own flow. A
    request counts ``worth`` if it is answered within ``target_ms`` of the
    first attempt, ``late_worth`` if within ``budget_ms``, and otherwise 0. An
    answer has between ``min_answer_bytes`` and ``max_answer_bytes``, at most
    the payload of a packet. Unless ``is_repeatable``, a request whose flow
    fails after it was sent is not sent again. The requests come from
    ``callers`` client addresses of this kind in equal parts; without callers
    the address is of no account.
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
    callers: int = 0
    min_answer_bytes: int = 6
    max_answer_bytes: int = 6
    is_repeatable: bool = True


@frozen
class Fault:
    """A fault that starts at ``at`` and lasts ``for_s`` seconds.

    It lasts up to ``jitter_s`` longer, depending on the seed.

    ``kind`` is one of:

    - power: all machines lose power. If ``register_s`` is set, the view is
      empty until the servers register again, at random times up to
      ``register_s`` seconds after their start.
    - crash: ``count`` backend servers crash.
    - machines: ``count`` servers lose power together with their sidecars, and
      return cold with new records.
    - slow: ``count`` backend servers are ``factor`` times slower.
    - errors: ``count`` backend servers answer a ``share`` of the requests at
      once with a short error.
    - resets: ``count`` backend servers reset the flow of a ``share`` of the
      requests.
    - silence: ``count`` backend servers never answer a ``share`` of the
      requests.
    - burst: the load is ``factor`` times as high.
    - balancers: ``count`` balancers are killed and start again.
    - processes: all balancers and sidecars are killed and start again, while
      the servers run on. If ``unlisted_s`` is set, the view is empty until
      ``unlisted_s`` seconds after the kill.
    - evacuation: the first data centre is evacuated and put back in service.
    - routes: all routes lead to the next service, and then back.
    """

    kind: str
    at: float
    for_s: float = 1.0
    count: int = 1
    factor: float = 1.0
    jitter_s: float = 0
    register_s: float = 0
    unlisted_s: float = 0
    share: float = 1.0


@frozen
class Scenario:
    """The fleet, the load of ``seconds`` and the faults of a run.

    The request rates vary by the share ``wave`` with a period of ``wave_s``.
    """

    load: tuple[LoadKind, ...]
    seconds: float = 12.0
    fleet: FleetPlan = FleetPlan()
    faults: tuple[Fault, ...] = ()
    wave: float = 0
    wave_s: float = 10.0


def load_scenario(name: str) -> Scenario:
    """Read the scenario with the given name, or the file at a ``.toml`` path.

    Raise ``ScenarioError`` if the file can't be read, is invalid or holds a
    fault of an unknown kind.
    """
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
