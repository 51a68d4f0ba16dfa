"""Policies that choose the endpoint of a new flow or a request."""

from dragonflyshift._internal.routing.base import (
    Candidate,
    CandidateChoice,
    FlowDecision,
    LoadSnapshot,
    PeerChoice,
    RoutingScope,
)
from dragonflyshift._internal.routing.flow_decision import LeastLoaded
from dragonflyshift._internal.routing.offers import OfferQueue
from dragonflyshift._internal.routing.peer_choice import PowerOfTwo
from dragonflyshift._internal.routing.rendezvous import Rendezvous

__all__ = (
    'Candidate',
    'CandidateChoice',
    'FlowDecision',
    'LeastLoaded',
    'LoadSnapshot',
    'OfferQueue',
    'PeerChoice',
    'RoutingScope',
    'PowerOfTwo',
    'Rendezvous',
)
