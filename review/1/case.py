"""Long flows during a move of their route and a rolling restart.

Clients keep flows open and pause. Meanwhile the operator moves the route to
another service, and then all daemons are stopped and started in turn. The
endpoints aren't touched. Then the clients send their next requests.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

import rig

ROUTE = ('198.18.0.1', 443)
SERVICES = ['lists', 'parts']
FLOWS = 8
CALM_S = 6.0
RESTART_DELAY_S = 0.2
GAP_S = 0.5
PAUSE_S = 12.5
MEASURED_S = 5.0


async def case(create, has_trouble):
    fleet = create()
    for number in range(2):
        fleet.add_balancer(number)
    for number, service in enumerate(('lists', 'lists', 'parts')):
        fleet.add_sidecar(number, service)
    fleet.store.put('op/config', configuration(7, 'lists'))
    for daemon in list(fleet.daemons.values()):
        if daemon.role == 'sidecar':
            endpoint = rig.Endpoint(
                fleet,
                f'i-{daemon.name[-1]}',
                daemon.settings['service'],
                daemon.host,
                daemon.zone,
            )
            await endpoint.start()
    await fleet.start()
    await fleet.wait_ready()
    client = await fleet.client(0)
    await asyncio.sleep(CALM_S)
    flows = []
    for number in range(FLOWS):
        flow = client.new_flow(ROUTE)
        if not await flow.open() or not await flow.request(f'first-{number}'):
            raise RuntimeError('a flow was not served before the planned work')
        flows.append(flow)
    paused_at = time.monotonic()
    if has_trouble:
        fleet.store.put('op/config', configuration(12, 'parts'))
        fleet.record.write('acknowledged', version=12)
        await roll(fleet)
    rest_s = paused_at + PAUSE_S - time.monotonic()
    if rest_s < 0:
        raise RuntimeError(f'the restart took {-rest_s:.1f} s too long')
    await asyncio.sleep(rest_s)
    resumed_at = time.monotonic()
    fleet.record.write('resumed', paused_s=round(resumed_at - paused_at, 2))
    answers = await asyncio.gather(
        *(
            flow.request(f'second-{number}', budget_s=MEASURED_S)
            for number, flow in enumerate(flows)
        )
    )
    print(f'answered after the pause: {sum(map(bool, answers))} of {FLOWS}')
    check(fleet, flows, resumed_at)


def configuration(version, service):
    row = rig.route_row('r-1', ROUTE, service)
    return rig.config(version, [row], SERVICES)


async def roll(fleet):
    """Stop and start all daemons in turn, one at a time."""
    for daemon in reversed(list(fleet.daemons.values())):
        await fleet.stop(daemon)
        await asyncio.sleep(RESTART_DELAY_S)
        await fleet.start_daemon(daemon)
        await asyncio.sleep(GAP_S)
        if daemon.role == 'balancer':
            await fleet.wait_ready()


def check(fleet, flows, resumed_at):
    """Check FLOW (a) and (b) for the flows; their endpoints live."""
    window_s = fleet.bounds['flowMs'] / 1000
    for flow in flows:
        key = flow.key
        if flow.outcome == 'reset':
            fleet.broken('FLOW', f'(a) {key}: reset, its endpoint lives')
        held = [at for at, _, held in fleet.held if held == key and at > resumed_at]
        strays = [at for at, _, stray in fleet.strays if stray == key]
        for start in strays:
            end = start + window_s
            inside = [at for at in strays if start <= at < end]
            if len(inside) >= 3 and not any(start <= at < end for at in held):
                fleet.broken(
                    'FLOW',
                    f'(b) {key}: in {window_s:.0f} s {len(inside)} packets '
                    'reached other endpoints and none its own',
                )
                break


rig.run(case)
