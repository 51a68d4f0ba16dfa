"""Measure many configuration readers on one platform stand-in.

Run ``python -m bench.configuration.readers --part PART [--json] [--seed N]``;
each part takes less than a minute: ``change`` measures idle watches and then
one change, ``outage`` publishes it while the platform is down, ``fresh`` starts
readers with empty stores, with and without bundles. The readers are real
watchers in two processes; the stand-in accepts 2,000 reads a second.
"""

import argparse
import asyncio
import json
import time
from collections.abc import Sequence

import numpy as np
from attrs import AttrsInstance, asdict, evolve, frozen

from bench.configuration.documents import build_inventory, print_tables
from bench.configuration.rig import (
    COST_KEYS,
    WATCH_WAIT_S,
    ReaderRig,
    busy_share,
    start_rig,
)
from bench.slopes import fit_line

PARTS = ('change', 'outage', 'fresh')
SIZES = (200, 600, 1200)
FRESH_SIZES = (50, 100, 200)
SERVICES = 12
FRESH_SERVICES = 40
ENDPOINTS = 7
SETTLE_S = 2 * WATCH_WAIT_S
IDLE_S = 3.0
OUTAGE_S = 3.0
P99 = 99
MS_PER_S = 1000
KIB = 1024


@frozen
class Rollout:
    """Times and costs until one version is in force at all readers."""

    readers: int
    services: int
    bundles: int
    max_s: float
    p99_s: float
    median_s: float
    reads: int
    peak_reads_a_second: int
    refused: int
    bytes_a_reader: float
    cpu_ms_a_reader: float
    platform_busy: float


@frozen
class IdleCost:
    """Costs of readers while no document changes."""

    readers: int
    watch_wait_s: float
    reads_a_second: float
    cpu_ms_a_read: float
    bytes_a_read: float
    kib_a_reader: float
    platform_busy: float


@frozen
class Slope:
    """A least-squares fit of one figure against the number of readers."""

    figure: str
    fixed: float
    a_reader: float
    worst_distance: float


async def measure_rollout(
    rig: ReaderRig,
    began: float,
    before: dict[str, int],
    costs: dict[str, float],
) -> Rollout:
    """Wait until the inventory is in force at all readers; return costs."""
    times = np.array(await rig.wait_in_force()) - began
    spent = await rig.collect_costs()
    after = await rig.fetch_counts()
    readers = len(times)
    return Rollout(
        readers=readers,
        services=len(rig.inventory.services),
        bundles=rig.inventory.bundles,
        max_s=float(np.max(times)),
        p99_s=float(np.percentile(times, P99)),
        median_s=float(np.median(times)),
        reads=int(spent['reads'] - costs['reads']),
        peak_reads_a_second=after['peak'],
        refused=after.get('429', 0) - before.get('429', 0),
        bytes_a_reader=(spent['bytes'] - costs['bytes']) / readers,
        cpu_ms_a_reader=(
            (spent['cpu_s'] - costs['cpu_s']) * MS_PER_S / readers
        ),
        platform_busy=busy_share(costs, spent),
    )


async def measure_change(readers: int, seed: int) -> tuple[IdleCost, Rollout]:
    """Measure idle readers, then publish one change and measure it."""
    inventory = build_inventory(SERVICES, ENDPOINTS, seed)
    async with start_rig(readers, inventory, seed) as rig:
        await asyncio.sleep(SETTLE_S)
        idle_start = await rig.collect_costs()
        began = time.monotonic()
        await asyncio.sleep(IDLE_S)
        idle_end = await rig.collect_costs()
        seconds = time.monotonic() - began
        before = await rig.fetch_counts()
        rollout = await measure_rollout(
            rig,
            await rig.publish_change(),
            before,
            idle_end,
        )
    reads = idle_end['reads'] - idle_start['reads']
    idle = IdleCost(
        readers=readers,
        watch_wait_s=WATCH_WAIT_S,
        reads_a_second=reads / seconds,
        cpu_ms_a_read=(idle_end['cpu_s'] - idle_start['cpu_s'])
        * MS_PER_S
        / reads,
        bytes_a_read=(idle_end['bytes'] - idle_start['bytes']) / reads,
        kib_a_reader=(idle_end['rss'] - idle_end['empty']) / KIB / readers,
        platform_busy=busy_share(idle_start, idle_end),
    )
    return idle, rollout


async def measure_outage(readers: int, seed: int) -> Rollout:
    """Publish a change during an outage; times count from its end."""
    inventory = build_inventory(SERVICES, ENDPOINTS, seed)
    async with start_rig(readers, inventory, seed) as rig:
        await asyncio.sleep(WATCH_WAIT_S)
        await rig.set_mode('down')
        await asyncio.sleep(OUTAGE_S)
        await rig.publish_change()
        before = await rig.fetch_counts()
        costs = await rig.collect_costs()
        return await measure_rollout(
            rig,
            await rig.set_mode('up'),
            before,
            costs,
        )


async def measure_fresh(readers: int, seed: int, *, bundles: bool) -> Rollout:
    """Start readers with empty stores, all at once."""
    inventory = build_inventory(FRESH_SERVICES, ENDPOINTS, seed)
    inventory = evolve(inventory, has_bundles=bundles)
    async with start_rig(readers, inventory, seed, fresh=True) as rig:
        began = max(worker.events()[0]['at'] for worker in rig.workers)
        no_costs = {**dict.fromkeys(COST_KEYS, 0), 'at': began, 'platform_s': 0}
        return await measure_rollout(rig, began, {}, no_costs)


async def run_part(
    part: str,
    seed: int,
) -> dict[str, Sequence[AttrsInstance]]:
    """Measure one part at all its sizes; return titles with table rows."""
    if part == 'change':
        pairs = [await measure_change(size, seed) for size in SIZES]
        idle_costs = [idle for idle, _rollout in pairs]
        rollouts = [rollout for _idle, rollout in pairs]
        slopes = fit_rollouts(rollouts)
        return {'At rest': idle_costs, 'One change': rollouts, 'Slopes': slopes}
    if part == 'outage':
        rollouts = [await measure_outage(size, seed) for size in SIZES]
        return {'After an outage': rollouts, 'Slopes': fit_rollouts(rollouts)}
    singly = [
        await measure_fresh(size, seed, bundles=False) for size in FRESH_SIZES
    ]
    bundled = [
        await measure_fresh(size, seed, bundles=True) for size in FRESH_SIZES
    ]
    return {
        'Fresh readers without bundles': singly,
        'Slopes without bundles': fit_rollouts(singly),
        'Fresh readers with bundles': bundled,
        'Slopes with bundles': fit_rollouts(bundled),
    }


def fit_rollouts(rollouts: Sequence[Rollout]) -> list[Slope]:
    """Fit lines through the time, reads, bytes and CPU time of all sizes."""
    sizes = [rollout.readers for rollout in rollouts]
    slopes = []
    for figure in ('max_s', 'reads', 'bytes_a_reader', 'cpu_ms_a_reader'):
        line = fit_line(
            sizes,
            [getattr(rollout, figure) for rollout in rollouts],
        )
        slopes.append(
            Slope(figure, line.intercept, line.slope, line.max_residual)
        )
    return slopes


def main() -> None:
    """Measure and print Markdown tables or JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--part', choices=PARTS, default=PARTS[0])
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--json', action='store_true')
    args = parser.parse_args()
    sections = asyncio.run(run_part(args.part, args.seed))
    if args.json:
        plain = {
            title: [asdict(row) for row in rows]
            for title, rows in sections.items()
        }
        print(json.dumps({'seed': args.seed, **plain}))
        return
    print_tables(sections)


if __name__ == '__main__':
    main()
