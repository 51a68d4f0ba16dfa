"""Choice of the endpoint for a new flow or a request."""

from dragonflyshift._internal.routing.base import (
    Candidate,
    CandidateChoice,
    FlowDecision,
    LoadSnapshot,
    PeerChoice,
    Place,
)
from dragonflyshift._internal.routing.flow_decision import LeastLoaded
from dragonflyshift._internal.routing.offers import OfferBook
from dragonflyshift._internal.routing.peer_choice import PowerOfTwo
from dragonflyshift._internal.routing.rendezvous import Rendezvous

__all__ = (
    'Candidate',
    'CandidateChoice',
    'FlowDecision',
    'LeastLoaded',
    'LoadSnapshot',
    'OfferBook',
    'PeerChoice',
    'Place',
    'PowerOfTwo',
    'Rendezvous',
)
