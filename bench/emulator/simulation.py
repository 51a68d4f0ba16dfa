"""Simulation of a scenario: fabric, links, fleet, load and faults."""

__all__ = ('Simulation', 'run_scenario')

import math
import random
import socket
from collections.abc import Callable
from functools import partial

import xxhash
from attrs import define, evolve, field

from bench.emulator.backend import EmulatedBackend
from bench.emulator.clients import Clients
from bench.emulator.clock import VirtualClock
from bench.emulator.daemons import (
    BACKEND,
    CLIENT,
    PEER,
    EmulatedBalancer,
    EmulatedSidecar,
    Network,
)
from bench.emulator.faults import FaultInjector, notify_daemons
from bench.emulator.scenario import (
    MS_PER_S,
    FleetPlan,
    LoadKind,
    Scenario,
)
from bench.emulator.statistics import Statistics
from dragonflyshift._internal.carried.fleet.view import FleetView, ViewUpdate
from dragonflyshift._internal.carried.packet import FlowKey, SocketAddress
from dragonflyshift._internal.carried.policies.admission import (
    AdmissionPolicy,
)
from dragonflyshift._internal.carried.policies.placement import (
    FlowPlacement,
    LeastRequests,
)
from dragonflyshift._internal.carried.policies.target_first import (
    TargetFirst,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.routes import (
    Route,
    RouteTable,
    TransferKind,
    Warmup,
    WeightedService,
)
from tests.lib.carried import (
    PEER_PORT,
    SERVICE,
    SERVICE_HOST,
    build_record,
    build_route,
)

TICK_S = 0.02
READINESS_PERIOD_S = 0.5
FIRST_SERVICE_PORT = 8000
INTRA_DATA_CENTER_MS = 0.1
DRAIN_TIME_S = 4.0
# The bounds of new flows at a cold server in the platform's settings.
WARMUP_OVERAGE = 1.5
WARMUP_SLACK = 5


@define(eq=False)
class Simulation:
    """A run of a scenario with a seed.

    ``load_factor`` multiplies the request rates of the scenario.
    """

    scenario: Scenario
    seed: int
    placement: type[FlowPlacement] = LeastRequests
    policy: type[AdmissionPolicy] = TargetFirst
    clock: VirtualClock = field(factory=VirtualClock)
    statistics: Statistics = field(factory=Statistics)
    view: FleetView = field(init=False)
    balancers: list[EmulatedBalancer] = field(factory=list)
    sidecars: list[EmulatedSidecar] = field(factory=list)
    clients: Clients = field(init=False)
    load_factor: float = 1
    _rng: random.Random = field(init=False)
    _routes: list[Route] = field(init=False)
    # The balancers that the fabric sends packets to.
    _rotation: list[EmulatedBalancer] = field(factory=list)
    _missed_checks: dict[SocketAddress, int] = field(factory=dict)
    daemons: dict[SocketAddress, EmulatedBalancer | EmulatedSidecar] = field(
        factory=dict,
    )

    def __attrs_post_init__(self) -> None:
        """Create the fleet and its clients."""
        self._rng = random.Random(self.seed)
        ports = {
            kind.name: FIRST_SERVICE_PORT + number
            for number, kind in enumerate(self.scenario.load)
        }
        self._routes = [
            _route(kind, ports[kind.name]) for kind in self.scenario.load
        ]
        self.view = FleetView(clock=lambda: self.clock.now)
        self.route_to(0)
        network = Network(self.clock, self._to_peer, self._to_client)
        for number in range(1, self.scenario.fleet.servers + 1):
            self._add_server(number, network)
        for number in range(1, self.scenario.fleet.balancers + 1):
            self._add_balancer(number, network)
        self.view.revision = self.scenario.fleet.servers
        self.clients = Clients(
            self.clock,
            self._rng,
            self.statistics,
            self._to_fabric,
            self._is_held,
            ports,
        )

    def run(self) -> Statistics:
        """Run the load and the faults, and return the statistics."""
        self.clock.run_until(0)
        for kind in self.scenario.load:
            self._schedule_request(kind)
        injector = FaultInjector(self, self._rng)
        for fault in self.scenario.faults:
            injector.schedule(fault)
        self.clock.every(TICK_S, self._tick)
        self.clock.every(READINESS_PERIOD_S, self._check_readiness)
        self.clock.run_until(self.scenario.seconds + DRAIN_TIME_S)
        _record_cold_flows(self)
        return self.statistics

    def route_to(self, service: int) -> None:
        """Publish routes that lead to the service with that index."""
        services = (WeightedService(_service_name(service), 1),)
        table = RouteTable(
            self.view.routes.version + 1,
            {
                route.address: evolve(route, services=services)
                for route in self._routes
            },
            warmups=_warmups(self.scenario.fleet),
        )
        revision = self.view.revision
        self.view.apply(ViewUpdate(revision or 1, revision, routes=table))

    def unregister(self, sidecar: EmulatedSidecar) -> None:
        """Remove the server of a sidecar from the view."""
        number = self.sidecars.index(sidecar) + 1
        self.view.revision += 1
        self.view.remove(
            _build_record(self.scenario.fleet, number).name, self.view.revision
        )
        notify_daemons(self.daemons.values())

    def register(self, sidecar: EmulatedSidecar, started_at: float) -> None:
        """List the server of a sidecar, with the time of its start."""
        number = self.sidecars.index(sidecar) + 1
        self.view.revision += 1
        self.view.merge(
            evolve(
                _build_record(self.scenario.fleet, number),
                revision=self.view.revision,
                started_ms=int(started_at * MS_PER_S),
                warmup_ms=int(self.scenario.fleet.cold_s * MS_PER_S),
            )
        )
        notify_daemons(self.daemons.values())

    def _is_held(self, key: FlowKey) -> bool:
        return any(sidecar.backend.holds_open(key) for sidecar in self.sidecars)

    def _add_server(self, number: int, network: Network) -> None:
        fleet = self.scenario.fleet
        record = _build_record(self.scenario.fleet, number)
        self.view.merge(record)
        address = (record.host, PEER_PORT)
        backend = EmulatedBackend(
            self.clock,
            fleet,
            self._rng,
            lambda raw: self._to_sidecar(number - 1, raw),
            speed=fleet.speeds[number % len(fleet.speeds)],
        )
        sidecar = EmulatedSidecar(
            address,
            network,
            self.view,
            self._rng,
            fleet.sidecar_load_s,
            0.05,
            service=record.service,
            data_center=record.data_center,
            backend=backend,
            policy=self.policy,
        )
        sidecar.start(load_s=0)
        self.sidecars.append(sidecar)
        self.daemons[address] = sidecar

    def _add_balancer(self, number: int, network: Network) -> None:
        fleet = self.scenario.fleet
        balancer = EmulatedBalancer(
            (f'10.2.0.{number}', PEER_PORT),
            network,
            self.view,
            self._rng,
            fleet.balancer_load_s,
            fleet.packet_ms,
            data_center=_data_center_name(number, fleet.data_centers),
            placement=self.placement,
        )
        balancer.start(load_s=0)
        self.balancers.append(balancer)
        self.daemons[balancer.address] = balancer
        self._rotation.append(balancer)

    def _schedule_request(self, kind: LoadKind) -> None:
        phase = math.tau * self.clock.now / self.scenario.wave_s
        wave = 1 + self.scenario.wave * math.sin(phase)
        rate = kind.per_s * self.load_factor * wave
        self.clock.after(
            self._rng.expovariate(rate),
            partial(self._send_request, kind),
        )

    def _send_request(self, kind: LoadKind) -> None:
        if self.clock.now < self.scenario.seconds:
            self.clients.start_request(kind)
            self._schedule_request(kind)

    def _tick(self) -> None:
        for sidecar in self.sidecars:
            sidecar.tick()
        for balancer in self.balancers:
            balancer.tick()

    def _check_readiness(self) -> None:
        """Remove balancers from the rotation that missed two checks in a row.

        All balancers are in rotation while fewer than half are ready.
        """
        for balancer in self.balancers:
            missed = self._missed_checks.get(balancer.address, 0) + 1
            self._missed_checks[balancer.address] = (
                0 if balancer.is_loaded else missed
            )
        ready = [
            candidate
            for candidate in self.balancers
            if self._missed_checks[candidate.address] < 2
        ]
        is_enough = len(ready) * 2 >= len(self.balancers)
        self._rotation = ready if is_enough else self.balancers

    def _to_fabric(self, raw: bytes) -> None:
        flow_key = raw[13:25]
        target = max(
            self._rotation,
            key=lambda balancer: xxhash.xxh3_64_intdigest(
                flow_key + balancer.address[0].encode(),
            ),
        )
        self._after_ms(
            self.scenario.fleet.client_ms,
            lambda: target.on_datagram(CLIENT, raw, ('', 0)),
        )

    def _to_peer(
        self, source: SocketAddress, raw: bytes, target: SocketAddress
    ) -> None:
        daemon = self.daemons[target]
        is_local = self._data_center_of(source) == self._data_center_of(target)
        crossing = self.scenario.fleet.crossing_ms
        self._after_ms(
            INTRA_DATA_CENTER_MS if is_local else crossing,
            lambda: daemon.on_datagram(PEER, raw, source),
        )

    def _to_sidecar(self, index: int, raw: bytes) -> None:
        sidecar = self.sidecars[index]
        self._after_ms(0.02, lambda: sidecar.on_datagram(BACKEND, raw, ('', 0)))

    def _to_client(self, raw: bytes) -> None:
        self._after_ms(
            self.scenario.fleet.client_ms,
            lambda: self.clients.on_packet(raw),
        )

    def _after_ms(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self.clock.after(delay_ms / MS_PER_S, callback)

    def _data_center_of(self, address: SocketAddress) -> str:
        number = int(address[0].rpartition('.')[2])
        return _data_center_name(number, self.scenario.fleet.data_centers)


def run_scenario(
    scenario: Scenario,
    seed: int,
    policy: type[AdmissionPolicy] = TargetFirst,
    placement: type[FlowPlacement] = LeastRequests,
) -> Statistics:
    """Run a scenario with a seed and return the statistics of its requests."""
    return Simulation(scenario, seed, placement, policy).run()


def _warmups(fleet: FleetPlan) -> dict[str, Warmup]:
    if not fleet.warmup_per_s:
        return {}
    names = [_service_name(index) for index in range(fleet.services)]
    return {
        name: Warmup(name, fleet.cold_s, fleet.warmup_per_s) for name in names
    }


def _data_center_name(number: int, count: int) -> str:
    return f'dc-{number % count}'


def _record_cold_flows(simulation: Simulation) -> None:
    backends = [sidecar.backend for sidecar in simulation.sidecars]
    peak = max(backend.cold_peak for backend in backends)
    simulation.statistics.cold_peak = peak
    simulation.statistics.cold_flows = sum(
        backend.cold_flows for backend in backends
    )
    per_s = simulation.scenario.fleet.warmup_per_s
    bound = per_s * WARMUP_OVERAGE + WARMUP_SLACK
    if per_s and peak > bound:
        simulation.statistics.violations.append(
            f'{peak} new flows in a second at a cold server, bound {bound}'
        )


def _build_record(fleet: FleetPlan, number: int) -> EndpointRecord:
    return build_record(
        number,
        service=_service_name(number % fleet.services),
        data_center=_data_center_name(number, fleet.data_centers),
        slots=fleet.slots,
    )


def _service_name(index: int) -> str:
    return f'{SERVICE}-{index}' if index else SERVICE


def _route(kind: LoadKind, port: int) -> Route:
    address = socket.inet_aton(SERVICE_HOST) + port.to_bytes(2, 'big')
    is_idempotent = bool(kind.users) or kind.priority > 1
    return evolve(
        build_route(name=kind.name, address=address),
        services=(WeightedService(SERVICE, 1),),
        kind=(
            TransferKind.IDEMPOTENT
            if is_idempotent
            else TransferKind.NON_IDEMPOTENT
        ),
        target_ms=int(kind.target_ms),
        timeout_ms=int(kind.budget_ms),
        priority=kind.priority,
    )
