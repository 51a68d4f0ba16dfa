"""Tests when a balancer reports to the fabric that it is ready.

A balancer that is ready without a configuration or without contact to other
daemons receives flows that it can't forward.
"""

import time
import unittest
from typing import Any

from dragonflyshift._internal.carried.balancer.node import (
    ISOLATION_S,
    BalancerNode,
)
from dragonflyshift._internal.carried.node_settings import NodeSettings
from dragonflyshift._internal.utils.early_binding import BoundSockets
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import build_routes


def _node(**changes: Any) -> BalancerNode:
    attributes: dict[str, Any] = {
        'name': 'edge-1',
        'data_center': 'klang',
        'regions': {'klang': 'selangor'},
        'peers': ('127.0.0.1', 7720),
        'readiness': ('127.0.0.1', 8167),
        'client_port': 8172,
        **changes,
    }
    settings = NodeSettings(**attributes)
    return BalancerNode(settings, PlatformCodec(), None, BoundSockets())


class BalancerNodeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.node = _node()
        self.node.view.routes = build_routes(3)

    def test_ready_only_with_a_configuration(self) -> None:
        self.assertFalse(_node().is_ready())
        self.assertTrue(self.node.is_ready())

    def test_not_ready_while_leaving(self) -> None:
        self.node.is_leaving = True
        self.assertFalse(self.node.is_ready())

    def test_not_ready_while_isolated_from_all_daemons(self) -> None:
        """The fabric must not send flows to an isolated balancer.

        In a data centre with one balancer all clients would wait for it.
        """
        self.node.last_datagram_at = time.monotonic() - ISOLATION_S - 1
        self.assertFalse(self.node.is_ready())
        self.node.last_datagram_at = time.monotonic()
        self.assertTrue(self.node.is_ready())

    def test_stopping_node_ends_once_the_fabric_sends_nothing(self) -> None:
        """A longer wait keeps more balancers out of rotation at a time."""
        now = time.monotonic()
        self.assertFalse(self.node.is_unused(now + 60))
        self.node.leave()
        self.assertFalse(self.node.is_ready())
        self.assertFalse(self.node.is_unused(now + 60))
        self.assertFalse(self.node.is_ready())
        self.assertFalse(self.node.is_unused(now))
        self.assertTrue(self.node.is_unused(now + 60))
