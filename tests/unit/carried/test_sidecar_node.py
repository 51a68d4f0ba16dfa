"""Tests which admission policy a sidecar uses, and what it knows at a start.

A policy whose module is imported only by name would be unknown to a sidecar
that is set to it, and its gauges would be missing from the metrics page.
"""

import time
import unittest

from dragonflyshift._internal.carried.node_settings import NodeSettings
from dragonflyshift._internal.carried.policies.fair_share import FairShare
from dragonflyshift._internal.carried.policies.target_first import TargetFirst
from dragonflyshift._internal.carried.sidecar.node import SidecarNode
from dragonflyshift._internal.exceptions import KernelError
from dragonflyshift._internal.utils.early_binding import BoundSockets
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import build_record


def _node(**plugins: str) -> SidecarNode:
    settings = NodeSettings(
        name='side-1',
        data_center='klang',
        regions={'klang': 'selangor'},
        peers=('127.0.0.1', 7720),
        readiness=('127.0.0.1', 8167),
        client_port=8172,
        service='lists',
        backend=('127.0.0.1', 8165),
        plugins={
            kind.replace('_', '-'): name for kind, name in plugins.items()
        },
    )
    return SidecarNode(settings, PlatformCodec(), None, BoundSockets())


class SidecarNodeTest(unittest.TestCase):
    def test_default_policy_queues_flows_until_clients_give_up(self) -> None:
        self.assertIs(type(_node().backend.policy), TargetFirst)

    def test_policy_is_chosen_by_name(self) -> None:
        node = _node(opening_policy='fair-share')
        self.assertIs(type(node.backend.policy), FairShare)
        page = node.counters.exposition().decode()
        self.assertIn('dragonflyshift_share_accounts 0.0', page)
        self.assertIn('dragonflyshift_share_level_per_s +Inf', page)

    def test_unknown_policy_is_an_error(self) -> None:
        with self.assertRaisesRegex(KernelError, 'first-come'):
            _node(opening_policy='first-come')

    def test_restarted_sidecar_does_not_trust_the_time_of_day(self) -> None:
        """It denied the open flows of a server whose clock had been ahead."""
        for ahead_ms in (-100, 0, 900, 2400):
            node = _node()
            started_ms = int(time.time() * 1000) + ahead_ms
            record = build_record(
                host='127.0.0.1', port=8165, started_ms=started_ms
            )
            node.view.merge(record)
            node.on_view_changed(0)
            with self.subTest(ahead_ms=ahead_ms):
                self.assertFalse(node.backend.knows_all)
