"""Stand-ins for the platform, its servers and its clients, on loopback.

They follow PROTOCOL.md and DEPLOY.md, and import nothing of the project. The
daemons are started with the commands of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEADER = struct.Struct('!IIBI4sH4sHIH')
SYN, ACK, FIN, RST, BOUNCED = 32, 16, 4, 8, 64
MASK = 0xFFFFFFFF
PAYLOAD = 1200
# A client takes a reset of an open flow within this distance (PROTOCOL.md).
RESET_WINDOW = 76_800
SYN_COPIES_S = (0.0, 0.2, 0.6)
SYN_LIMIT_S = 1.4
CONFIG_APPLY_S = 3.0

PLAN = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())


class Record:
    """The record of a run: one line for each thing that was seen."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, *words):
        line = f'{self.now():9.4f}  ' + ' '.join(str(word) for word in words)
        self._file.write(line + '\n')
        self._file.flush()

    def close(self):
        self._file.close()


class Packet:
    """A decoded packet."""

    def __init__(self, raw):
        fields = HEADER.unpack_from(raw)
        self.raw = raw
        self.seq, self.ack, self.flags, self.echo = fields[:4]
        self.src = (socket.inet_ntoa(fields[4]), fields[7])
        self.dst = (socket.inet_ntoa(fields[6]), fields[5])
        self.data = raw[HEADER.size :]

    def has(self, flag):
        return bool(self.flags & flag)

    @property
    def is_first(self):
        return self.has(SYN) and not self.has(ACK)


def build(src, dst, flags, seq=0, ack=0, data=b''):
    """Build a packet; the sum is a constant, as its key is not disclosed."""
    return HEADER.pack(
        seq & MASK, ack & MASK, flags, 0,
        socket.inet_aton(src[0]), dst[1], socket.inet_aton(dst[0]), src[1],
        0x01020304, len(data),
    ) + data


def udp_socket(address):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    sock.bind(address)
    return sock


class Udp:
    """A UDP socket that calls ``on_packet(raw, sender)``."""

    def __init__(self, address, on_packet):
        self.sock = udp_socket(address)
        self._on_packet = on_packet
        asyncio.get_running_loop().add_reader(self.sock, self._read)

    def _read(self):
        while True:
            try:
                raw, sender = self.sock.recvfrom(65535)
            except (BlockingIOError, ConnectionRefusedError):
                return
            if len(raw) >= HEADER.size:
                self._on_packet(raw, sender)

    def send(self, raw, address):
        try:
            self.sock.sendto(raw, address)
        except OSError:
            pass

    def close(self):
        asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.close()


class Store:
    """The platform's store: items, one revision counter, and watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self._changed = asyncio.Event()
        self._server = None
        self._writers = set()
        self.address = None
        # Addresses of machines that the store turns away with 503.
        self.refused = set()
        # While it is down, the store answers nothing.
        self.is_down = False

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def close(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def put(self, key, body):
        """Write a value and return the time of the acknowledgement."""
        self.revision += 1
        value = base64.b64encode(json.dumps(body).encode()).decode()
        created = self.items.get(key, {}).get('created', self.revision)
        item = {
            'key': key, 'value': value, 'revision': self.revision,
            'created': created, 'lease': 0,
        }
        self.items[key] = item
        self._publish(item)
        return time.monotonic()

    def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._publish({'key': key, 'revision': self.revision, 'deleted': True})

    def _publish(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        host = writer.get_extra_info('peername')[0]
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                status, body = await self._answer(head.split()[1].decode(), host)
                if self.is_down:
                    # This channel returns nothing further.
                    await reader.read()
                    return
                raw = json.dumps(body).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(raw)}\r\n\r\n'.encode() + raw
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, target, host):
        await asyncio.sleep(0.004)
        if host in self.refused:
            return 503, {}
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        prefix = query.get('prefix', '')
        if parts.path == '/kv-key':
            item = self.items.get(query.get('key'))
            if item is None:
                return 404, {}
            return 200, {**item, 'asOf': self.revision}
        if parts.path == '/kv-range':
            after = query.get('after', '')
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > after
            )
            page = [self.items[k] for k in keys[:500]]
            return 200, {
                'items': page, 'truncated': len(keys) > 500,
                'asOf': self.revision,
            }
        return await self._watch(query, prefix)

    async def _watch(self, query, prefix):
        after = int(query['after'])
        deadline = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            events = [
                event for event in self.history
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'asOf': self.revision}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                pass


class Server:
    """An endpoint: answers one HTTP request after another on each flow.

    ``work_s(request_id)`` is how long it works on a request. At most ``slots``
    requests run at a time, the others are queued.
    """

    def __init__(self, record, store, name, service, host, ports, zone,
                 slots=2, work_s=lambda _id: 0.02):
        self.record, self.store = record, store
        self.name, self.service, self.host = name, service, host
        self.ports, self.zone, self.slots = ports, zone, slots
        self.work_s = work_s
        self.flows = {}
        self.ran = []
        # (time, packet) of all that reached the server.
        self.received = []
        self._free = asyncio.Semaphore(slots)
        self._tasks = set()
        self._udp = None
        self._tcp = None
        self.born = int(time.time() * 1000)

    async def start(self):
        app = (self.host, self.ports['app'])
        self._udp = Udp(app, self._on_packet)
        self._tcp = await asyncio.start_server(self._health, *app)
        self.register('ready')

    def register(self, state):
        self.store.put(f'servers/{self.name}', {
            'service': self.service,
            'address': f'{self.host}:{self.ports["app"]}',
            'zone': self.zone, 'version': 'v1',
            'maxConcurrency': self.slots, 'state': state,
            'warmupLeftMs': 0, 'sequence': 1, 'born': self.born,
        })

    def close(self):
        self._udp.close()
        self._tcp.close()
        for task in self._tasks:
            task.cancel()

    async def _health(self, reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
            await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    def _send(self, flow, flags, seq, data=b''):
        raw = build(flow['dst'], flow['src'], flags, seq, flow['rcv'], data)
        self._udp.send(raw, (self.host, self.ports['outbound']))

    def _on_packet(self, raw, _sender):
        packet = Packet(raw)
        key = (packet.src, packet.dst)
        self.received.append((time.monotonic(), packet))
        flow = self.flows.get(key)
        if packet.is_first:
            self._on_syn(key, packet, flow)
        elif flow is None or not self._is_own(flow, packet):
            bounced = bytearray(raw)
            bounced[8] |= BOUNCED
            self._udp.send(bytes(bounced), (self.host, self.ports['outbound']))
        else:
            self._on_flow_packet(flow, packet)

    def _on_syn(self, key, packet, flow):
        if flow is None:
            seq = random.getrandbits(32)
            flow = {
                'src': packet.src, 'dst': packet.dst, 'isn': seq,
                'snd': (seq + 1) & MASK, 'una': (seq + 1) & MASK,
                'rcv': (packet.seq + 1) & MASK, 'open': False, 'buffer': b'',
                'opened_at': None, 'closed': False,
            }
            self.flows[key] = flow
            self.record.write(self.name, 'takes the opening packet of', key[0])
        if not flow['open']:
            self._send(flow, SYN | ACK, flow['isn'])

    @staticmethod
    def _is_own(flow, packet):
        if packet.has(RST):
            return True
        ahead = (packet.ack - flow['isn']) & MASK
        return flow['open'] or 0 < ahead <= RESET_WINDOW

    def _on_flow_packet(self, flow, packet):
        if packet.has(RST):
            flow['closed'] = True
            return
        if not flow['open']:
            flow['open'] = True
            flow['opened_at'] = time.monotonic()
            self.record.write(self.name, 'holds the open flow of', flow['src'])
        ahead = (packet.ack - flow['una']) & MASK
        if ahead < 1 << 31:
            flow['una'] = packet.ack
        if packet.data or packet.has(FIN):
            if packet.seq == flow['rcv']:
                flow['rcv'] = (flow['rcv'] + len(packet.data)) & MASK
                flow['buffer'] += packet.data
                if packet.has(FIN):
                    flow['rcv'] = (flow['rcv'] + 1) & MASK
                    flow['closed'] = True
            self._send(flow, ACK, flow['snd'])
            self._take_requests(flow)

    def _take_requests(self, flow):
        while b'\r\n\r\n' in flow['buffer']:
            head, _, flow['buffer'] = flow['buffer'].partition(b'\r\n\r\n')
            request_id = head.split(b'Request-Id: ')[1].split(b'\r\n')[0].decode()
            task = asyncio.get_running_loop().create_task(
                self._run(flow, request_id)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run(self, flow, request_id):
        async with self._free:
            self.ran.append((time.monotonic(), request_id))
            self.record.write(self.name, 'runs', request_id)
            await asyncio.sleep(self.work_s(request_id))
        body = f'{request_id} by {self.name}'.encode()
        answer = (
            b'HTTP/1.1 200 OK\r\nServer-Signature: ' + self.name.encode()
            + b'\r\nContent-Length: ' + str(len(body)).encode()
            + b'\r\n\r\n' + body
        )
        seq = flow['snd']
        flow['snd'] = (seq + len(answer)) & MASK
        # Sent again after 0.2 s, 0.6 s and so on until it is acknowledged.
        pause = 0.2
        for _ in range(8):
            self._send(flow, ACK, seq, answer)
            await asyncio.sleep(pause)
            if (flow['una'] - flow['snd']) & MASK < 1 << 31:
                return
            pause = min(1.6, pause * 2)


class Flow:
    """A client's flow, opened through ``balancer()`` for each packet."""

    def __init__(self, clients, port, route, name):
        self.clients, self.name = clients, name
        self.src, self.dst = (clients.host, port), route
        self.state = 'new'
        self.isn = random.getrandbits(32)
        self.snd = (self.isn + 1) & MASK
        self.rcv = 0
        self.una = self.snd
        self.buffer = b''
        self.resets = []
        self.changed = asyncio.Event()
        self.syn_sent_at = None

    def _send(self, flags, seq, ack, data=b''):
        raw = build(self.src, self.dst, flags, seq, ack, data)
        self.clients.send(self, raw)

    async def open(self):
        """Open the flow; return ``open``, ``reset`` or ``silence``."""
        self.state = 'opening'
        start = self.syn_sent_at = time.monotonic()
        for copy, at in enumerate((*SYN_COPIES_S, SYN_LIMIT_S)):
            await self._wait_until(start + at, lambda: self.state != 'opening')
            if self.state != 'opening':
                break
            if copy < len(SYN_COPIES_S):
                self.clients.record.write(self.name, 'sends SYN, copy', copy)
                self._send(SYN, self.isn, copy)
        if self.state == 'opening':
            self.state = 'silence'
        return self.state

    async def request(self, request_id, limit_s):
        """Send a request; return the answer's text, or how it failed."""
        data = (
            f'POST / HTTP/1.1\r\nRequest-Id: {request_id}\r\n'
            f'Content-Length: 0\r\n\r\n'
        ).encode()
        seq = self.snd
        self.snd = (seq + len(data)) & MASK
        self.buffer = b''
        start = time.monotonic()
        pause, due = 0.2, start
        while time.monotonic() < start + limit_s:
            if self.state != 'open':
                return self.state
            if b'\r\n\r\n' in self.buffer:
                head, _, body = self.buffer.partition(b'\r\n\r\n')
                length = int(head.split(b'Content-Length: ')[1].split(b'\r\n')[0])
                if len(body) >= length:
                    return body.decode()
            if (self.una - self.snd) & MASK >= 1 << 31:
                if time.monotonic() >= due:
                    self._send(ACK, seq, self.rcv, data)
                    due = time.monotonic() + pause
                    pause = min(1.6, pause * 2)
            await self._wait_until(
                min(due, start + limit_s)
                if (self.una - self.snd) & MASK >= 1 << 31
                else start + limit_s,
                lambda: False,
            )
        return 'silence'

    def close(self):
        if self.state == 'open':
            self._send(FIN | ACK, self.snd, self.rcv)
            self.snd = (self.snd + 1) & MASK
            self.state = 'closed'

    async def _wait_until(self, at, is_done):
        """Wait until a time, or until a packet arrives."""
        while not is_done():
            left = at - time.monotonic()
            if left <= 0:
                return
            self.changed.clear()
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                return
            if not is_done():
                return

    def on_packet(self, packet):
        self.changed.set()
        if packet.has(RST):
            distance = (packet.seq - self.rcv + RESET_WINDOW) & MASK
            in_window = distance <= 2 * RESET_WINDOW
            self.resets.append((time.monotonic(), self.state, in_window))
            self.clients.record.write(
                self.name, 'gets a reset, seq', packet.seq, 'while', self.state,
                'within the window' if in_window else 'outside the window',
            )
            if self.state == 'opening' or (self.state == 'open' and in_window):
                self.state = 'reset'
            return
        if packet.has(SYN):
            if self.state == 'opening':
                self.rcv = (packet.seq + 1) & MASK
                self.state = 'open'
                self.clients.record.write(self.name, 'gets SYN+ACK, opens')
            if self.state == 'open' and self.rcv == (packet.seq + 1) & MASK:
                self._send(ACK, self.snd, self.rcv)
            return
        if self.state != 'open':
            return
        ahead = (packet.ack - self.una) & MASK
        if 0 < ahead < 1 << 31:
            self.una = packet.ack
        if packet.data:
            if packet.seq == self.rcv:
                self.rcv = (self.rcv + len(packet.data)) & MASK
                self.buffer += packet.data
            self._send(ACK, self.snd, self.rcv)


class Clients:
    """Clients at one address; ``route(flow)`` names the balancer's host."""

    def __init__(self, record, host, ports, route):
        self.record, self.host, self.ports, self.route = (
            record, host, ports, route,
        )
        self.flows = {}
        self._udp = Udp((host, ports['packets']), self._on_packet)
        self._next_port = 20_000

    def flow(self, service_address, name):
        self._next_port += 1
        flow = Flow(self, self._next_port, service_address, name)
        self.flows[flow.src, flow.dst] = flow
        return flow

    def send(self, flow, raw):
        self._udp.send(raw, (self.route(flow), self.ports['packets']))

    def close(self):
        self._udp.close()

    def _on_packet(self, raw, _sender):
        packet = Packet(raw)
        flow = self.flows.get((packet.dst, packet.src))
        if flow is not None:
            flow.on_packet(packet)


class Daemon:
    """A process of the project, with its log lines."""

    def __init__(self, fleet, role, name, host, settings):
        self.fleet, self.role, self.name, self.host = fleet, role, name, host
        self.settings = settings
        self.process = None
        self.lines = []
        self.on_event = None
        self._reader = None

    async def start(self):
        path = self.fleet.folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings))
        command = PLAN['roles'][self.role]['run'].split()
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'LANG': 'C.UTF-8',
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'DRAGONFLYSHIFT_CONFIG': str(path),
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            limit=1 << 20,
        )
        self._reader = asyncio.get_running_loop().create_task(
            self._read(self.process)
        )
        self.fleet.record.write(self.name, 'starts')

    async def _read(self, process):
        while line := await process.stdout.readline():
            try:
                event = json.loads(line)
            except ValueError:
                event = {'event': line.decode(errors='replace').strip()}
            self.lines.append(event)
            if self.on_event is not None:
                self.on_event(self, event)

    @property
    def runs(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.runs:
            self.process.send_signal(number)
            self.fleet.record.write(self.name, 'gets', signal.Signals(number).name)

    async def wait(self):
        await self.process.wait()

    async def is_ready(self):
        address = self.settings['listenAddrs']['readiness'].rsplit(':', 1)
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(
                    address[0], int(address[1])
                )
                writer.write(b'GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n')
                line = await reader.readline()
                writer.close()
        except (OSError, EOFError):
            return False
        return b' 200 ' in line


class Fleet:
    """A small deployment: a store, balancers, servers with sidecars."""

    def __init__(self, record, name='reading-lists'):
        self.record, self.service = record, name
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.net = f'127.{random.randint(64, 120)}.{random.randint(1, 250)}'
        self.store = Store(record)
        self.daemons = {}
        self.servers = []
        self.clients = None
        self.ports = {}
        self.bounds = {
            'seedLagS': 3, 'reuseAfterS': 2, 'stableWindowMs': 4000,
            'ackMs': 5000, 'catchupS': 4, 'drainMs': 3000, 'graceS': 6,
            'lossSlackMs': 200, 'configApplyMs': 3000, 'rollbackSlackMs': 250,
            'skewMaxMs': 12000, 'recoveryS': 12, 'flowMs': 2000,
            'flowMaxS': 60,
        }

    def _free_ports(self, names):
        while True:
            first = random.randint(20_000, 31_000)
            try:
                for offset in range(len(names)):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as sock:
                            sock.bind(('', first + offset))
            except OSError:
                continue
            return {name: first + i for i, name in enumerate(names)}

    async def start(self, balancers, servers, config, zones=('kl-a',),
                    slots=2, bootstrap=True):
        """Start everything; balancers have the lower addresses, in order."""
        self.ports = self._free_ports(
            ('packets', 'ready', 'control', 'outbound', 'app', 'peers', 'spare')
        )
        await self.store.start(f'{self.net}.250')
        self.store.put('op/config', config)
        for number in range(balancers):
            host = f'{self.net}.{10 + number}'
            self._add('balancer', f'edge-{number + 1}', host,
                      zones[number % len(zones)], bootstrap)
        for number in range(servers):
            host = f'{self.net}.{100 + number}'
            zone = zones[number % len(zones)]
            server = Server(
                self.record, self.store, f'i-{number + 1}', self.service,
                host, self.ports, zone, slots,
            )
            await server.start()
            self.servers.append(server)
            self._add('sidecar', f'side-{number + 1}', host, zone, bootstrap)
        for daemon in self.daemons.values():
            await daemon.start()
        self.clients = Clients(
            self.record, f'{self.net}.200', self.ports, self._route
        )
        await self.wait_ready()
        # A restart is not the first start of the whole system.
        for daemon in self.daemons.values():
            daemon.settings['bootstrap'] = False

    # The host of the balancer to which the routers send a flow's packets.
    def _route(self, flow):
        return self.route(flow)

    def route(self, _flow):
        return self.daemons['edge-1'].host

    async def wait_ready(self, names=None, limit_s=15):
        deadline = time.monotonic() + limit_s
        for name in names or self.daemons:
            while not await self.daemons[name].is_ready():
                if time.monotonic() > deadline:
                    raise RuntimeError(f'{name} is not ready')
                await asyncio.sleep(0.05)

    def _add(self, role, name, host, zone, bootstrap):
        listen = {
            'packetAddr': f'{host}:{self.ports["packets"]}',
            'readiness': f'{host}:{self.ports["ready"]}',
        }
        settings = {
            'node': name, 'role': role, 'ip': host, 'zone': zone,
            'region': 'kl', 'zones': {zone: 'kl'}, 'listenAddrs': listen,
            'internalPorts': [self.ports['peers'], self.ports['spare']],
            'seeds': [
                f'{self.net}.{10 + n}:{self.ports["control"]}' for n in range(3)
            ],
            'bootstrap': bootstrap, 'inFaultBudget': False,
            'limits': {'cpuShare': 0.537, 'cores': 2, 'memoryMb': 300,
                       'maxFds': 4100, 'linkMbps': 1000.0, 'diskMb': 0},
            'dataDir': None, 'discovery': 'platform', 'entry': 'announce',
            'heartbeatMs': 770,
            'contracts': ['base', 'drain', 'config', 'cost', 'recover',
                          'flows', 'platform'],
            'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': self.bounds, 'hash': 'steady', 'deployMode': 'agent',
            'platform': {
                'address': '%s:%d' % self.store.address,
                'deployMode': 'read', 'writesPerS': 400, 'readsPerS': 2000,
                'historyS': 20, 'valueBytes': 1048576, 'ttlMinMs': 1000,
            },
        }
        if role == 'balancer':
            listen['controlPlane'] = f'{host}:{self.ports["control"]}'
            settings |= {'machineClass': 'edge',
                         'serves': ['edge', 'control_plane']}
        else:
            listen['outbound'] = f'{host}:{self.ports["outbound"]}'
            settings |= {'machineClass': 'side', 'serves': ['side'],
                         'service': self.service,
                         'app': f'{host}:{self.ports["app"]}'}
        self.daemons[name] = Daemon(self, role, name, host, settings)

    async def close(self):
        for daemon in self.daemons.values():
            if daemon.runs:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
        for daemon in self.daemons.values():
            if daemon.process is not None:
                await daemon.process.wait()
        if self.clients is not None:
            self.clients.close()
        for server in self.servers:
            server.close()
        self.store.close()
        self._temporary.cleanup()


def route(name, host, port, service, kind='unsafe', timeout_ms=1500,
          slo_ms=283):
    return {
        'name': name, 'host': host, 'prefix': f'/{port}/', 'type': kind,
        'timeoutMs': timeout_ms, 'sloMs': slo_ms, 'priority': 1,
        'service': service, 'attempts': 2,
    }


def config(version, routes, services=('reading-lists',)):
    return {
        'version': version, 'routes': routes,
        'services': [
            {'name': name, 'healthCheck': '/health', 'maxConns': 2000,
             'protocol': 'h1', 'tls': False}
            for name in services
        ],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 262144,
                   'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
    }


def main(case, path):
    """Run ``case(record, trouble)``; exit with 1, 0 or 2."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(path).resolve().parent / 'record.txt')
    record.write('TROUBLE =', int(trouble))
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except Exception as exc:
        record.write('could not run:', repr(exc))
        raise SystemExit(2) from exc
    record.write('rule broken' if broken else 'rule held')
    raise SystemExit(1 if broken else 0)
