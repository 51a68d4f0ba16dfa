"""An entry of another writer before the final fault."""

import asyncio
import signal
import time

from deployment import ZONE, main

DOWN_S = 1.0
RECOVERY_S = 12.0
CHECKED_S = 6.0
PORT = 443
# No endpoint has this id. The entry has no fields at all.
FOREIGN_KEY = f'servers/\x01evacuated:{ZONE}'
REWRITE_S = 2.0


async def case(deployment, has_trouble):
    await deployment.start(2, {'lists': 2})
    version = 3
    deployment.write_config(version, {PORT: 'lists'}, ('lists',))
    for endpoint in deployment.endpoints.values():
        await endpoint.start()
    await deployment.start_daemons()
    await asyncio.sleep(2)
    before = await served_share(deployment, 3.0)
    assert before >= 0.25, before

    writer = None
    if has_trouble:
        writer = asyncio.create_task(write_always(deployment))
    deployment.write_config(version + 2, {PORT: 'lists'}, ('lists',))
    names = list(deployment.hosts)
    await asyncio.gather(
        *(deployment.stop(name, signal.SIGKILL) for name in names)
    )
    await asyncio.sleep(DOWN_S)
    for name in names:
        await deployment.launch(name)
    await asyncio.sleep(RECOVERY_S)
    after = await served_share(deployment, CHECKED_S)
    if writer is not None:
        writer.cancel()
    if after >= 0.25:
        return []
    return [
        f'RECOVER: {after:.2f} of the requests sent later than '
        f'{RECOVERY_S:.0f} s after the machines are back are served, '
        f'{before:.2f} were before the final fault'
    ]


async def write_always(deployment):
    """Write the entry, and write it again, as its writer keeps it alive."""
    while True:
        deployment.store.put(FOREIGN_KEY, {})
        await asyncio.sleep(REWRITE_S)


async def served_share(deployment, seconds):
    clients = deployment.clients
    results = []

    async def attempt():
        flow = await clients.open((deployment.route_host, PORT))
        served = flow is not None and await clients.request(flow, 1.5)
        results.append(served == 'answered')

    tasks = []
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        tasks.append(asyncio.create_task(attempt()))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    return sum(results) / len(results)


main(case)
