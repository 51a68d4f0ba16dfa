"""A stand-in for an endpoint: flows over UDP, the health probe over TCP."""

import asyncio
import hashlib
import random
import socket
import time

from packets import ACK, BOUNCED, FIN, MASK, RST, SYN, Packet

HEARTBEAT_S = 0.77
_SIGN_KEY = 'key of the endpoints'


def sign(request_id):
    """Return the signature of an answer, which only endpoints can make."""
    return hashlib.sha256(f'{_SIGN_KEY}:{request_id}'.encode()).hexdigest()[:16]


class Flow:
    """A flow at the endpoint; it opens once its ``seq`` is acknowledged."""

    def __init__(self, seq):
        self.seq = seq
        self.is_open = False
        self.next_in = None
        self.next_out = (seq + 1) & MASK
        self.answers = {}
        self.closed = False


class Endpoint:
    """One lifetime after the other of an endpoint beside a daemon.

    ``clock_ahead_s`` is how far the machine's time of day is ahead of true
    time when the endpoint starts.
    """

    def __init__(self, store, record, name, service, zone, host, ports):
        self.store, self.record = store, record
        self.name, self.service, self.zone = name, service, zone
        self.address = (host, ports['app'])
        self.outbound = (host, ports['outbound'])
        self.flows = {}
        self.ran = []
        self.forged = []
        self.is_up = False
        self.clock_ahead_s = 0.0
        self.state = 'ready'
        self._tasks = []

    async def start(self):
        self.flows = {}
        self.state = 'ready'
        self.sequence = 0
        self.born = int((time.time() + self.clock_ahead_s) * 1000)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(self.address)
        asyncio.get_running_loop().add_reader(self.sock, self._read)
        self.tcp = await asyncio.start_server(self._health, *self.address)
        self.is_up = True
        self.record('endpoint', f'{self.name} starts, born {self.born}')
        self.write_entry()
        self._tasks = [asyncio.create_task(self._heartbeats())]

    def end(self, *, leaves_entry):
        """End: a crash leaves the entry, which the store drops later."""
        if not self.is_up:
            return
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.close()
        self.tcp.close()
        self.flows = {}
        self.record('endpoint', f'{self.name} ends')
        if not leaves_entry:
            self.store.delete(f'servers/{self.name}')

    def write_entry(self):
        self.sequence += 1
        host, port = self.address
        body = {
            'service': self.service,
            'address': f'{host}:{port}',
            'zone': self.zone,
            'version': 'v1',
            'maxConcurrency': 8,
            'state': self.state,
            'warmupLeftMs': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        return self.store.put(f'servers/{self.name}', body)

    def open_flows(self):
        return {key for key, flow in self.flows.items() if flow.is_open}

    async def _heartbeats(self):
        # A heartbeat changes nothing but the sequence, which is no change.
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.sequence += 1

    async def _health(self, reader, writer):
        try:
            await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 2)
            status = 200 if self.state == 'ready' else 503
            writer.write(
                f'HTTP/1.1 {status} Status\r\nContent-Length: 0\r\n'
                'Connection: close\r\n\r\n'.encode()
            )
        except (OSError, EOFError, TimeoutError):
            pass
        writer.close()

    def _read(self):
        while self.is_up:
            try:
                raw, _sender = self.sock.recvfrom(65535)
            except OSError:
                return
            self._on_packet(raw, Packet.decode(raw))

    def _on_packet(self, raw, packet):
        key = (packet.src, packet.dst)
        if not packet.is_genuine:
            self.forged.append(key)
            self.record('endpoint', f'{self.name} got a forged packet {key}')
            return
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = Flow(random.getrandbits(32))
            if not flow.is_open:
                self._send(packet, SYN | ACK, flow.seq, packet.seq + 1)
            return
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        if flow is None or not self._opens(flow, packet):
            self.record(
                'endpoint',
                f'{self.name} bounces a packet of {packet.src} to '
                f'{packet.dst}, echo {packet.echo}',
            )
            bounced = bytearray(raw)
            bounced[8] |= BOUNCED
            self._transmit(bytes(bounced))
            return
        if packet.data:
            self._on_request(flow, packet)
        elif packet.flags & FIN:
            flow.closed = True
            self._send(packet, FIN | ACK, flow.next_out, packet.seq + 1)

    def _opens(self, flow, packet):
        if flow.is_open:
            return True
        if packet.ack != (flow.seq + 1) & MASK:
            return False
        flow.is_open = True
        flow.next_in = packet.seq
        self.record(
            'endpoint',
            f'{self.name} has the end of the handshake of {packet.src} '
            f'to {packet.dst}',
        )
        return True

    def _on_request(self, flow, packet):
        known = flow.answers.get(packet.seq)
        if known is None:
            if packet.seq != flow.next_in:
                return
            flow.next_in = (packet.seq + len(packet.data)) & MASK
            request_id = packet.data.split(b'Request-Id: ')[1].split(b'\r')[0]
            request_id = request_id.decode()
            self.ran.append((request_id, time.monotonic()))
            self.record('endpoint', f'{self.name} runs {request_id}')
            body = f'done by {self.name}'
            answer = (
                f'HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n'
                f'Server-Signature: {sign(request_id)}\r\n'
                f'Content-Length: {len(body)}\r\n\r\n{body}'
            ).encode()
            known = flow.answers[packet.seq] = (flow.next_out, answer)
            flow.next_out = (flow.next_out + len(answer)) & MASK
        seq, answer = known
        self._send(packet, ACK, seq, packet.seq + len(packet.data), answer)

    def _send(self, packet, flags, seq, ack, data=b''):
        reply = Packet(packet.dst, packet.src, flags, seq, ack, data)
        self._transmit(reply.encode())

    def _transmit(self, raw):
        try:
            self.sock.sendto(raw, self.outbound)
        except OSError:
            pass
