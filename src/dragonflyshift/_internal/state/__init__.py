"""In-memory state with a limited lifetime: outcomes, claims, placements."""

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
from dragonflyshift._internal.state.placements import PlacementCache
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
    'PlacementCache',
    'Running',
    'Stored',
    'TransferPart',
    'transfer_parts',
    'without_body',
)
