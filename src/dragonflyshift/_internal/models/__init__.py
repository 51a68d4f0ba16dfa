"""Data classes that all packages use."""

from dragonflyshift._internal.models.address import Address
from dragonflyshift._internal.models.documents import (
    IndexDocument,
    IndexEntry,
    ServiceDocument,
)
from dragonflyshift._internal.models.endpoint import Endpoint, EndpointState
from dragonflyshift._internal.models.member import (
    Incarnation,
    MemberRecord,
    MemberState,
)
from dragonflyshift._internal.models.outcome import (
    IdempotencyKey,
    Outcome,
    OutcomeKind,
    StoredEntry,
)
from dragonflyshift._internal.models.rules import Locality, ServiceRules

__all__ = (
    'Address',
    'Endpoint',
    'EndpointState',
    'IdempotencyKey',
    'Incarnation',
    'IndexDocument',
    'IndexEntry',
    'Locality',
    'MemberRecord',
    'MemberState',
    'Outcome',
    'OutcomeKind',
    'ServiceDocument',
    'ServiceRules',
    'StoredEntry',
)
