"""Choice of the endpoint for a new flow or a request."""

from dragonflyshift._internal.routing.base import (
    Candidate,
    CandidateChoice,
    FlowDecision,
    LoadSnapshot,
    PeerChoice,
    Place,
)

__all__ = (
    'Candidate',
    'CandidateChoice',
    'FlowDecision',
    'LoadSnapshot',
    'PeerChoice',
    'Place',
)
