"""Who belongs to a service, and what the members believe of each other."""

from dragonflyshift._internal.membership.digest import (
    HASH_BYTES,
    decode_digest,
    digest_hash,
    encode_digest,
)
from dragonflyshift._internal.membership.exchange import view_hash
from dragonflyshift._internal.membership.health import EndpointHealth
from dragonflyshift._internal.membership.probing import Prober, ProbeTimes
from dragonflyshift._internal.membership.table import MemberTable

__all__ = (
    'HASH_BYTES',
    'EndpointHealth',
    'MemberTable',
    'ProbeTimes',
    'Prober',
    'decode_digest',
    'digest_hash',
    'encode_digest',
    'view_hash',
)
