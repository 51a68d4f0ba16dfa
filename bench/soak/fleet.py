"""The daemons of the soak as processes, and the store behind its proxy."""

__all__ = ('SoakFleet',)

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any

from attrs import define, field

from bench.soak.backend import SoakBackend, Violations
from bench.soak.proxy import StoreProxy
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift.platform.binding import SETTINGS_VARIABLE
from tests.lib.carried_harness import find_free_port
from tests.lib.kvstore import FakeStore, build_entry_item, build_item

ROOT = Path(__file__).resolve().parents[2]
BALANCERS = 3
# Sidecars of each service.
SIDECARS = 3
SERVICES = {'lists': 443, 'parts': 444}
PROBE_S = 0.25
RESTART_S = 0.3
PROBE_TIMEOUT_S = 0.2
PORT_NAMES = ('packets', 'peers', 'ready', 'control', 'outbound', 'app')


@define(eq=False)
class SoakFleet:
    """Start, signal and watch the daemons; ``net`` separates two fleets."""

    folder: Path
    violations: Violations
    net: int = 61
    ports: dict[str, int] = field(factory=dict)
    store: FakeStore = field(factory=FakeStore)
    backends: list[SoakBackend] = field(factory=list)
    processes: dict[str, asyncio.subprocess.Process] = field(factory=dict)
    # The logs of each daemon, one for each of its processes.
    logs: dict[str, list[Path]] = field(factory=dict)
    version: int = 0
    proxy: StoreProxy = field(init=False)
    _store_address: SocketAddress = ('', 0)
    _ready: dict[str, bool] = field(factory=dict)
    _stopped: set[str] = field(factory=set)

    async def start(self) -> None:
        """Start the store, the backend servers and all daemons."""
        self.ports = {name: find_free_port() for name in PORT_NAMES}
        self.proxy = StoreProxy(await self.store.start())
        self._store_address = await self.proxy.start()
        for index, (service, port) in enumerate(SERVICES.items()):
            for number in range(SIDECARS):
                await self._add_backend(service, port, index, number)
        self.publish()
        for name in self.balancers() + self.sidecars():
            await self.run(name)

    def balancers(self) -> list[str]:
        """Return the names of the balancers."""
        return [f'balancer-{number}' for number in range(BALANCERS)]

    def sidecars(self) -> list[str]:
        """Return the names of the sidecars."""
        return [backend.name for backend in self.backends]

    def publish(self) -> None:
        """Publish a further version of the configuration."""
        self.version += 1
        revision = self._next_revision()
        routes = [_route(name, port) for name, port in SERVICES.items()]
        config = {
            'version': self.version,
            'routes': routes,
            'services': [],
            'limits': {'idleTimeoutMs': 15000},
        }
        self._put(build_item('op/config', revision, config))

    def register(self, backend: SoakBackend) -> None:
        """Publish the entry of a backend server's new life."""
        host, port = backend.address
        self._put(
            build_entry_item(
                backend.name,
                self._next_revision(),
                service=backend.service,
                address=f'{host}:{port}',
                born=backend.born_ms,
                maxConcurrency=8,
            )
        )

    async def run(self, name: str) -> None:
        """Start a daemon's process."""
        self._stopped.discard(name)
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(self._settings(name)))
        role = 'balancer' if name.startswith('balancer') else 'sidecar'
        runs = self.logs.setdefault(name, [])
        runs.append(self.folder / f'{name}.{len(runs)}.log')
        with runs[-1].open('wb') as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'dragonflyshift.platform',
                role,
                env={
                    SETTINGS_VARIABLE: str(path),
                    'PYTHONPATH': str(ROOT / 'src'),
                },
                stdout=log,
            )

    async def stop(self, name: str, number: signal.Signals) -> None:
        """End a daemon's process by a signal and wait for its end."""
        self._stopped.add(name)
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
            process.send_signal(number)
            await process.wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Signal a daemon if it lives."""
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(number)

    def ready(self) -> list[SocketAddress]:
        """Return the addresses of the balancers that answered 200."""
        names = [name for name in self.balancers() if self._ready.get(name)]
        return [
            (self.host(name), self.ports['packets'])
            for name in names or self.balancers()
        ]

    async def probe(self) -> None:
        """Ask all balancers for readiness until cancelled."""
        while True:
            await asyncio.gather(*map(self._probe_one, self.balancers()))
            await asyncio.sleep(PROBE_S)

    async def supervise(self) -> None:
        """Restart what ended by itself, as the platform does.

        A signal during the first moments of a start ends any interpreter.
        """
        while True:
            await asyncio.sleep(RESTART_S)
            for name, process in tuple(self.processes.items()):
                if process.returncode is not None and name not in self._stopped:
                    await self.run(name)

    async def close(self) -> None:
        """Kill what still runs."""
        for name in self.processes:
            await self.stop(name, signal.SIGKILL)
        for backend in self.backends:
            backend.crash()
        self.proxy.close()
        self.store.close()

    def host(self, name: str) -> str:
        """Return the loopback address of a daemon."""
        role, _dash, number = name.rpartition('-')
        if role == 'balancer':
            return f'127.0.{self.net}.{int(number) + 1}'
        offset = list(SERVICES).index(role) * 10
        return f'127.0.{self.net + 1}.{offset + int(number) + 1}'

    async def _add_backend(
        self,
        service: str,
        port: int,
        index: int,
        number: int,
    ) -> None:
        host = f'127.0.{self.net + 1}.{index * 10 + number + 1}'
        backend = SoakBackend(
            f'{service}-{number}',
            service,
            port,
            (host, self.ports['app']),
            (host, self.ports['outbound']),
            self.violations,
        )
        await backend.start()
        self.backends.append(backend)
        self.register(backend)

    def _next_revision(self) -> int:
        self.store.revision += 1
        return self.store.revision

    def _put(self, item: dict[str, Any]) -> None:
        others = [
            known for known in self.store.items if known['key'] != item['key']
        ]
        self.store.items = [*others, item]
        self.store.events.append(item)

    async def _probe_one(self, name: str) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                status = await _readiness(self.host(name), self.ports['ready'])
        except (OSError, TimeoutError):
            status = b''
        self._ready[name] = status == b'200'

    def _settings(self, name: str) -> dict[str, Any]:
        host = self.host(name)
        is_balancer = name.startswith('balancer')
        listen = {
            'packetAddr': f'{host}:{self.ports["packets"]}',
            'readiness': f'{host}:{self.ports["ready"]}',
        }
        extra = 'controlPlane' if is_balancer else 'outbound'
        port = self.ports['control' if is_balancer else 'outbound']
        listen[extra] = f'{host}:{port}'
        seeds = [
            f'{self.host(seed)}:{self.ports["control"]}'
            for seed in self.balancers()
        ]
        store_host, store_port = self._store_address
        return {
            'node': name,
            'machineClass': 'edge' if is_balancer else 'side',
            'ip': host,
            'zone': 'klang',
            'zones': {'klang': 'selangor'},
            'listenAddrs': listen,
            'internalPorts': [self.ports['peers'], self.ports['peers']],
            'seeds': seeds,
            'bootstrap': False,
            'bounds': {'graceS': 3, 'flowMaxS': 60},
            'service': '' if is_balancer else name.rpartition('-')[0],
            'app': '' if is_balancer else f'{host}:{self.ports["app"]}',
            'platform': {'address': f'{store_host}:{store_port}'},
        }


async def _readiness(host: str, port: int) -> bytes:
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(b'GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n')
    line = await reader.readline()
    writer.close()
    return line.split()[1] if line else b''


def _route(service: str, port: int) -> dict[str, Any]:
    return {
        'name': service,
        'host': '198.18.0.1',
        'prefix': f'/{port}/',
        'type': 'safe',
        'timeoutMs': 1200,
        'sloMs': 225,
        'priority': 2,
        'service': service,
    }
