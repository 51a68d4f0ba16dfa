"""Tests that the ports of a test are free on all addresses and for UDP.

A port was probed by TCP on one address. A UDP socket of another test module
that had the same port on all addresses made the later bind fail.
"""

import socket
import unittest
from pathlib import Path
from unittest.mock import patch

from tests.lib import ports

_EPHEMERAL_RANGE = Path('/proc/sys/net/ipv4/ip_local_port_range')


class FindFreePortTest(unittest.TestCase):
    def test_port_that_a_socket_uses_is_skipped(self) -> None:
        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
            for host in ('', '127.0.31.2'):
                with self.subTest(kind=kind, host=host):
                    self._check_skipped(kind, host)

    def test_port_is_none_that_the_kernel_gives_out(self) -> None:
        lowest = int(_EPHEMERAL_RANGE.read_text().split()[0])
        for _ in range(20):
            self.assertLess(ports.find_free_port(), lowest)

    def _check_skipped(self, kind: socket.SocketKind, host: str) -> None:
        used, free = ports.find_free_port(), ports.find_free_port()
        with socket.socket(socket.AF_INET, kind) as sock:
            sock.bind((host, used))
            with patch.object(ports.random, 'randint') as randint:
                randint.side_effect = [used, free]
                self.assertEqual(ports.find_free_port(), free)
