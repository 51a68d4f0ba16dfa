"""Entries of another writer, then a change of the configuration.

Another program writes one entry under ``servers/``, where the endpoints have
theirs, and rewrites it every two seconds. Its service is named nowhere, and its
``born`` is a floating-point number, 1e30, instead of a whole number of
milliseconds. With VARIANT=text ``born`` is sound, and the name of the unknown
service isn't valid Unicode.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

import rig

STABLE = ('198.18.0.1', 443)
ADDED = ('198.18.0.2', 443)
SERVICES = ['lists', 'parts']
CALM_S = 6.0
REWRITE_S = 2.0
# From the first foreign entry to the change of the configuration.
WAIT_S = 9.0
PROBES_S = 10.0


def foreign_entry(number):
    entry = {
        'service': 'inventory-exporter',
        'address': '127.0.0.1:9',
        'zone': 'z-a',
        'version': f'v{number}',
        'maxConcurrency': 1,
        'state': 'ready',
        'warmupLeftMs': 0,
        'sequence': number,
        'born': 1e30,
    }
    if os.environ.get('VARIANT') == 'text':
        entry['born'] = int(time.time() * 1000)
        entry['service'] = 'inventory-\ud83d'
    return entry


async def case(create, has_trouble):
    fleet = create()
    for number in range(2):
        fleet.add_balancer(number)
    for number, service in enumerate(('lists', 'lists', 'parts')):
        fleet.add_sidecar(number, service)
    stable = rig.route_row('r-stable', STABLE, 'lists')
    fleet.store.put('op/config', rig.config(7, [stable], SERVICES))
    for daemon in list(fleet.daemons.values()):
        if daemon.role == 'sidecar':
            name = f'i-{daemon.name[-1]}'
            service = daemon.settings['service']
            endpoint = rig.Endpoint(
                fleet, name, service, daemon.host, daemon.zone
            )
            await endpoint.start()
    await fleet.start()
    await fleet.wait_ready()
    # The platform sends a few flows directly to each ready daemon.
    clients = {
        daemon.name: await fleet.client(number, through=daemon.host)
        for number, daemon in enumerate(fleet.balancers())
    }
    probes = Probes(fleet, clients)
    await asyncio.sleep(CALM_S)
    for name in clients:
        if await probes.run(name, STABLE) is None:
            raise RuntimeError(f'no service through {name} before the trouble')
    writer = None
    if has_trouble:
        writer = asyncio.ensure_future(write_foreign_entries(fleet))
    await asyncio.sleep(WAIT_S)
    added = rig.route_row('r-added', ADDED, 'parts')
    fleet.store.put('op/config', rig.config(12, [stable, added], SERVICES))
    acked_at = time.monotonic()
    fleet.record.write('acknowledged', version=12)
    await asyncio.sleep(fleet.bounds['configApplyMs'] / 1000 + 0.2)
    end = time.monotonic() + PROBES_S
    while time.monotonic() < end:
        await asyncio.gather(*(probes.check(name, acked_at) for name in clients))
        await asyncio.sleep(0.2)
    if writer:
        writer.cancel()


async def write_foreign_entries(fleet):
    number = 0
    while True:
        number += 1
        fleet.store.put('servers/exporter-1', foreign_entry(number))
        fleet.record.write('foreign-entry', key='servers/exporter-1')
        await asyncio.sleep(REWRITE_S)


class Probes:
    def __init__(self, fleet, clients):
        self.fleet = fleet
        self.clients = clients
        self.count = 0

    async def run(self, name, route):
        """Send one request through a balancer; return its answer."""
        self.count += 1
        request_id = f'q{self.count}'
        flow = self.clients[name].new_flow(route)
        is_open = await flow.open()
        answer = await flow.request(request_id) if is_open else None
        flow.close()
        self.fleet.record.write(
            'request', id=request_id, through=name, route=f'{route[0]}:{route[1]}',
            outcome=flow.outcome, answered=bool(answer),
        )  # fmt: skip
        return answer

    async def check(self, name, acked_at):
        sent_s = time.monotonic() - acked_at
        daemon = self.fleet.daemons[name]
        if not self.fleet.router_ready.get(daemon.host):
            return
        if await self.run(name, ADDED) is None:
            self.fleet.broken(
                'CONFIG',
                f'{name}: not served on the route that version 12 added, '
                f'sent {sent_s:.1f} s after its acknowledgement',
            )


rig.run(case)
