"""A small deployment: the project's daemons and the platform around them."""

import asyncio
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

from client import Clients
from endpoint import Endpoint
from links import Link
from store import Store

ROOT = Path(os.environ['REVIEW_ROOT'])
ZONE = 'kl-a'
PROBE_S = 0.5
RESTART_DELAY_S = 0.5
GRACE_S = 6.0
METRICS_PORT = 9464
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'stableWindowMs': 4000,
    'ackMs': 5000,
    'catchupS': 4,
    'drainMs': 3000,
    'graceS': GRACE_S,
    'lossSlackMs': 200,
    'configApplyMs': 3000,
    'rollbackSlackMs': 250,
    'skewMaxMs': 12000,
    'recoveryS': 12,
    'flowMs': 2000,
    'flowMaxS': 60,
}


class Record:
    """Writes what was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.file = Path(path).open('w')

    def __call__(self, who, text):
        seconds = time.monotonic() - self.started_at
        self.file.write(f'{seconds:8.3f} {who}: {text}\n')
        self.file.flush()


class Deployment:
    """Balancers, endpoints with their sidecars, the store and clients."""

    def __init__(self, folder, record):
        self.folder, self.record = Path(folder), record
        self.net = free_network()
        self.ports = free_ports(f'127.{self.net}.1.1')
        self.store = Store(record)
        self.daemons = {}
        self.hosts = {}
        self.services = {}
        self.starts = {}
        self.failed_probes = {}
        self.endpoints = {}
        self.links = {}
        self.clients = None
        self._probing = None

    async def start(self, balancers, services):
        """Start all; ``services`` maps names to numbers of endpoints."""
        await self.store.start(f'127.{self.net}.9.1')
        for number in range(balancers):
            self.hosts[f'edge-{number}'] = f'127.{self.net}.1.{number + 1}'
        for index, (service, count) in enumerate(services.items()):
            for number in range(count):
                host = f'127.{self.net}.{index + 2}.{number + 1}'
                self.hosts[f'side-{service}-{number}'] = host
                self.services[f'side-{service}-{number}'] = service
                self.endpoints[f'{service}-{number}'] = Endpoint(
                    self.store,
                    self.record,
                    f'{service}-{number}',
                    service,
                    ZONE,
                    host,
                    self.ports,
                )
        self.clients = Clients(
            self.record,
            self.route,
            f'127.{self.net}.8.1',
            self.ports['packets'],
        )

    async def start_daemons(self, without=()):
        for name in self.hosts:
            if name not in without:
                await self.launch(name)
        self._probing = asyncio.create_task(self._probe_always())
        await self.until_ready()

    async def until_ready(self):
        """Wait until all balancers are in rotation."""
        for name in self.balancers():
            await self.until_in_rotation(name)

    async def until_in_rotation(self, name):
        """Wait until a balancer has answered the platform's probe."""
        ends_at = time.monotonic() + 20
        while self.failed_probes.get(name) != 0:
            if time.monotonic() > ends_at:
                raise RuntimeError(f'{name} did not become ready')
            await asyncio.sleep(0.1)

    def balancers(self):
        return [name for name in self.hosts if name.startswith('edge')]

    def sidecars(self):
        return [name for name in self.hosts if name.startswith('side')]

    def write_config(self, version, routes, services):
        """Write a configuration: routes map ports to services."""
        body = {
            'version': version,
            'routes': [
                {
                    'name': f'r-{port}',
                    'host': self.route_host,
                    'prefix': f'/{port}/',
                    'type': 'unsafe',
                    'timeoutMs': 1500,
                    'sloMs': 283,
                    'priority': 1,
                    'service': service,
                    'attempts': 2,
                }
                for port, service in routes.items()
            ],
            'services': [
                {
                    'name': name,
                    'healthCheck': '/health',
                    'maxConns': 2000,
                    'protocol': 'h1',
                    'tls': False,
                }
                for name in services
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 262144,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
        }
        return self.store.put('op/config', body)

    @property
    def route_host(self):
        return f'127.{self.net}.7.1'

    async def add_links(self):
        """Give each machine a link of its own to the store."""
        for name in self.hosts:
            link = Link(self.store.address)
            link.address = await link.start(f'127.{self.net}.9.2')
            self.links[name] = link

    async def launch(self, name):
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(self._settings(name)))
        role = 'balancer' if name.startswith('edge') else 'sidecar'
        log = (self.folder / f'{name}.log').open('ab')
        self.starts[name] = self.starts.get(name, 0) + 1
        # The ``run`` command of the role in the deploy file.
        self.daemons[name] = await asyncio.create_subprocess_exec(
            'python3',
            '-S',
            '-m',
            'dragonflyshift.platform',
            role,
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'LANG': 'C.UTF-8',
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'DRAGONFLYSHIFT_CONFIG': str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record('platform', f'{name} is started')

    async def stop(self, name, number=signal.SIGTERM):
        """End a daemon by a signal, and by SIGKILL after the grace period."""
        process = self.daemons[name]
        self.record('platform', f'{name} gets {signal.Signals(number).name}')
        process.send_signal(number)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except TimeoutError:
            process.kill()
            await process.wait()
        self.record('platform', f'{name} has ended')

    async def restart(self, name, number=signal.SIGTERM):
        await self.stop(name, number)
        await asyncio.sleep(RESTART_DELAY_S)
        await self.launch(name)

    def route(self, src, dst):
        """Return the balancer for a packet: a steady hash over the rotation."""
        rotation = [
            name for name in self.balancers() if self.failed_probes[name] < 2
        ]
        if 2 * len(rotation) < len(self.balancers()):
            rotation = self.balancers()
        chosen = max(
            rotation,
            key=lambda name: hashlib.sha256(
                f'{name}{src}{dst}'.encode()
            ).digest(),
        )
        return (self.hosts[chosen], self.ports['packets'])

    async def close(self):
        if self._probing is not None:
            self._probing.cancel()
        for process in self.daemons.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for endpoint in self.endpoints.values():
            endpoint.end(leaves_entry=True)
        if self.clients is not None:
            self.clients.close()
        for link in self.links.values():
            link.close()
        self.store.close()
        # The connections of the ended daemons close.
        await asyncio.sleep(0.1)

    async def _probe_always(self):
        while True:
            await asyncio.gather(*map(self._probe, self.balancers()))
            await asyncio.sleep(PROBE_S)

    async def _probe(self, name):
        address = (self.hosts[name], self.ports['ready'])
        line = b''
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(
                    b'GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n'
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            pass
        was = self.failed_probes.get(name)
        if line.split()[1:2] == [b'200']:
            self.failed_probes[name] = 0
        else:
            self.failed_probes[name] = (2 if was is None else was) + 1
        is_in = self.failed_probes[name] < 2
        if was is None or is_in != (was < 2):
            where = 'in rotation' if is_in else 'out of rotation'
            self.record('platform', f'{name} is {where}')

    def _settings(self, name):
        host = self.hosts[name]
        is_edge = name.startswith('edge')
        listen = {
            'packetAddr': f'{host}:{self.ports["packets"]}',
            'readiness': f'{host}:{self.ports["ready"]}',
        }
        own = 'controlPlane' if is_edge else 'outbound'
        listen[own] = f'{host}:{self.ports["control" if is_edge else own]}'
        seeds = [
            f'{self.hosts[seed]}:{self.ports["control"]}'
            for seed in self.balancers()[:3]
        ]
        link = self.links.get(name)
        address = self.store.address if link is None else link.address
        store_host, store_port = address
        settings = {
            'node': name,
            'role': 'balancer' if is_edge else 'sidecar',
            'machineClass': 'edge' if is_edge else 'side',
            'serves': ['edge', 'control_plane'] if is_edge else ['side'],
            'ip': host,
            'zone': ZONE,
            'region': 'kl',
            'zones': {ZONE: 'kl'},
            'listenAddrs': listen,
            'internalPorts': [self.ports['peers'], self.ports['peers'] + 15],
            'seeds': seeds,
            'bootstrap': self._probing is None,
            'inFaultBudget': False,
            'limits': {'cpuShare': 1.0, 'memoryMb': 300, 'maxFds': 4100},
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'announce',
            'heartbeatMs': 770,
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'recover',
                'flows',
                'platform',
            ],
            'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'hash': 'steady',
            'deployMode': 'agent',
            'platform': {
                'address': f'{store_host}:{store_port}',
                'deployMode': 'read',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
                'ttlMinMs': 1000,
            },
        }
        if not is_edge:
            settings['service'] = self.services[name]
            settings['app'] = f'{host}:{self.ports["app"]}'
        return settings


def free_network():
    """Return a second octet of loopback addresses that nobody uses."""
    for _ in range(100):
        net = random.randrange(100, 250)
        with socket.socket() as sock:
            try:
                sock.bind((f'127.{net}.1.1', METRICS_PORT))
            except OSError:
                continue
        return net
    raise RuntimeError('no free loopback addresses')


def free_ports(host):
    names = ('packets', 'ready', 'control', 'outbound', 'app')
    sockets = {name: socket.socket() for name in names}
    for sock in sockets.values():
        sock.bind((host, 0))
    ports = {name: sock.getsockname()[1] for name, sock in sockets.items()}
    for sock in sockets.values():
        sock.close()
    ports['peers'] = random.randrange(20_000, 30_000)
    return ports


def main(case):
    """Run ``case(deployment, has_trouble)``, which returns broken rules.

    The exit status is 1 if a rule was broken, 0 if all held, and 2 if the case
    could not run.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(os.environ['REVIEW_CASE']) / 'record.txt')
    record('case', f'disruption: {"yes" if has_trouble else "no"}')
    status = asyncio.run(_run(case, has_trouble, record))
    record('case', f'exit status {status}')
    sys.exit(status)


async def _run(case, has_trouble, record):
    # A caller that runs out of patience ends the daemons, too.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(folder, record)
        try:
            async with asyncio.timeout(100):
                broken = await case(deployment, has_trouble)
        except asyncio.CancelledError:
            record('case', 'could not run: stopped')
            return 2
        except Exception as exc:
            record('case', f'could not run: {exc!r}')
            sys.stderr.write(f'could not run: {exc!r}\n')
            return 2
        finally:
            await deployment.close()
            logs = os.environ.get('REVIEW_LOGS')
            if logs:
                shutil.copytree(folder, logs, dirs_exist_ok=True)
    for line in broken:
        record('broken', line)
        print(line)
    return 1 if broken else 0
