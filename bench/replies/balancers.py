"""The balancers of a replay: when they are in rotation and when they end."""

__all__ = ('SCENARIOS', 'BalancerPlan', 'address_of')

import random
from collections.abc import Callable

from attrs import frozen

from dragonflyshift._internal.models import Address

# A balancer that is out of rotation ends once it has been idle for a second.
DRAIN_S = 1.1
# Between the end of a process and the start of the next one.
RESTART_S = 1.0
NEVER = float('inf')


def address_of(balancer: int) -> Address:
    """Return the address of a balancer."""
    return Address(f'192.0.2.{balancer + 1}', 7000)


@frozen
class BalancerPlan:
    """The balancers in rotation from given times on, and when some are down.

    ``down`` maps a balancer to the beginning and end of its outage.

    Clients send requests until ``requests_until``; times are in seconds.
    ``others_seen`` means that the sidecar has more flows, which pass all
    balancers in rotation. Otherwise peers report what they see, if
    ``peers_report`` is set.
    """

    rotations: tuple[tuple[float, tuple[int, ...]], ...]
    down: dict[int, tuple[float, float]]
    requests_until: float
    others_seen: bool
    peers_report: bool = False

    def in_rotation(self, now: float) -> tuple[int, ...]:
        """Return the balancers to which the fabric sends packets."""
        started = [each for since, each in self.rotations if since <= now]
        return started[-1]

    def is_up(self, balancer: int, now: float) -> bool:
        """Return whether a balancer still forwards packets."""
        since, until = self.down.get(balancer, (NEVER, NEVER))
        return not since <= now < until


def _replace_all(rng: random.Random) -> BalancerPlan:
    """Replace two balancers one by one, and their successors together."""
    added_at = rng.uniform(0.2, 2.2)
    first_at = added_at + 0.1
    second_at = first_at + rng.uniform(1.0, 1.6)
    added_again_at = second_at + rng.uniform(1.0, 1.6)
    together_at = added_again_at + 0.1
    return BalancerPlan(
        rotations=(
            (0, (0, 1)),
            (added_at, (0, 1, 2, 3)),
            (first_at, (1, 2, 3)),
            (second_at, (2, 3)),
            (added_again_at, (2, 3, 4, 5)),
            (together_at, (4, 5)),
        ),
        down={
            0: (first_at + DRAIN_S, NEVER),
            1: (second_at + DRAIN_S, NEVER),
            2: (together_at + DRAIN_S, NEVER),
            3: (together_at + DRAIN_S, NEVER),
        },
        requests_until=together_at + 1.5,
        others_seen=True,
    )


def _restart_all(rng: random.Random) -> BalancerPlan:
    """Restart three balancers one after the other, at the same addresses."""
    every_one = (0, 1, 2)
    rotations: list[tuple[float, tuple[int, ...]]] = [(0, every_one)]
    down = {}
    stop_at = rng.uniform(0.2, 2.2)
    for balancer in every_one:
        others = tuple(each for each in every_one if each != balancer)
        back_at = stop_at + DRAIN_S + RESTART_S
        down[balancer] = (stop_at + DRAIN_S, back_at)
        rotations += [(stop_at, others), (back_at, every_one)]
        stop_at = back_at + rng.uniform(0.1, 0.5)
    return BalancerPlan(
        tuple(rotations), down, requests_until=stop_at + 1.5, others_seen=True
    )


def _kill_one(rng: random.Random, *, peers_report: bool) -> BalancerPlan:
    """Kill one of two balancers; the fabric notices after half a second."""
    killed_at = rng.uniform(0, 0.5)
    return BalancerPlan(
        rotations=((0, (0, 1)), (killed_at + 0.5, (1,))),
        down={0: (killed_at, NEVER)},
        requests_until=killed_at + 1,
        others_seen=False,
        peers_report=peers_report,
    )


def _kill_one_without_reports(rng: random.Random) -> BalancerPlan:
    return _kill_one(rng, peers_report=False)


def _kill_one_with_reports(rng: random.Random) -> BalancerPlan:
    return _kill_one(rng, peers_report=True)


SCENARIOS: dict[str, Callable[[random.Random], BalancerPlan]] = {
    'replaced': _replace_all,
    'restarted': _restart_all,
    'killed': _kill_one_with_reports,
    'killed-without-reports': _kill_one_without_reports,
}
