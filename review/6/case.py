"""Open flows of a service that the configuration no longer names."""

import asyncio

from deployment import main

FLOWS = 8
STABLE_WINDOW_S = 4.2


async def case(deployment, has_trouble):
    await deployment.start(2, {'lists': 2, 'parts': 2})
    deployment.write_config(
        3, {443: 'lists', 444: 'parts'}, ('lists', 'parts')
    )
    for endpoint in deployment.endpoints.values():
        await endpoint.start()
    await deployment.start_daemons()
    await asyncio.sleep(STABLE_WINDOW_S)

    clients = deployment.clients
    route = (deployment.route_host, 443)
    flows = [await clients.open(route) for _ in range(FLOWS)]
    first = await asyncio.gather(*map(clients.request, flows))
    assert first == ['answered'] * FLOWS, first

    # The route stays and leads new flows elsewhere; the old service is gone
    # from the configuration, while its endpoints still serve their flows.
    deployment.write_config(7, {443: 'parts', 444: 'parts'}, ('parts',))
    await asyncio.sleep(STABLE_WINDOW_S)
    second = await asyncio.gather(*map(clients.request, flows))
    assert second == ['answered'] * FLOWS, second

    if has_trouble:
        for name in deployment.balancers():
            await deployment.restart(name)
            await deployment.until_in_rotation(name)
    await asyncio.sleep(STABLE_WINDOW_S)

    held = [holder(deployment, flow) for flow in flows]
    third = await asyncio.gather(*map(clients.request, flows))
    broken = [
        f'FLOW: {flow.src} is open at {name}, and its client gets a reset '
        f'that {name} did not send'
        for flow, name, result in zip(flows, held, third, strict=True)
        if name and result == 'reset'
    ]
    assert broken or third == ['answered'] * FLOWS, third
    return broken


def holder(deployment, flow):
    """Return the name of the endpoint at which a flow is open."""
    for name, endpoint in deployment.endpoints.items():
        if (flow.src, flow.dst) in endpoint.open_flows():
            return name
    return ''


main(case)
