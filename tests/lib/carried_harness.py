"""Test harness that runs the carried path as real processes on loopback.

Its client and its backend server are fakes that exchange packets of the
platform. The store is a ``FakeStore``.
"""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path
from typing import Any

from attrs import define, field

from dragonflyshift._internal.carried.packet import (
    FlowKey,
    Packet,
    SocketAddress,
)
from dragonflyshift._internal.utils.datagrams import PlainUdpSocket
from dragonflyshift._internal.utils.early_binding import BoundSockets
from dragonflyshift.platform.binding import SETTINGS_VARIABLE
from dragonflyshift.platform.packets import PlatformCodec
from dragonflyshift.platform.settings import METRICS_PORT
from tests.lib.carried import ACK, BOUNCED, SYN, build_packet
from tests.lib.kvstore import (
    FakeStore,
    build_config_item,
    build_entry_item,
)
from tests.lib.ports import find_free_port

ROOT = Path(__file__).resolve().parents[2]
BALANCER_HOST = '127.0.31.1'
SIDECAR_HOST = '127.0.31.2'
CLIENT_HOST = '127.0.31.9'
POLL_INTERVAL_S = 0.02
SERVER_SEQUENCE = 5000
_CODEC = PlatformCodec()


async def fetch_metrics(host: str) -> dict[str, float]:
    """Return the values of a daemon's metrics page by name and labels.

    Raises IncompleteReadError if the daemon closes without a response.
    """
    reader, writer = await asyncio.open_connection(host, METRICS_PORT)
    writer.write(b'GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n')
    await reader.readuntil(b'\r\n\r\n')
    page = await reader.read()
    writer.close()
    rows = (
        line.rpartition(' ')
        for line in page.decode().splitlines()
        if not line.startswith('#')
    )
    return {name: float(count) for name, _space, count in rows}


class FakeBackend:
    """A backend server that answers each payload of its flows.

    It holds each flow whose first packet it receives and bounces packets of
    other flows.
    """

    def __init__(self, address: SocketAddress, outbound: SocketAddress) -> None:
        """Listen at the server's address."""
        self.held_flows: set[FlowKey] = set()
        self._next_sequences: dict[FlowKey, int] = {}
        # Monotonic times at which new flows arrived.
        self.flow_times: list[float] = []
        self.received: list[Packet] = []
        self._outbound = outbound
        self._sock = PlainUdpSocket(
            BoundSockets().take(address), self._on_packet
        )

    def close(self) -> None:
        """Stop listening."""
        self._sock.close()

    def _on_packet(self, raw: bytes, _address: SocketAddress) -> None:
        packet = _CODEC.from_client(raw)
        self.received.append(packet)
        key = packet.key
        if packet.is_first:
            if key not in self.held_flows:
                self.flow_times.append(time.monotonic())
            self.held_flows.add(key)
            self._send_packet(
                build_packet(
                    key,
                    SYN | ACK,
                    sequence=SERVER_SEQUENCE,
                    from_backend=True,
                ),
            )
        elif key not in self.held_flows:
            bounced = bytearray(raw)
            bounced[8] |= BOUNCED
            self._send_packet(bytes(bounced))
        elif packet.payload_bytes:
            self._send_answer(key, b'answer')

    def _send_answer(self, key: FlowKey, payload: bytes) -> None:
        sequence = self._next_sequences.get(key, SERVER_SEQUENCE + 1)
        self._next_sequences[key] = sequence + len(payload)
        self._send_packet(
            build_packet(
                key,
                ACK,
                sequence=sequence,
                payload=payload,
                from_backend=True,
            )
        )

    def _send_packet(self, raw: bytes) -> None:
        self._sock.send(raw, self._outbound)


class PacketClient:
    """A client that sends packets to a balancer and records the answers."""

    def __init__(self, address: SocketAddress, balancer: SocketAddress) -> None:
        """Listen at the address to which sidecars send client packets."""
        self.received: list[Packet] = []
        self._balancer = balancer
        self._sock = PlainUdpSocket(
            BoundSockets().take(address), self._on_packet
        )

    def close(self) -> None:
        """Stop listening."""
        self._sock.close()

    def send(self, raw: bytes) -> None:
        """Send a packet once."""
        self._sock.send(raw, self._balancer)

    async def request(
        self,
        raw: bytes,
        timeout_s: float = 5,
        retry_interval_s: float = 0.2,
    ) -> Packet:
        """Send a packet and return the first packet that comes back.

        The packet is sent again at each retry interval. Raises TimeoutError
        if no packet comes back in time.
        """
        self.received.clear()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        send_at = loop.time()
        while loop.time() < deadline:
            if loop.time() >= send_at:
                self._sock.send(raw, self._balancer)
                send_at += retry_interval_s
            if self.received:
                return self.received[0]
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError('no packet returned before the timeout')

    def _on_packet(self, raw: bytes, _address: SocketAddress) -> None:
        self.received.append(_CODEC.from_backend(raw))


@define(eq=False)
class CarriedHarness:
    """Runs a store, a balancer and a sidecar, and holds their ports.

    The daemons import the package from ``python_path`` and use ``plugins``,
    by kind. ``configuration``, ``entry`` and ``bounds`` hold fields of the
    configuration, of the server's entry and of the bounds in the settings that
    differ from the default.
    """

    folder: Path
    interpreter_options: tuple[str, ...] = ()
    python_path: Path = ROOT / 'src'
    plugins: dict[str, str] = field(factory=dict)
    store: FakeStore = field(factory=FakeStore)
    ports: dict[str, int] = field(factory=dict)
    processes: dict[str, asyncio.subprocess.Process] = field(factory=dict)
    store_address: SocketAddress = ('', 0)
    configuration: dict[str, Any] = field(factory=dict)
    entry: dict[str, Any] = field(factory=dict)
    bounds: dict[str, Any] = field(factory=dict)

    async def start(self) -> None:
        """Start the store and the daemons; wait until both are ready."""
        port_names = ('packets', 'peers', 'ready', 'control', 'outbound', 'app')
        self.ports = {name: find_free_port() for name in port_names}
        self.store_address = await self.store.start()
        app = f'{SIDECAR_HOST}:{self.ports["app"]}'
        self.store.items = [
            build_config_item(1, **self.configuration),
            build_entry_item('i-1', 2, address=app, **self.entry),
        ]
        self.store.revision = 2
        await self.start_process('sidecar')
        await self.start_process('balancer')
        await self.wait_ready()
        # The sidecar may take longer to start, and its pages refuse connections
        # until then.
        await self.wait_ready(SIDECAR_HOST)

    async def start_process(self, role: str) -> None:
        """Write the settings of a role and start its process."""
        settings_path = self.folder / f'{role}.json'
        settings_path.write_text(json.dumps(self._settings(role)))
        self.processes[role] = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.interpreter_options,
            '-m',
            'dragonflyshift.platform',
            role,
            env={
                SETTINGS_VARIABLE: str(settings_path),
                'PYTHONPATH': str(self.python_path),
            },
            stdout=asyncio.subprocess.DEVNULL,
        )

    async def stop_process(
        self,
        role: str,
        signal_number: signal.Signals,
    ) -> int:
        """Send a signal to a role's process and return its exit status."""
        process = self.processes[role]
        process.send_signal(signal_number)
        return await process.wait()

    async def wait_ready(self, host: str = BALANCER_HOST) -> None:
        """Wait until a daemon's readiness page answers 200."""
        for _ in range(500):
            if await self.ready_status(host) == 200:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f'the daemon at {host} is not ready in time')

    async def ready_status(self, host: str = BALANCER_HOST) -> int:
        """Return a daemon's readiness status, or 0 without an answer."""
        try:
            reader, writer = await asyncio.open_connection(
                host,
                self.ports['ready'],
            )
        except OSError:
            return 0
        writer.write(b'GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n')
        line = await reader.readline()
        writer.close()
        return int(line.split()[1]) if line else 0

    async def close(self) -> None:
        """Kill the processes that still run and close the store."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        self.store.close()

    def _settings(self, role: str) -> dict[str, Any]:
        is_balancer = role == 'balancer'
        host = BALANCER_HOST if is_balancer else SIDECAR_HOST
        listen_addresses = {
            'packetAddr': f'{host}:{self.ports["packets"]}',
            'readiness': f'{host}:{self.ports["ready"]}',
        }
        if is_balancer:
            listen_addresses['controlPlane'] = f'{host}:{self.ports["control"]}'
        else:
            listen_addresses['outbound'] = f'{host}:{self.ports["outbound"]}'
        store_host, store_port = self.store_address
        return {
            'node': f'{role}-1',
            'machineClass': 'edge' if is_balancer else 'side',
            'ip': host,
            'zone': 'klang',
            'zones': {'klang': 'selangor'},
            'listenAddrs': listen_addresses,
            'internalPorts': [self.ports['peers'], self.ports['peers']],
            'seeds': [f'{BALANCER_HOST}:{self.ports["control"]}'],
            'bootstrap': False,
            'bounds': {'graceS': 3, 'flowMaxS': 60, **self.bounds},
            'service': '' if is_balancer else 'lists',
            'app': '' if is_balancer else f'{host}:{self.ports["app"]}',
            'platform': {'address': f'{store_host}:{store_port}'},
            'plugins': self.plugins,
        }
