"""Outcomes, claims and other short-lived state."""

from dragonflyshift._internal.state.adopted import (
    NeverRan,
    Stored,
    TransferPart,
)
from dragonflyshift._internal.state.claims import Claim, ClaimTable
from dragonflyshift._internal.state.idempotency import (
    KeyIssuer,
    KeyRetiredError,
)
from dragonflyshift._internal.state.outcomes import (
    Begun,
    Fenced,
    OutcomeTable,
    OutcomeTableFullError,
    Running,
    without_body,
)
from dragonflyshift._internal.state.placements import PlacementMemory
from dragonflyshift._internal.state.transfer import transfer_parts

__all__ = (
    'Begun',
    'Claim',
    'ClaimTable',
    'Fenced',
    'KeyIssuer',
    'KeyRetiredError',
    'NeverRan',
    'OutcomeTable',
    'OutcomeTableFullError',
    'PlacementMemory',
    'Running',
    'Stored',
    'TransferPart',
    'transfer_parts',
    'without_body',
)
