"""Group membership and failure detection among the members of a service."""

from dragonflyshift._internal.membership.digest import (
    HASH_BYTES,
    decode_digest,
    encode_digest,
    hash_records,
)
from dragonflyshift._internal.membership.exchange import reported_view_hash
from dragonflyshift._internal.membership.health import EndpointHealth
from dragonflyshift._internal.membership.peers import live_peers
from dragonflyshift._internal.membership.probing import ProbeParameters, Prober
from dragonflyshift._internal.membership.table import MemberTable

__all__ = (
    'HASH_BYTES',
    'EndpointHealth',
    'MemberTable',
    'ProbeParameters',
    'Prober',
    'decode_digest',
    'hash_records',
    'encode_digest',
    'live_peers',
    'reported_view_hash',
)
