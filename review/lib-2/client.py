"""A stand-in for the platform's clients."""

import asyncio
import random
import socket
import time

from endpoint import sign
from packets import ACK, MASK, RESET_WINDOW, RST, SYN, Packet

SYN_COPIES_S = (0.2, 0.4, 0.8)
FIRST_RETRANSMISSION_S = 0.2
MAX_RETRANSMISSION_S = 1.6


class ClientFlow:
    """The client's side of one flow."""

    def __init__(self, src, dst):
        self.src, self.dst = src, dst
        self.inbox = asyncio.Queue()
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.is_open = False
        self.reset = False


class Clients:
    """Clients of one zone, whose packets the platform's routers forward."""

    def __init__(self, record, route, host, port):
        self.record, self.route = record, route
        self.host = host
        self.flows = {}
        self.next_port = 40_000
        self.requests = 0
        self.sent = {}
        self.foreign = []
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind((host, port))
        asyncio.get_running_loop().add_reader(self.sock, self._read)

    def close(self):
        asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.close()

    async def open(self, dst):
        """Open a flow; return None if the attempt ended."""
        self.next_port += 1
        flow = ClientFlow((self.host, self.next_port), dst)
        flow.sent_at = time.monotonic()
        self.flows[flow.src, dst] = flow
        for copy, wait_s in enumerate(SYN_COPIES_S):
            self._send(flow, Packet(flow.src, dst, SYN, flow.seq, copy))
            packet = await self._receive(flow, wait_s)
            if packet is None:
                continue
            if packet.flags & RST:
                self.record('client', f'{flow.src[1]} attempt ends by a reset')
                return None
            flow.seq = (flow.seq + 1) & MASK
            flow.ack = (packet.seq + 1) & MASK
            flow.is_open = True
            self._send(flow, Packet(flow.src, dst, ACK, flow.seq, flow.ack))
            self.record('client', f'{flow.src[1]} to {dst} is open')
            return flow
        self.record('client', f'{flow.src[1]} to {dst} did not open')
        return None

    async def request(self, flow, budget_s=6.0):
        """Send a request; return 'answered', 'reset' or 'silent'."""
        self.requests += 1
        request_id = f'r{self.requests}-{flow.src[1]}'
        data = (
            f'POST /edit HTTP/1.1\r\nRequest-Id: {request_id}\r\n'
            'Content-Length: 0\r\n\r\n'
        ).encode()
        loop = asyncio.get_running_loop()
        self.sent[request_id] = loop.time()
        self.record('client', f'{flow.src[1]} sends {request_id}')
        packet = Packet(flow.src, flow.dst, ACK, flow.seq, flow.ack, data)
        ends_at = loop.time() + budget_s
        wait_s = FIRST_RETRANSMISSION_S
        result = 'silent'
        while loop.time() < ends_at and result == 'silent':
            self._send(flow, packet)
            resend_at = loop.time() + wait_s
            wait_s = min(MAX_RETRANSMISSION_S, wait_s * 2)
            while result == 'silent' and loop.time() < resend_at:
                reply = await self._receive(flow, resend_at - loop.time())
                if reply is None:
                    break
                if reply.flags & RST:
                    flow.reset = True
                    result = 'reset'
                elif self._is_answer(flow, reply, request_id):
                    result = 'answered'
        flow.seq = (flow.seq + len(data)) & MASK
        self.record('client', f'{flow.src[1]} {request_id} {result}')
        return result

    def _is_answer(self, flow, reply, request_id):
        text = reply.data.decode()
        if f'Request-Id: {request_id}\r\n' not in text:
            return False
        if f'Server-Signature: {sign(request_id)}\r\n' not in text:
            self.foreign.append(request_id)
        flow.ack = (reply.seq + len(reply.data)) & MASK
        self._send(
            flow,
            Packet(flow.src, flow.dst, ACK, reply.ack, flow.ack),
        )
        return True

    async def _receive(self, flow, seconds):
        try:
            return await asyncio.wait_for(flow.inbox.get(), seconds)
        except TimeoutError:
            return None

    def _read(self):
        while True:
            try:
                raw, _sender = self.sock.recvfrom(65535)
            except OSError:
                return
            packet = Packet.decode(raw)
            flow = self.flows.get((packet.dst, packet.src))
            if flow is None:
                continue
            if packet.is_reset_of_the_system():
                ahead = (packet.seq - flow.ack) & MASK
                behind = (flow.ack - packet.seq) & MASK
                if flow.is_open and min(ahead, behind) > RESET_WINDOW:
                    # Not a reset of this open flow; nothing is lost by it.
                    continue
                self.record(
                    'client', f'{flow.src[1]} gets a reset of the system'
                )
            elif not packet.is_genuine:
                self.foreign.append(flow.src)
                continue
            flow.inbox.put_nowait(packet)

    def _send(self, flow, packet):
        address = self.route(flow.src, flow.dst)
        if address is not None:
            try:
                self.sock.sendto(packet.encode(), address)
            except OSError:
                pass
