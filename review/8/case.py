"""A change of the configuration while two machines are cut from the store."""

import asyncio
import time

from deployment import main

BALANCERS = 7
CUT_MACHINES = 2
CUT_S = 3.7
ROUNDS = 10
FLOWS = 40
STABLE_WINDOW_S = 4.3
CONFIG_APPLY_S = 3.0
PORT = 443


async def case(deployment, has_trouble):
    await deployment.start(BALANCERS, {'lists': 2, 'parts': 1})
    await deployment.add_links()
    version = 3
    led = {PORT: 'lists', 444: 'parts'}
    deployment.write_config(version, led, ('lists', 'parts'))
    for endpoint in deployment.endpoints.values():
        await endpoint.start()
    await deployment.start_daemons()
    broken = []
    for number in range(ROUNDS):
        await asyncio.sleep(STABLE_WINDOW_S)
        # Configurations come in quick succession: the first one of a round
        # only changes the version.
        version += 2
        deployment.write_config(version, led, ('lists', 'parts'))
        await asyncio.sleep(0.15)
        cut = await cut_readers(deployment) if has_trouble else []
        former = led[PORT]
        led[PORT] = 'parts' if former == 'lists' else 'lists'
        version += 2
        acked_at = deployment.write_config(version, led, ('lists', 'parts'))
        late_at = acked_at + CONFIG_APPLY_S
        await asyncio.sleep(late_at + 0.02 - time.monotonic())
        broken += await open_flows(deployment, cut, former, number, acked_at)
        await asyncio.sleep(acked_at + CUT_S - time.monotonic())
        for name in cut:
            deployment.links[name].heal()
            deployment.record('platform', f'{name} reaches the store again')
    return broken


async def cut_readers(deployment):
    """Cut the machines whose watches were sent last, all at once."""
    balancers = sorted(
        deployment.balancers(),
        key=lambda name: deployment.links[name].watched_at,
        reverse=True,
    )
    cut = balancers[:CUT_MACHINES]
    for name in cut:
        deployment.links[name].cut()
        deployment.record('platform', f'{name} is cut from the store')
    return cut


async def open_flows(deployment, cut, former, number, acked_at):
    """Open flows; return those that the former service took too late.

    Flows that a cut machine takes don't count.
    """
    clients = deployment.clients
    hosts = {deployment.hosts[name] for name in cut}
    tasks = []
    for _ in range(FLOWS):
        task = asyncio.create_task(clients.open((deployment.route_host, PORT)))
        tasks.append(task)
    flows = await asyncio.gather(*tasks)
    lines = []
    for flow in filter(None, flows):
        taken_by, _port = deployment.route(flow.src, flow.dst)
        service = service_of(deployment, flow)
        if taken_by in hosts or service != former:
            continue
        late_s = flow.sent_at - acked_at
        lines.append(
            f'CONFIG: round {number}: {flow.src}, sent {late_s:.3f} s after '
            f'the acknowledgement through {taken_by}, which was in touch, is '
            f'run by {service}, the service of the version before'
        )
    await asyncio.gather(*map(clients.request, filter(None, flows)))
    return lines


def service_of(deployment, flow):
    for endpoint in deployment.endpoints.values():
        if (flow.src, flow.dst) in endpoint.flows:
            return endpoint.service
    return ''


main(case)
