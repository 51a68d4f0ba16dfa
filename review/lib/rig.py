"""Stand-ins for the platform, and a small deployment of the real daemons.

Only the standard library is used. Everything runs on addresses of 127.0.0.0/8
and on the real clock. The daemons are separate processes, started with the
commands of the deploy file. The store, the endpoints, the router and the
clients run in this process and follow the users' pages.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import zlib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEADER = struct.Struct('!IIBI4sH4sHIH')
SYN, ACK, FIN, RST, BOUNCED = 32, 16, 4, 8, 64
MASK = 0xFFFFFFFF
# A reset counts on an open flow only within this distance of the last ack.
RESET_WINDOW = 76_800
FIRST_RETRANSMISSION_S = 0.2
MAX_RETRANSMISSION_S = 1.6
MAX_SERVER_RETRANSMISSIONS = 8
COPY_TIMES_S = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'stableWindowMs': 4000,
    'ackMs': 5000,
    'catchupS': 4,
    'drainMs': 3000,
    'graceS': 6,
    'lossSlackMs': 200,
    'configApplyMs': 3000,
    'rollbackSlackMs': 250,
    'skewMaxMs': 12000,
    'recoveryS': 12,
    'flowMs': 2000,
    'flowMaxS': 60,
}
HEARTBEAT_S = 0.77
# How long a client keeps the port of a flow that it closed.
LINGER_S = 5.0
STORE_ANSWER_S = 0.004


class Record:
    """The log of a run: what was sent, answered and run, with times."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, what, **details):
        parts = ' '.join(f'{name}={value}' for name, value in details.items())
        self._file.write(f'{self.now():8.3f} {what} {parts}\n')
        self._file.flush()

    def close(self):
        self._file.close()


# --- packets -----------------------------------------------------------------


def checksum(raw):
    """Return the keyed sum: all fields but echo, BOUNCED and the sum."""
    head = raw[:8] + bytes((raw[8] & ~BOUNCED,)) + raw[13:25] + raw[29:]
    return zlib.crc32(b'rig key' + head) & MASK or 1


def build(src, sport, dst, dport, flags, seq=0, ack=0, payload=b''):
    raw = HEADER.pack(
        seq & MASK, ack & MASK, flags, 0, socket.inet_aton(src), dport,
        socket.inet_aton(dst), sport, 0, len(payload),
    ) + payload  # fmt: skip
    return raw[:25] + checksum(raw).to_bytes(4, 'big') + raw[29:]


class Pkt:
    def __init__(self, raw):
        (self.seq, self.ack, self.flags, self.echo, src, self.dport, dst,
         self.sport, self.sum, self.length) = HEADER.unpack_from(raw)  # fmt: skip
        self.src = socket.inet_ntoa(src)
        self.dst = socket.inet_ntoa(dst)
        self.payload = raw[HEADER.size :]
        self.raw = raw
        self.is_valid = self.sum == checksum(raw)


class Udp(asyncio.DatagramProtocol):
    """A bound UDP socket with a callback for each datagram."""

    @classmethod
    async def open(cls, address, handler):
        self = cls()
        self._handler = handler
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )
        sock = self.transport.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        return self

    def datagram_received(self, data, addr):
        self._handler(data)

    def error_received(self, exc):
        pass

    def send(self, data, address):
        self.transport.sendto(data, address)

    def close(self):
        self.transport.close()


# --- the platform's store ----------------------------------------------------


class Store:
    """The platform's store; each daemon reaches it at a port of its own.

    ``modes`` holds how the store treats a daemon: 'ok', 'busy' (503),
    'reset' or 'silent'.
    """

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 100
        self.modes = {}
        self.tasks = set()
        self._changed = asyncio.Event()
        self._servers = []

    async def listen(self, name):
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(name, reader, writer),
            '127.0.0.1',
            0,
        )
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f'{host}:{port}'

    def put(self, key, raw):
        """Write a value and return the revision; this is the acknowledgement."""
        if not isinstance(raw, bytes):
            raw = json.dumps(raw).encode()
        self.revision += 1
        before = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(raw).decode(),
            'revision': self.revision,
            'created': before['created'] if before else self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self._add(item)
        return self.revision

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    def close(self):
        for server in self._servers:
            server.close()
        for task in tuple(self.tasks):
            task.cancel()

    def _add(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, name, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                target = head.split()[1].decode()
                mode = self.modes.get(name, 'ok')
                if mode == 'silent':
                    await asyncio.sleep(3600)
                if mode == 'reset':
                    return
                status, body = 503, b'{}'
                if mode == 'ok':
                    status, body = await self._respond(name, target)
                if self.modes.get(name, 'ok') == 'silent':
                    await asyncio.sleep(3600)
                if self.modes.get(name, 'ok') == 'reset':
                    return
                await asyncio.sleep(STORE_ANSWER_S)
                writer.write(
                    f'HTTP/1.1 {status} x\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(body)}\r\n\r\n'.encode() + body
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    async def _respond(self, name, target):
        parts = urlsplit(target)
        query = {
            key: values[0]
            for key, values in parse_qs(
                parts.query, keep_blank_values=True
            ).items()
        }
        if parts.path == '/kv-range':
            prefix, after = query.get('prefix', ''), query.get('after', '')
            keys = sorted(
                key
                for key in self.items
                if key.startswith(prefix) and key > after
            )
            body = {
                'items': [self.items[key] for key in keys[:500]],
                'truncated': len(keys) > 500,
                'asOf': self.revision,
            }
            return 200, json.dumps(body).encode()
        if parts.path != '/kv-watch':
            return 404, b'{}'
        after = int(query['after'])
        deadline = time.monotonic() + min(30_000, int(query['waitMs'])) / 1000
        while True:
            if self.modes.get(name, 'ok') != 'ok':
                return 503, b'{}'
            events = [
                event
                for event in self.history
                if event['revision'] > after
                and event['key'].startswith(query.get('prefix', ''))
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                body = {'events': events, 'asOf': self.revision}
                return 200, json.dumps(body).encode()
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), min(left_s, 0.2))
            except TimeoutError:
                pass


# --- endpoints ---------------------------------------------------------------


class ServerFlow:
    def __init__(self, isn, client_isn):
        self.isn = isn
        self.is_open = False
        self.expected = (client_isn + 1) & MASK
        self.next = (isn + 1) & MASK
        self.acked = (isn + 1) & MASK
        self.unacked = []
        self.has_fin = False
        self.timer = None
        self.tries = 0
        self.delay_s = FIRST_RETRANSMISSION_S
        self.buffer = b''


class Endpoint:
    """One lifetime of an endpoint, beside its daemon.

    ``on_take(endpoint, key, now)`` is called when a SYN of a new flow arrives
    and is accepted.
    """

    def __init__(self, fleet, name, service, host, zone, slots=3, born=None):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.host = host
        self.zone = zone
        self.slots = slots
        self.state = 'ready'
        self.flows = {}
        self.ended = set()
        self.running = 0
        self.queue = []
        self.cold_left_s = 0.0
        self.cold_until = float('-inf')
        self.sequence = 0
        self.born = born or int(time.time() * 1000)
        self._entry = None
        self._tasks = []
        self.is_up = False

    async def start(self, *, registers=True):
        ports = self.fleet.ports
        self._udp = await Udp.open((self.host, ports['app']), self._on_packet)
        self._tcp = await asyncio.start_server(
            self._on_probe, self.host, ports['app']
        )
        self.is_up = True
        self.fleet.endpoints[self.host] = self
        if registers:
            self._tasks.append(asyncio.ensure_future(self._beat()))

    def crash(self):
        """End at once; nothing is written to the store."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        for flow in self.flows.values():
            if flow.timer:
                flow.timer.cancel()
        self._udp.close()
        self._tcp.close()

    def leave(self):
        """End after planned work: the entry is removed."""
        self.crash()
        self.fleet.store.delete(f'servers/{self.name}')

    def register(self):
        """Write the entry if more than ``sequence`` has changed."""
        self.sequence += 1
        left_ms = int(max(0, self.cold_until - time.monotonic()) * 1000)
        entry = {
            'service': self.service,
            'address': f'{self.host}:{self.fleet.ports["app"]}',
            'zone': self.zone,
            'version': 'v1',
            'maxConcurrency': self.slots,
            'state': self.state,
            'warmupLeftMs': left_ms,
            'born': self.born,
        }
        self.fleet.beats[self.name] = time.monotonic()
        key = f'servers/{self.name}'
        if entry != self._entry or key not in self.fleet.store.items:
            self._entry = entry
            self.fleet.store.put(key, {**entry, 'sequence': self.sequence})

    async def _beat(self):
        while True:
            if self.fleet.store_is_up:
                self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _on_probe(self, reader, writer):
        try:
            await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
            await writer.drain()
        except (OSError, EOFError, TimeoutError):
            pass
        writer.close()

    def _send(self, key, flags, seq, ack, payload=b''):
        client, port, service, service_port = key
        self._udp.send(
            build(service, service_port, client, port, flags, seq, ack, payload),
            (self.host, self.fleet.ports['outbound']),
        )

    def _bounce(self, pkt):
        raw = pkt.raw[:8] + bytes((pkt.flags | BOUNCED,)) + pkt.raw[9:]
        self._udp.send(raw, (self.host, self.fleet.ports['outbound']))

    def _on_packet(self, raw):
        pkt = Pkt(raw)
        key = (pkt.src, pkt.sport, pkt.dst, pkt.dport)
        if not pkt.is_valid:
            self.fleet.broken('UNASKED', f'{self.name} got a changed packet')
            return
        if pkt.flags & SYN:
            self._on_syn(key, pkt)
            return
        flow = self.flows.get(key)
        if flow is None and key in self.ended:
            if pkt.flags & FIN:
                self._send(key, ACK, pkt.ack, (pkt.seq + 1) & MASK)
            elif pkt.payload:
                self._send(key, RST, pkt.ack, 0)
            return
        if flow is None:
            self.fleet.on_stray(self, key)
            self._bounce(pkt)
            return
        if not flow.is_open:
            if (pkt.ack - flow.isn) & MASK > RESET_WINDOW:
                self.fleet.on_stray(self, key)
                self._bounce(pkt)
                return
            flow.is_open = True
            self.fleet.on_open(self, key)
        self.fleet.on_held(self, key)
        self._on_flow_packet(key, flow, pkt)

    def _on_syn(self, key, pkt):
        flow = self.flows.get(key)
        if flow is None:
            if len(self.queue) >= 20:
                self._bounce(pkt)
                return
            self.ended.discard(key)
            flow = ServerFlow(random.getrandbits(32), pkt.seq)
            self.flows[key] = flow
            self.fleet.on_take(self, key)
        self._send(key, SYN | ACK, flow.isn, flow.expected)

    def _on_flow_packet(self, key, flow, pkt):
        if pkt.flags & RST:
            self._end(key, flow)
            return
        if pkt.flags & ACK:
            self._on_ack(flow, pkt.ack)
        if pkt.payload:
            if pkt.seq == flow.expected:
                flow.expected = (flow.expected + len(pkt.payload)) & MASK
                flow.buffer += pkt.payload
            self._send(key, ACK, flow.next, flow.expected)
            while b'\r\n\r\n' in flow.buffer:
                head, flow.buffer = flow.buffer.split(b'\r\n\r\n', 1)
                self._on_request(key, flow, head.decode())
        if pkt.flags & FIN:
            self._send(key, ACK | FIN, flow.next, (pkt.seq + 1) & MASK)
            self._end(key, flow)

    def _end(self, key, flow):
        if flow.timer:
            flow.timer.cancel()
        self.flows.pop(key, None)
        self.ended.add(key)

    def _on_ack(self, flow, ack):
        while flow.unacked:
            seq, payload = flow.unacked[0]
            end = (seq + len(payload)) & MASK
            if (ack - end) & MASK >= 1 << 31:
                return
            flow.unacked.pop(0)
            flow.tries = 0
            flow.delay_s = FIRST_RETRANSMISSION_S

    def _on_request(self, key, flow, head):
        lines = dict(
            line.split(': ', 1) for line in head.split('\r\n')[1:] if ': ' in line
        )
        self.queue.append((key, flow, lines))
        self._start_next()

    def _start_next(self):
        while self.queue and self.running < self.slots:
            key, flow, lines = self.queue.pop(0)
            self.running += 1
            self.fleet.on_run(self, key, lines['Request-Id'])
            loop = asyncio.get_running_loop()
            loop.call_later(
                float(lines['Work-Ms']) / 1000, self._answer, key, flow, lines
            )

    def _answer(self, key, flow, lines):
        self.running -= 1
        if not self.is_up:
            return
        body = f'{lines["Request-Id"]} by {self.name}'.encode()
        payload = (
            f'HTTP/1.1 200 OK\r\nServer-Signature: {self.name}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode() + body
        )
        if self.flows.get(key) is flow:
            flow.unacked.append((flow.next, payload))
            self._send(key, ACK, flow.next, flow.expected, payload)
            flow.next = (flow.next + len(payload)) & MASK
            if self.state == 'draining':
                self._send(key, ACK | FIN, flow.next, flow.expected)
                flow.has_fin = True
            self._arm(key, flow)
        self._start_next()

    def _arm(self, key, flow):
        if flow.timer:
            flow.timer.cancel()
        loop = asyncio.get_running_loop()
        flow.timer = loop.call_later(flow.delay_s, self._resend, key, flow)

    def _resend(self, key, flow):
        if not self.is_up or not flow.unacked or self.flows.get(key) is not flow:
            return
        flow.tries += 1
        if flow.tries > MAX_SERVER_RETRANSMISSIONS:
            self._end(key, flow)
            return
        seq, payload = flow.unacked[0]
        self._send(key, ACK, seq, flow.expected, payload)
        if flow.has_fin:
            self._send(key, ACK | FIN, flow.next, flow.expected)
        flow.delay_s = min(MAX_RETRANSMISSION_S, flow.delay_s * 2)
        self._arm(key, flow)


# --- clients -----------------------------------------------------------------


class ClientFlow:
    """One flow of a client, from the SYN on.

    ``outcome`` is None, 'open', 'not-opened', 'reset-before-open' or 'reset'.
    """

    def __init__(self, client, port, service, service_port):
        self.client = client
        self.fleet = client.fleet
        self.key = (client.host, port, service, service_port)
        self.isn = random.getrandbits(32)
        self.next = (self.isn + 1) & MASK
        self.expected = 0
        self.is_open = False
        self.outcome = None
        self.sent_at = None
        self.changed = asyncio.Event()
        self.received = b''
        self.acked = self.next
        self.resets = []
        self.server_closed = False

    def send(self, flags, seq, ack, payload=b''):
        host, port, service, service_port = self.key
        raw = build(host, port, service, service_port, flags, seq, ack, payload)
        target = self.client.through or self.fleet.route(self.client.zone, self.key)
        if target:
            self.client.udp.send(raw, (target, self.fleet.ports['packets']))
        return target

    async def open(self):
        """Send the SYN and its copies; return whether the flow opened."""
        self.sent_at = time.monotonic()
        self.through = None
        for copy, at in enumerate(COPY_TIMES_S):
            await self._wait(self.sent_at + at)
            if self.outcome:
                break
            target = self.send(SYN, self.isn, copy)
            self.through = self.through or target
        await self._wait(self.sent_at + OPEN_TIMEOUT_S)
        if self.outcome is None:
            self.outcome = 'not-opened'
            self.client.flows.pop(self.key[1], None)
        return self.outcome == 'open'

    async def request(self, request_id, work_ms=20, budget_s=3.0):
        """Send a request; return the answer, or None if there is none."""
        payload = (
            f'GET /r HTTP/1.1\r\nHost: h\r\nRequest-Id: {request_id}\r\n'
            f'Work-Ms: {work_ms}\r\n\r\n'
        ).encode()
        self.received = b''
        seq = self.next
        self.next = (seq + len(payload)) & MASK
        deadline = time.monotonic() + budget_s
        delay_s = FIRST_RETRANSMISSION_S
        send_at = time.monotonic()
        while time.monotonic() < deadline and self.outcome == 'open':
            if b'\r\n\r\n' in self.received:
                if self.server_closed:
                    self.close()
                return self.received
            if self.acked != self.next and time.monotonic() >= send_at:
                self.send(ACK, seq, self.expected, payload)
                send_at = time.monotonic() + delay_s
                delay_s = min(MAX_RETRANSMISSION_S, delay_s * 2)
            wake_at = deadline if self.acked == self.next else send_at
            await self._wait(min(deadline, wake_at), once=True)
        return self.received or None

    def close(self):
        if self.outcome == 'open':
            self.send(FIN | ACK, self.next, self.expected)
            self.outcome = 'closed'
        asyncio.get_running_loop().call_later(
            LINGER_S, self.client.flows.pop, self.key[1], None
        )

    async def _wait(self, until, *, once=False):
        while True:
            left_s = until - time.monotonic()
            if left_s <= 0 or (self.outcome and not once):
                return
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                return
            if once:
                return

    def on_packet(self, pkt):
        if pkt.flags & RST:
            self._on_reset(pkt)
        elif not pkt.is_valid:
            self.fleet.broken('MIXED', f'{self.key} got a changed packet')
        elif pkt.flags & SYN:
            if not self.is_open and self.outcome is None:
                self.is_open = True
                self.outcome = 'open'
                self.server_isn = pkt.seq
                self.expected = (pkt.seq + 1) & MASK
        elif self.is_open:
            if pkt.flags & ACK:
                ahead = (pkt.ack - self.acked) & MASK
                if ahead < 1 << 31:
                    self.acked = pkt.ack
            if pkt.payload and pkt.seq == self.expected:
                self.expected = (self.expected + len(pkt.payload)) & MASK
                self.received += pkt.payload
            if pkt.payload:
                self.send(ACK, self.next, self.expected)
            if pkt.flags & FIN and self.received and pkt.seq == self.expected:
                self.server_closed = True
        self.changed.set()

    def _on_reset(self, pkt):
        is_own = pkt.sum == 0
        self.resets.append((time.monotonic(), is_own, pkt.seq))
        if self.outcome is None:
            self.outcome = 'reset-before-open'
        elif self.outcome == 'open':
            distance = (pkt.seq - self.expected) & MASK
            if min(distance, (1 << 32) - distance) <= RESET_WINDOW:
                self.outcome = 'reset'
                self.fleet.on_reset(self, is_own)


class Client:
    """A host of clients in one zone; each flow has a port of its own.

    ``through`` is a balancer's host that gets all packets, for flows that the
    platform sends directly to a daemon.
    """

    def __init__(self, fleet, host, zone, through=None):
        self.fleet = fleet
        self.host = host
        self.zone = zone
        self.through = through
        self.flows = {}
        self._port = 20_000

    async def start(self):
        self.udp = await Udp.open(
            (self.host, self.fleet.ports['packets']), self._on_packet
        )

    def new_flow(self, route):
        self._port += 1
        flow = ClientFlow(self, self._port, *route)
        self.flows[self._port] = flow
        return flow

    def close(self):
        self.udp.close()

    def _on_packet(self, raw):
        pkt = Pkt(raw)
        flow = self.flows.get(pkt.dport)
        if flow is not None and (pkt.src, pkt.sport) == flow.key[2:]:
            flow.on_packet(pkt)


# --- the deployment ----------------------------------------------------------


class Daemon:
    def __init__(self, name, role, host, zone, **settings):
        self.name = name
        self.role = role
        self.host = host
        self.zone = zone
        self.settings = settings
        self.process = None
        self.starts = 0
        # Monotonic time of the last kill, start, stop or freeze.
        self.disturbed_at = float('-inf')


class Fleet:
    """Daemons as processes, with the stand-ins around them."""

    def __init__(self, folder, zones=('z-a',), bounds=None, contracts=(), **settings):
        self.folder = Path(folder)
        self.record = Record(self.folder / 'record.txt')
        self.tmp = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store(self.record)
        self.store_is_up = True
        self.zones = zones
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.contracts = contracts
        self.extra_settings = settings
        self.daemons = {}
        self.endpoints = {}
        self.beats = {}
        self.violations = []
        self.takes = []
        self.runs = []
        self.resets = []
        self.held = []
        self.strays = []
        self.opens = {}
        self.router_ready = {}
        self._misses = {}
        self._tasks = []
        self._clients = []
        subnet = random.Random(os.getpid() ^ time.time_ns()).randrange(1, 250)
        third = random.randrange(1, 250)
        self.prefix = f'127.{subnet}.{third}'
        names = ('packets', 'ready', 'control', 'outbound', 'app')
        base = random.randrange(20_000, 29_000)
        self.ports = {name: base + n for n, name in enumerate(names)}
        self.peer_ports = [base + 20, base + 35]
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.commands = {
            name: role['run'].split() for name, role in deploy['roles'].items()
        }

    def host(self, number):
        return f'{self.prefix}.{number}'

    def broken(self, rule, text):
        self.violations.append((rule, text))
        self.record.write('RULE-BROKEN', rule=rule, text=repr(text))

    def on_take(self, endpoint, key):
        self.takes.append((time.monotonic(), endpoint, key))

    def on_open(self, endpoint, key):
        self.opens[key] = endpoint

    def on_held(self, endpoint, key):
        self.held.append((time.monotonic(), endpoint, key))

    def on_stray(self, endpoint, key):
        """Record a later packet at an endpoint that doesn't hold its flow."""
        self.strays.append((time.monotonic(), endpoint, key))
        self.record.write('stray-packet', flow=key, at=endpoint.name)

    def on_run(self, endpoint, key, request_id):
        self.runs.append((time.monotonic(), endpoint, key, request_id))
        self.record.write(
            'run', id=request_id, by=endpoint.name, service=endpoint.service
        )

    def on_reset(self, flow, is_own):
        self.resets.append((time.monotonic(), flow, is_own))
        self.record.write('reset-of-open-flow', flow=flow.key, by_system=is_own)

    def add_balancer(self, number, zone=None):
        name = f'balancer-{number}'
        host = self.host(10 + number)
        self.daemons[name] = Daemon(name, 'balancer', host, zone or self.zones[0])
        return self.daemons[name]

    def add_sidecar(self, number, service, zone=None):
        name = f'sidecar-{number}'
        host = self.host(100 + number)
        self.daemons[name] = Daemon(
            name, 'sidecar', host, zone or self.zones[0], service=service
        )
        return self.daemons[name]

    def balancers(self):
        return [d for d in self.daemons.values() if d.role == 'balancer']

    async def start_daemon(self, daemon, *, bootstrap=False):
        if 'store' not in daemon.settings:
            daemon.settings['store'] = await self.store.listen(daemon.name)
        path = self.tmp / f'{daemon.name}.json'
        path.write_text(json.dumps(self._settings(daemon, bootstrap)))
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['DRAGONFLYSHIFT_CONFIG'] = str(path)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        log = open(self.tmp / f'{daemon.name}.log', 'ab')
        daemon.starts += 1
        daemon.disturbed_at = time.monotonic()
        daemon.process = await asyncio.create_subprocess_exec(
            *self.commands[daemon.role],
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        log.close()
        self.record.write('start', daemon=daemon.name, pid=daemon.process.pid)

    def signal(self, daemon, number):
        daemon.disturbed_at = time.monotonic()
        if daemon.process.returncode is None:
            daemon.process.send_signal(number)
        self.record.write('signal', daemon=daemon.name, signal=number.name)

    async def stop(self, daemon):
        """Stop a daemon as planned work: SIGTERM, then SIGKILL after graceS."""
        self.signal(daemon, signal.SIGTERM)
        try:
            await asyncio.wait_for(daemon.process.wait(), self.bounds['graceS'])
        except TimeoutError:
            await self.kill(daemon)
        self.record.write('stopped', daemon=daemon.name)

    async def kill(self, daemon):
        self.signal(daemon, signal.SIGKILL)
        await daemon.process.wait()

    async def start(self):
        """Start all daemons at once, as a first start of the system."""
        for daemon in self.daemons.values():
            await self.start_daemon(daemon, bootstrap=True)
        self._tasks.append(asyncio.ensure_future(self._probe_all()))
        self._tasks.append(asyncio.ensure_future(self._expire()))

    async def wait_ready(self, timeout_s=20):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if all(self.router_ready.get(d.host) for d in self.balancers()):
                return
            await asyncio.sleep(0.05)
        raise RuntimeError('balancers were not ready in time')

    async def client(self, number, zone=None, through=None):
        client = Client(self, self.host(200 + number), zone or self.zones[0], through)
        await client.start()
        self._clients.append(client)
        return client

    def route(self, zone, key):
        """Return the balancer of a packet, as the routers choose it."""
        local = [d for d in self.balancers() if d.zone == zone]
        ready = [d for d in local if self.router_ready.get(d.host)]
        if len(ready) * 2 < len(local):
            ready = local
        if not any(self.router_ready.get(d.host) for d in local):
            ready = [d for d in self.balancers() if self.router_ready.get(d.host)]
        if not ready:
            return None
        return max(ready, key=lambda d: _weight(d.host, key)).host

    def logs(self, daemon):
        path = self.tmp / f'{daemon.name}.log'
        return path.read_text(errors='replace') if path.exists() else ''

    async def close(self):
        for task in self._tasks:
            task.cancel()
        for daemon in self.daemons.values():
            process = daemon.process
            if process is not None and process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        for endpoint in self.endpoints.values():
            if endpoint.is_up:
                endpoint.crash()
        for client in self._clients:
            client.close()
        self.store.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.tmp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.tmp, ignore_errors=True)
        self.record.close()

    def _settings(self, daemon, bootstrap):
        is_balancer = daemon.role == 'balancer'
        host = daemon.host
        listen = {
            'packetAddr': f'{host}:{self.ports["packets"]}',
            'readiness': f'{host}:{self.ports["ready"]}',
        }
        if is_balancer:
            listen['controlPlane'] = f'{host}:{self.ports["control"]}'
        else:
            listen['outbound'] = f'{host}:{self.ports["outbound"]}'
        body = {
            'node': daemon.name,
            'role': daemon.role,
            'machineClass': 'edge' if is_balancer else 'side',
            'serves': ['edge', 'control_plane'] if is_balancer else ['side'],
            'ip': host,
            'zone': daemon.zone,
            'region': 'r',
            'zones': {zone: 'r' for zone in self.zones},
            'listenAddrs': listen,
            'internalPorts': self.peer_ports,
            'seeds': [
                f'{d.host}:{self.ports["control"]}' for d in self.balancers()[:3]
            ],
            'bootstrap': bootstrap,
            'inFaultBudget': False,
            'limits': {
                'cpuShare': 1.0,
                'cores': 1,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'announce',
            'heartbeatMs': int(HEARTBEAT_S * 1000),
            'contracts': [
                'base', 'drain', 'config', 'cost', 'recover', 'flows',
                'platform', *self.contracts,
            ],  # fmt: skip
            'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': self.bounds,
            'hash': 'steady',
            'deployMode': 'agent',
            'platform': {
                'address': daemon.settings['store'],
                'deployMode': 'read',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
                'ttlMinMs': 1000,
            },
            **self.extra_settings,
        }
        if not is_balancer:
            body['service'] = daemon.settings['service']
            body['app'] = f'{host}:{self.ports["app"]}'
        return body

    async def _probe_all(self):
        """Send the routers' readiness probes, twice a second."""
        while True:
            await asyncio.gather(*(self._probe(d) for d in self.balancers()))
            await asyncio.sleep(0.5)

    async def _probe(self, daemon):
        status = 0
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(
                    daemon.host, self.ports['ready']
                )
                writer.write(
                    b'GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n'
                )
                line = await reader.readline()
                writer.close()
                status = int(line.split()[1]) if line else 0
        except (OSError, ValueError, IndexError):
            status = 0
        misses = 0 if status == 200 else self._misses.get(daemon.host, 0) + 1
        self._misses[daemon.host] = misses
        if misses == 0:
            self.router_ready[daemon.host] = True
        elif misses >= 2:
            self.router_ready[daemon.host] = False

    async def _expire(self):
        """Remove entries after three heartbeat intervals of silence."""
        while True:
            await asyncio.sleep(0.1)
            for name, beaten_at in tuple(self.beats.items()):
                if time.monotonic() - beaten_at > 3 * HEARTBEAT_S:
                    self.beats.pop(name)
                    self.store.delete(f'servers/{name}')


class Traffic:
    """Requests at a constant rate, each in a flow of its own.

    ``results`` holds, for each request, when it was sent and whether it was
    served.
    """

    def __init__(self, fleet, client, route, per_s, prefix='q', **request):
        self.fleet = fleet
        self.client = client
        self.route = route
        self.per_s = per_s
        self.prefix = prefix
        self.request = request
        self.results = []
        self._tasks = set()
        self._task = None

    def start(self):
        self._task = asyncio.ensure_future(self._run())

    async def stop(self):
        """Send no more requests, and wait for the last answers."""
        self._task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def share_served(self, start, end):
        rows = [served for sent, served in self.results if start <= sent < end]
        return sum(rows) / len(rows) if rows else 0.0, len(rows)

    async def _run(self):
        number = 0
        next_at = time.monotonic()
        while True:
            number += 1
            task = asyncio.ensure_future(self._send(f'{self.prefix}{number}'))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            next_at += 1 / self.per_s
            await asyncio.sleep(max(0, next_at - time.monotonic()))

    async def _send(self, request_id):
        sent_at = time.monotonic()
        flow = self.client.new_flow(self.route)
        is_open = await flow.open()
        answer = None
        if is_open:
            answer = await flow.request(request_id, **self.request)
        flow.close()
        self.results.append((sent_at, answer is not None))
        self.fleet.record.write(
            'request', id=request_id, outcome=flow.outcome, answered=bool(answer)
        )


def _weight(host, key):
    return hashlib.sha256(f'{host}|{key}'.encode()).digest()


def route_row(name, address, service, **changes):
    host, port = address
    return {
        'name': name,
        'host': host,
        'prefix': f'/{port}/',
        'type': 'safe',
        'timeoutMs': 1500,
        'sloMs': 300,
        'priority': 2,
        'service': service,
        'attempts': 2,
        **changes,
    }


def config(version, routes, services, **changes):
    return {
        'version': version,
        'routes': routes,
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
        **changes,
    }


def run(case):
    """Run a case and exit: 0 if the rule held, 1 if not, 2 if it can't run.

    ``case(fleet_factory, has_trouble)`` is a coroutine function that returns
    the fleet whose violations count.
    """
    folder = Path(sys.argv[1])
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    if not (ROOT / 'target/deps/dragonflyshift').is_dir():
        print('the build of the deploy file is missing')
        sys.exit(2)
    try:
        status = asyncio.run(_run(case, folder, has_trouble))
    except Exception as exc:  # a case that can't run is reported as such
        print(f'the case could not run: {exc!r}')
        status = 2
    sys.exit(status)


async def _run(case, folder, has_trouble):
    fleets = []

    def create(**options):
        fleet = Fleet(folder, **options)
        fleets.append(fleet)
        return fleet

    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(115):
            await case(create, has_trouble)
    finally:
        for fleet in fleets:
            await fleet.close()
    broken = [pair for fleet in fleets for pair in fleet.violations]
    for rule, text in broken[:10]:
        print(f'{rule}: {text}')
    print(f'{len(broken)} violations')
    return 1 if broken else 0
