"""Counters, gauges and timings, in memory and sent to statsd.

Guards against metrics with wrong names or values, and against a daemon that
fails because its statsd server is unavailable.
"""

import socket
import unittest

from dragonflyshift._internal.kernel.registry import find_plugin
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.telemetry import Metrics


class MetricsTest(unittest.TestCase):
    def test_statsd_sends_metrics_and_keeps_counters(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(('127.0.0.1', 0))
            server.settimeout(5)
            metrics = find_plugin(Metrics, 'statsd')(
                'balancer',
                Address(*server.getsockname()),
            )
            self.addCleanup(metrics.close)
            metrics.incr('forwarded')
            metrics.incr('forwarded')
            metrics.flush()
            metrics.gauge('members', 7)
            metrics.timing('answer', 0.25)
            received = [server.recv(512) for _datagram in range(3)]
        self.assertEqual(
            received,
            [
                b'dragonflyshift.balancer.forwarded:2|c',
                b'dragonflyshift.balancer.members:7|g',
                b'dragonflyshift.balancer.answer:250.000000|ms',
            ],
        )
        self.assertEqual(
            dict(metrics.snapshot()),
            {
                'dragonflyshift.balancer.forwarded': 2,
                'dragonflyshift.balancer.members': 7,
            },
        )

    def test_unavailable_server_and_closed_socket_raise_nothing(self):
        metrics = find_plugin(Metrics, 'statsd')(
            'balancer', Address('127.0.0.1', 9)
        )
        for _ in range(3):
            metrics.incr('forwarded')
            metrics.flush()
        metrics.close()
        metrics.incr('forwarded')
        metrics.flush()
        self.assertEqual(sum(metrics.snapshot().values()), 4)

    def test_counters_are_kept_in_memory_without_a_server(self):
        metrics = find_plugin(Metrics, 'none')('sidecar')
        metrics.incr('refused')
        self.assertEqual(
            dict(metrics.snapshot()),
            {'dragonflyshift.sidecar.refused': 1},
        )
