"""Faults of the emulated world."""

__all__ = ('FaultPlayer', 'Stage')

import random
from collections.abc import Sequence
from functools import partial
from typing import Protocol

from attrs import define

from bench.emulator.clock import VirtualClock
from bench.emulator.daemons import EmulatedBalancer, EmulatedSidecar
from bench.emulator.scenario import Fault

# How long a sidecar takes to notice that its server's port refuses.
LOSS_NOTICED_S = 0.35
# Starts of equal machines differ by this much.
MIN_LOAD_FACTOR = 0.9
MAX_LOAD_FACTOR = 1.4


class Stage(Protocol):
    """What faults act on."""

    clock: VirtualClock
    balancers: list[EmulatedBalancer]
    sidecars: list[EmulatedSidecar]
    burst: float


@define(eq=False)
class FaultPlayer:
    """Begin and end the faults of a scenario."""

    stage: Stage
    rng: random.Random

    def begin(self, fault: Fault) -> None:
        """Begin a fault; its end is planned at once."""
        getattr(self, f'_begin_{fault.kind}')(fault)

    def _begin_power(self, fault: Fault) -> None:
        for sidecar in self.stage.sidecars:
            sidecar.stop()
            sidecar.backend.crash()
        for balancer in self.stage.balancers:
            balancer.stop()
        self.stage.clock.after(fault.for_s, self._power_returns)

    def _power_returns(self) -> None:
        for sidecar in self.stage.sidecars:
            sidecar.backend.start()
            sidecar.knows_all = False
            sidecar.start()
        for balancer in self.stage.balancers:
            spread = self.rng.uniform(MIN_LOAD_FACTOR, MAX_LOAD_FACTOR)
            balancer.start(load_s=balancer.load_s * spread)

    def _begin_balancers(self, fault: Fault) -> None:
        for balancer in self.rng.sample(self.stage.balancers, fault.count):
            balancer.stop()
            self.stage.clock.after(fault.for_s, balancer.start)

    def _begin_crash(self, fault: Fault) -> None:
        for sidecar in self.rng.sample(self.stage.sidecars, fault.count):
            sidecar.backend.crash()
            self.stage.clock.after(
                LOSS_NOTICED_S,
                partial(self._loss_noticed, sidecar),
            )
            self.stage.clock.after(
                max(fault.for_s, 2 * LOSS_NOTICED_S),
                partial(self._server_returns, sidecar),
            )

    def _loss_noticed(self, sidecar: EmulatedSidecar) -> None:
        sidecar.flow_handler.on_backend_lost(self.stage.clock.now)

    def _server_returns(self, sidecar: EmulatedSidecar) -> None:
        sidecar.backend.start()
        sidecar.flow_handler.on_backend_found(self.stage.clock.now)

    def _begin_slow(self, fault: Fault) -> None:
        chosen = self.rng.sample(self.stage.sidecars, fault.count)
        _set_factor(chosen, fault.factor)
        self.stage.clock.after(fault.for_s, partial(_set_factor, chosen, 1))

    def _begin_burst(self, fault: Fault) -> None:
        self.stage.burst = fault.factor
        self.stage.clock.after(fault.for_s, self._end_burst)

    def _end_burst(self) -> None:
        self.stage.burst = 1


def _set_factor(sidecars: Sequence[EmulatedSidecar], factor: float) -> None:
    for sidecar in sidecars:
        sidecar.backend.factor = factor
