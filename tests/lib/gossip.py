"""Builders of statuses, and of gossip that sends nothing."""

__all__ = ('build_gossip', 'build_status')

import random
from typing import Any
from unittest import mock

from dragonflyshift._internal.carried.fleet.gossip import (
    Gossip,
    GossipCallbacks,
)
from dragonflyshift._internal.carried.fleet.peers import PeerTable
from dragonflyshift._internal.carried.fleet.puller import ViewPuller
from dragonflyshift._internal.carried.fleet.status_recipients import (
    StatusRecipients,
)
from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.messages import DaemonStatus
from tests.lib.carried import DATA_CENTER, PEER_PORT


def build_status(**changes: Any) -> DaemonStatus:
    """Return the status of a balancer whose view was confirmed right now."""
    attributes: dict[str, Any] = {
        'is_balancer': True,
        'is_reader': False,
        'data_center': DATA_CENTER,
        'revision': 1,
        'version': 1,
        'digest': 0,
        'age_ms': 0,
        'is_leaving': False,
        'wants_reply': False,
        **changes,
    }
    return DaemonStatus(**attributes)


def build_gossip(view: FleetView) -> Gossip:
    """Return the gossip of a balancer without peers, which pulls nothing."""
    peer_table = PeerTable(('10.0.0.1', PEER_PORT), (), random.Random(1))
    recipients = StatusRecipients(True, DATA_CENTER, peer_table, dict)
    callbacks = GossipCallbacks(
        mock.Mock(), mock.Mock(), mock.Mock(return_value=None), bool
    )
    gossip = Gossip(view, peer_table, recipients, callbacks)
    gossip.puller = mock.create_autospec(ViewPuller, instance=True)
    return gossip
