"""Measure the costs of flows and requests at a sidecar and a balancer.

The real programs run on loopback: fabric, one balancer, one sidecar, one
backend server. Run ``python -m bench.micro.sidecar [--json] [--seed N]``.
"""

import asyncio
import functools
import sys
from collections.abc import Awaitable, Callable, Sequence

from attrs import evolve, frozen

from bench.micro.timing import Options, parse_options, show
from bench.process_cost import ProcessCost
from bench.slopes import fit_line
from tests.lib.cluster import LISTS, Cluster, ClusterPlan
from tests.lib.declarations import ANYWHERE_RULES, ServicePlan
from tests.lib.h3 import H3Client

HANDSHAKE_SIZES = (50, 100, 200)
REQUEST_SIZES = (100, 200, 400)
EXPORT_SIZES = (1_000_000, 2_000_000, 4_000_000)
FLOW_SIZES = (50, 100, 200)
CONCURRENCY = 8
IDLE_SECONDS = 5.0
SLOTS = 8
US_PER_S = 1_000_000
CLIENT_IDLE_SECONDS = 60.0


@frozen
class Sample:
    """Costs of one workload of the given size."""

    work: str
    size: int
    sidecar_cpu_s: float
    balancer_cpu_s: float
    sidecar_bytes: int
    balancer_bytes: int


@frozen
class Slope:
    """Cost per unit of a workload, from a linear fit over three sizes."""

    work: str
    sidecar_us: float
    balancer_us: float
    sidecar_bytes: float
    balancer_bytes: float
    worst_fit: float


@frozen
class Costs:
    """Accumulated costs of both processes."""

    sidecar: ProcessCost
    balancer: ProcessCost


class ClusterRig:
    """Runs workloads on a cluster of one endpoint and measures their costs."""

    def __init__(self, cluster: Cluster) -> None:
        """Measure on a running cluster."""
        self.cluster = cluster
        self.flows: list[H3Client] = []

    def read(self) -> Costs:
        """Return the current costs of the sidecar and the balancer."""
        sidecar = self.cluster.instances[0].sidecar
        balancer = self.cluster.balancers[0].program
        return Costs(
            ProcessCost.read(sidecar.child.pid),
            ProcessCost.read(balancer.child.pid),
        )

    async def measure(
        self,
        work: str,
        size: int,
        run: Callable[[int], Awaitable[None]],
    ) -> Sample:
        """Run a workload and return its costs."""
        before = self.read()
        await run(size)
        after = self.read()
        return Sample(
            work,
            size,
            after.sidecar.cpu_seconds - before.sidecar.cpu_seconds,
            after.balancer.cpu_seconds - before.balancer.cpu_seconds,
            after.sidecar.resident_bytes - before.sidecar.resident_bytes,
            after.balancer.resident_bytes - before.balancer.resident_bytes,
        )

    async def connect(self) -> H3Client:
        """Open a flow with an idle timeout of ``CLIENT_IDLE_SECONDS``."""
        return await self.cluster.connect(
            LISTS,
            idle_timeout=CLIENT_IDLE_SECONDS,
        )

    async def run_handshakes(self, count: int) -> None:
        """Open and close ``count`` flows."""
        await _run_concurrently(count, self._open_and_close)

    async def hold_flows(self, count: int) -> None:
        """Open further flows until ``count`` are open."""
        missing = count - len(self.flows)
        await _run_concurrently(missing, self._open_and_hold)

    async def send_requests(self, count: int) -> None:
        """Send ``count`` short requests over ``CONCURRENCY`` flows."""
        flows = [await self.connect() for _ in range(CONCURRENCY)]
        idle_flows = asyncio.Queue[H3Client]()
        for flow in flows:
            idle_flows.put_nowait(flow)
        await _run_concurrently(
            count,
            functools.partial(_request_on, idle_flows),
        )
        for flow in flows:
            await flow.aclose()

    async def download_export(self, size: int) -> None:
        """Download an export of ``size`` bytes.

        Raises RuntimeError if the body is incomplete.
        """
        flow = await self.connect()
        response = await flow.request('GET', f'/exports/{size}')
        await flow.aclose()
        if len(response.body) != size:
            raise RuntimeError(
                f'export returned {len(response.body)} of {size} bytes:'
                f' {response.failure}',
            )

    async def _open_and_close(self) -> None:
        flow = await self.connect()
        await flow.aclose()

    async def _open_and_hold(self) -> None:
        self.flows.append(await self.connect())


async def _run_concurrently(
    count: int,
    work: Callable[[], Awaitable[None]],
) -> None:
    """Run a function ``count`` times, ``CONCURRENCY`` at a time."""
    limit = asyncio.Semaphore(CONCURRENCY)

    tasks = (_run_limited(limit, work) for _ in range(count))
    await asyncio.gather(*tasks)


async def _run_limited(
    limit: asyncio.Semaphore,
    work: Callable[[], Awaitable[None]],
) -> None:
    async with limit:
        await work()


async def _request_on(idle_flows: asyncio.Queue[H3Client]) -> None:
    flow = await idle_flows.get()
    await flow.request('GET', '/lists/1')
    idle_flows.put_nowait(flow)


def _read_totals(rig: ClusterRig) -> Sample:
    """Return the total costs of the processes since their start."""
    costs = rig.read()
    return Sample(
        'at rest',
        0,
        costs.sidecar.cpu_seconds,
        costs.balancer.cpu_seconds,
        costs.sidecar.resident_bytes,
        costs.balancer.resident_bytes,
    )


async def _measure_idle(rig: ClusterRig) -> Sample:
    return await rig.measure(
        'idle second',
        int(IDLE_SECONDS),
        lambda _size: asyncio.sleep(IDLE_SECONDS),
    )


async def _measure(rig: ClusterRig) -> list[Sample]:
    samples = [_read_totals(rig), await _measure_idle(rig)]
    # Open flows come first: other workloads leave freed memory that flows
    # would reuse, which hides their memory cost.
    base = rig.read()
    for size in FLOW_SIZES:
        sample = await rig.measure('open flow', size, rig.hold_flows)
        now = rig.read()
        sample_since_base = evolve(
            sample,
            sidecar_bytes=now.sidecar.resident_bytes
            - base.sidecar.resident_bytes,
            balancer_bytes=now.balancer.resident_bytes
            - base.balancer.resident_bytes,
        )
        samples.append(sample_since_base)
    for size in HANDSHAKE_SIZES:
        samples.append(await rig.measure('handshake', size, rig.run_handshakes))
    for size in REQUEST_SIZES:
        samples.append(await rig.measure('request', size, rig.send_requests))
    for size in EXPORT_SIZES:
        samples.append(
            await rig.measure('export byte', size, rig.download_export),
        )
    return samples


def _fit_slope(work: str, samples: Sequence[Sample]) -> Slope:
    sizes = [sample.size for sample in samples]
    sidecar = fit_line(sizes, [each.sidecar_cpu_s for each in samples])
    balancer = fit_line(sizes, [each.balancer_cpu_s for each in samples])
    sidecar_memory = fit_line(sizes, [each.sidecar_bytes for each in samples])
    balancer_memory = fit_line(sizes, [each.balancer_bytes for each in samples])
    shown_fit = sidecar_memory if work == 'open flow' else sidecar
    return Slope(
        work,
        sidecar.slope * US_PER_S,
        balancer.slope * US_PER_S,
        sidecar_memory.slope,
        balancer_memory.slope,
        shown_fit.max_residual,
    )


async def run(options: Options) -> None:
    """Measure all workloads on a cluster and print the results."""
    plan = ClusterPlan(
        services=(
            ServicePlan(
                LISTS,
                'association',
                endpoints=1,
                slots=SLOTS,
                rules=ANYWHERE_RULES,
            ),
        ),
        balancers=1,
        seed=options.seed,
        daemon_flags=('--idle-timeout=60', '--log-level=info'),
    )
    async with Cluster(plan) as cluster:
        rig = ClusterRig(cluster)
        samples = await _measure(rig)
        for flow in rig.flows:
            await flow.aclose()
    works = dict.fromkeys(sample.work for sample in samples[2:])
    slopes = [
        _fit_slope(work, [each for each in samples if each.work == work])
        for work in works
    ]
    show(options, {'samples': samples, 'slopes': slopes})


def main(argv: Sequence[str] | None = None) -> int:
    """Run the benchmark."""
    options = parse_options('Costs of flows and requests.', argv)
    asyncio.run(run(options))
    return 0


if __name__ == '__main__':
    sys.exit(main())
