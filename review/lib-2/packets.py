"""Packets of the platform, as its page on the protocol lays them out."""

import socket
import struct
import zlib

HEAD = struct.Struct('!IIBI4sH4sHIH')
SYN, ACK, FIN, RST, BOUNCED = 32, 16, 4, 8, 64
MASK = 0xFFFFFFFF
RESET_WINDOW = 76_800
_SUM_KEY = b'key of the clients and the endpoints'


class Packet:
    """One packet; ``src`` and ``dst`` are (host, port) of the two ends."""

    def __init__(self, src, dst, flags, seq=0, ack=0, data=b'', echo=0):
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack = seq & MASK, ack & MASK
        self.data, self.echo = data, echo
        self.sum = self._sum()
        self.is_genuine = True

    def _sum(self):
        text = repr(
            (self.src, self.dst, self.flags & ~BOUNCED, self.seq, self.ack)
        )
        return zlib.crc32(_SUM_KEY + text.encode() + self.data)

    def encode(self):
        return HEAD.pack(
            self.seq,
            self.ack,
            self.flags,
            self.echo,
            socket.inet_aton(self.src[0]),
            self.dst[1],
            socket.inet_aton(self.dst[0]),
            self.src[1],
            self.sum,
            len(self.data),
        ) + self.data

    @classmethod
    def decode(cls, raw):
        head = HEAD.unpack_from(raw)
        seq, ack, flags, echo, src, dport, dst, sport, total, length = head
        data = raw[HEAD.size :]
        if length != len(data):
            raise ValueError('length of the data')
        packet = cls(
            (socket.inet_ntoa(src), sport),
            (socket.inet_ntoa(dst), dport),
            flags,
            seq,
            ack,
            data,
            echo,
        )
        packet.is_genuine = packet.sum == total
        packet.sum = total
        return packet

    def is_reset_of_the_system(self):
        return self.flags == RST and not self.data and not self.sum
