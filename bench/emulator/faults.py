"""Injection of faults into a simulation."""

__all__ = ('FaultInjector', 'FaultTargets', 'notify_daemons')

import random
from collections.abc import Iterable, Sequence
from functools import partial
from typing import Protocol

from attrs import define, evolve

from bench.emulator.clock import VirtualClock
from bench.emulator.daemons import EmulatedBalancer, EmulatedSidecar
from bench.emulator.scenario import Fault
from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.policies.evacuation import (
    EvacuationRecord,
)
from dragonflyshift._internal.carried.records import EndpointRecord

# Time until a sidecar detects that the port of its server refuses connections.
LOSS_DETECTION_S = 0.35
# Range of the factor by which the load times of equal machines differ after a
# power loss.
MIN_LOAD_FACTOR = 0.9
MAX_LOAD_FACTOR = 1.4


class FaultTargets(Protocol):
    """The parts of a simulation that faults change."""

    clock: VirtualClock
    view: FleetView
    daemons: dict[SocketAddress, EmulatedBalancer | EmulatedSidecar]
    balancers: list[EmulatedBalancer]
    sidecars: list[EmulatedSidecar]
    load_factor: float

    def route_to(self, service: int) -> None:
        """Publish routes that lead to the service with that index."""

    def unregister(self, sidecar: EmulatedSidecar) -> None:
        """Remove the server of a sidecar from the view."""

    def register(self, sidecar: EmulatedSidecar, started_at: float) -> None:
        """List the server of a sidecar, with the time of its start."""


@define(eq=False)
class FaultInjector:
    """Starts and ends the faults of a scenario."""

    targets: FaultTargets
    rng: random.Random

    def schedule(self, fault: Fault) -> None:
        """Schedule a fault.

        Its duration is drawn here, before the run, so that it depends on the
        seed alone.
        """
        if fault.jitter_s:
            for_s = fault.for_s + self.rng.uniform(0, fault.jitter_s)
            fault = evolve(fault, for_s=for_s)
        begin = getattr(self, f'_begin_{fault.kind}')
        self.targets.clock.after(fault.at, partial(begin, fault))

    def _begin_power(self, fault: Fault) -> None:
        for sidecar in self.targets.sidecars:
            sidecar.stop()
            sidecar.backend.crash()
        for balancer in self.targets.balancers:
            balancer.stop()
        if fault.register_s:
            self._remove_endpoints()
        self.targets.clock.after(
            fault.for_s, partial(self._restore_power, fault)
        )

    def _remove_endpoints(self) -> None:
        view = self.targets.view
        view.revision += 1
        for name in tuple(view.records):
            view.remove(name, view.revision)

    def _restore_power(self, fault: Fault) -> None:
        now = self.targets.clock.now
        for sidecar in self.targets.sidecars:
            sidecar.backend.start()
            sidecar.knows_all = False
            sidecar.start()
            if fault.register_s:
                self.targets.clock.after(
                    self.rng.uniform(0, fault.register_s),
                    partial(self.targets.register, sidecar, now),
                )
        _start_balancers(self.targets.balancers, self.rng)

    def _begin_processes(self, fault: Fault) -> None:
        for daemon in (*self.targets.sidecars, *self.targets.balancers):
            daemon.stop()
        self.targets.clock.after(fault.for_s, self._restart_processes)
        if fault.unlisted_s:
            records = tuple(self.targets.view.records.values())
            self._remove_endpoints()
            self.targets.clock.after(
                fault.unlisted_s, partial(_list_again, self.targets, records)
            )

    def _restart_processes(self) -> None:
        for sidecar in self.targets.sidecars:
            sidecar.knows_all = False
            sidecar.start()
        _start_balancers(self.targets.balancers, self.rng)

    def _begin_evacuation(self, fault: Fault) -> None:
        _set_evacuated(self.targets, is_evacuated=True)
        self.targets.clock.after(
            fault.for_s,
            partial(_set_evacuated, self.targets, is_evacuated=False),
        )

    def _begin_balancers(self, fault: Fault) -> None:
        for balancer in self.rng.sample(self.targets.balancers, fault.count):
            balancer.stop()
            self.targets.clock.after(fault.for_s, balancer.start)

    def _begin_crash(self, fault: Fault) -> None:
        for sidecar in self.rng.sample(self.targets.sidecars, fault.count):
            sidecar.backend.crash()
            self.targets.clock.after(
                LOSS_DETECTION_S,
                partial(self._on_loss_detected, sidecar),
            )
            # The restart must come after the loss has been detected.
            self.targets.clock.after(
                max(fault.for_s, 2 * LOSS_DETECTION_S),
                partial(self._restart_server, sidecar),
            )

    def _on_loss_detected(self, sidecar: EmulatedSidecar) -> None:
        sidecar.flow_handler.on_backend_lost(self.targets.clock.now)

    def _restart_server(self, sidecar: EmulatedSidecar) -> None:
        sidecar.backend.start()
        sidecar.flow_handler.on_backend_found(self.targets.clock.now)

    def _begin_machines(self, fault: Fault) -> None:
        for sidecar in self.rng.sample(self.targets.sidecars, fault.count):
            sidecar.stop()
            sidecar.backend.crash()
            self.targets.unregister(sidecar)
            self.targets.clock.after(
                fault.for_s,
                partial(self._restart_machine, sidecar),
            )

    def _restart_machine(self, sidecar: EmulatedSidecar) -> None:
        sidecar.backend.start()
        sidecar.knows_all = False
        sidecar.start()
        self.targets.register(sidecar, self.targets.clock.now)

    def _begin_slow(self, fault: Fault) -> None:
        chosen = self.rng.sample(self.targets.sidecars, fault.count)
        _set_slowdown(chosen, fault.factor)
        self.targets.clock.after(fault.for_s, partial(_set_slowdown, chosen, 1))

    def _begin_errors(self, fault: Fault) -> None:
        chosen = self.rng.sample(self.targets.sidecars, fault.count)
        _set_failure(chosen, fault.kind, fault.share)
        self.targets.clock.after(
            fault.for_s, partial(_set_failure, chosen, '', 0)
        )

    _begin_resets = _begin_errors
    _begin_silence = _begin_errors

    def _begin_burst(self, fault: Fault) -> None:
        self.targets.load_factor = fault.factor
        self.targets.clock.after(fault.for_s, self._end_load_burst)

    def _end_load_burst(self) -> None:
        self.targets.load_factor = 1

    def _begin_routes(self, fault: Fault) -> None:
        self.targets.route_to(1)
        self.targets.clock.after(fault.for_s, partial(self.targets.route_to, 0))


def notify_daemons(
    daemons: Iterable[EmulatedBalancer | EmulatedSidecar],
) -> None:
    """Let the daemons apply a change of the view."""
    for daemon in daemons:
        daemon.on_view_changed()


def _start_balancers(
    balancers: Sequence[EmulatedBalancer], rng: random.Random
) -> None:
    for balancer in balancers:
        spread = rng.uniform(MIN_LOAD_FACTOR, MAX_LOAD_FACTOR)
        balancer.start(load_s=balancer.load_s * spread)


def _list_again(
    targets: FaultTargets, records: Sequence[EndpointRecord]
) -> None:
    view = targets.view
    view.revision += 1
    for record in records:
        view.merge(evolve(record, revision=view.revision))
    notify_daemons(targets.daemons.values())


def _set_evacuated(targets: FaultTargets, *, is_evacuated: bool) -> None:
    view = targets.view
    view.revision += 1
    data_center = min(each.data_center for each in targets.balancers)
    view.evacuations.merge(
        EvacuationRecord(data_center, view.revision, is_evacuated)
    )
    notify_daemons(targets.daemons.values())


def _set_slowdown(sidecars: Sequence[EmulatedSidecar], factor: float) -> None:
    for sidecar in sidecars:
        sidecar.backend.slowdown = factor


def _set_failure(
    sidecars: Sequence[EmulatedSidecar], failure: str, share: float
) -> None:
    for sidecar in sidecars:
        sidecar.backend.failure = failure
        sidecar.backend.failure_share = share
