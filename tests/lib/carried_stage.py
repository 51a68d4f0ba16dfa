"""The carried path as real processes on loopback, with stand-ins around it.

The client and the backend server speak the platform's packets; the store is
``FakeStore``.
"""

import asyncio
import json
import signal
import socket
import sys
from pathlib import Path
from typing import Any

from attrs import define, field

from dragonflyshift._internal.carried.packet import (
    FlowKey,
    Packet,
    SocketAddress,
)
from dragonflyshift._internal.utils.datagrams import PairSocket
from dragonflyshift._internal.utils.early_binding import BoundSockets
from dragonflyshift.platform.binding import SETTINGS_VARIABLE
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import ACK, BOUNCED, SYN, build_packet
from tests.lib.kvstore import (
    FakeStore,
    build_config_item,
    build_entry_item,
)

ROOT = Path(__file__).resolve().parents[2]
BALANCER_HOST = '127.0.31.1'
SIDECAR_HOST = '127.0.31.2'
CLIENT_HOST = '127.0.31.9'
STEP_SECONDS = 0.02
SERVER_SEQUENCE = 5000
_CODEC = PlatformCodec()


def free_port() -> int:
    """Return a port number that is free on loopback."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return int(sock.getsockname()[1])


class BackendStandIn:
    """Hold flows, answer each payload, bounce what isn't held."""

    def __init__(self, address: SocketAddress, outbound: SocketAddress) -> None:
        """Listen at the server's address."""
        self.held: set[FlowKey] = set()
        self.received: list[Packet] = []
        self._outbound = outbound
        self._sock = PairSocket(BoundSockets().take(address), self._packet)

    def close(self) -> None:
        """Stop listening."""
        self._sock.close()

    def _packet(self, raw: bytes, _pair: SocketAddress) -> None:
        packet = _CODEC.from_client(raw)
        self.received.append(packet)
        key = packet.key
        if packet.is_first:
            self.held.add(key)
            self._send(
                build_packet(
                    key,
                    SYN | ACK,
                    sequence=SERVER_SEQUENCE,
                    from_backend=True,
                ),
            )
        elif key not in self.held:
            bounced = bytearray(raw)
            bounced[8] |= BOUNCED
            self._send(bytes(bounced))
        elif packet.payload_bytes:
            answer = build_packet(
                key,
                ACK,
                payload=b'answer',
                from_backend=True,
            )
            self._send(answer)

    def _send(self, raw: bytes) -> None:
        self._sock.send(raw, self._outbound)


class CarriedClient:
    """Send packets to a balancer and keep what comes back."""

    def __init__(self, address: SocketAddress, balancer: SocketAddress) -> None:
        """Listen where the platform's packets for clients arrive."""
        self.received: list[Packet] = []
        self._balancer = balancer
        self._sock = PairSocket(BoundSockets().take(address), self._packet)

    def close(self) -> None:
        """Stop listening."""
        self._sock.close()

    async def ask(
        self,
        raw: bytes,
        seconds: float = 5,
        again: float = 0.2,
    ) -> Packet:
        """Send a packet, and again at intervals, until something returns."""
        self.received.clear()
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        send_at = loop.time()
        while loop.time() < ends_at:
            if loop.time() >= send_at:
                self._sock.send(raw, self._balancer)
                send_at += again
            if self.received:
                return self.received[0]
            await asyncio.sleep(STEP_SECONDS)
        raise TimeoutError('no packet came back')

    def _packet(self, raw: bytes, _pair: SocketAddress) -> None:
        self.received.append(_CODEC.from_backend(raw))


@define(eq=False)
class CarriedStage:
    """A store, a balancer, a sidecar and its backend server."""

    folder: Path
    store: FakeStore = field(factory=FakeStore)
    ports: dict[str, int] = field(factory=dict)
    processes: dict[str, asyncio.subprocess.Process] = field(factory=dict)
    store_address: SocketAddress = ('', 0)

    async def start(self) -> None:
        """Start everything and wait until the balancer is ready."""
        names = ('packets', 'peers', 'ready', 'control', 'outbound', 'app')
        self.ports = {name: free_port() for name in names}
        self.store_address = await self.store.start()
        app = f'{SIDECAR_HOST}:{self.ports["app"]}'
        self.store.items = [
            build_config_item(1),
            build_entry_item('i-1', 2, address=app),
        ]
        self.store.revision = 2
        await self.run('sidecar')
        await self.run('balancer')
        await self.wait_ready()

    async def run(self, role: str) -> None:
        """Start a role's process."""
        path = self.folder / f'{role}.json'
        path.write_text(json.dumps(self._settings(role)))
        self.processes[role] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'dragonflyshift.platform',
            role,
            env={
                SETTINGS_VARIABLE: str(path),
                'PYTHONPATH': str(ROOT / 'src'),
            },
            stdout=asyncio.subprocess.DEVNULL,
        )

    async def signal(self, role: str, number: signal.Signals) -> int:
        """Signal a role's process and return its exit status."""
        process = self.processes[role]
        process.send_signal(number)
        return await process.wait()

    async def wait_ready(self) -> None:
        """Wait until the balancer answers 200."""
        for _ in range(500):
            if await self.ready_status() == 200:
                return
            await asyncio.sleep(STEP_SECONDS)
        raise TimeoutError('the balancer is not ready')

    async def ready_status(self) -> int:
        """Return the status of the balancer's readiness, 0 without one."""
        try:
            reader, writer = await asyncio.open_connection(
                BALANCER_HOST,
                self.ports['ready'],
            )
        except OSError:
            return 0
        writer.write(b'GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n')
        line = await reader.readline()
        writer.close()
        return int(line.split()[1]) if line else 0

    async def close(self) -> None:
        """Kill what still runs."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        self.store.close()

    def _settings(self, role: str) -> dict[str, Any]:
        is_balancer = role == 'balancer'
        host = BALANCER_HOST if is_balancer else SIDECAR_HOST
        listen = {
            'packetAddr': f'{host}:{self.ports["packets"]}',
            'readiness': f'{host}:{self.ports["ready"]}',
        }
        if is_balancer:
            listen['controlPlane'] = f'{host}:{self.ports["control"]}'
        else:
            listen['outbound'] = f'{host}:{self.ports["outbound"]}'
        store_host, store_port = self.store_address
        return {
            'node': f'{role}-1',
            'machineClass': 'edge' if is_balancer else 'side',
            'ip': host,
            'zone': 'klang',
            'zones': {'klang': 'selangor'},
            'listenAddrs': listen,
            'internalPorts': [self.ports['peers'], self.ports['peers']],
            'seeds': [f'{BALANCER_HOST}:{self.ports["control"]}'],
            'bootstrap': False,
            'bounds': {'graceS': 3, 'flowMaxS': 60},
            'service': '' if is_balancer else 'lists',
            'app': '' if is_balancer else f'{host}:{self.ports["app"]}',
            'platform': {'address': f'{store_host}:{store_port}'},
        }
