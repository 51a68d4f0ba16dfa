"""All messages on the streams between daemons.

Example:
    >>> decode_message(encode_message(BodyChunk(b'abc', end=True)))
    BodyChunk(data=b'abc', end=True)
"""

__all__ = (
    'BodyChunk',
    'ClaimGranted',
    'ClaimRefused',
    'ClaimRequest',
    'DocumentReply',
    'DocumentRequest',
    'ExchangeFailed',
    'FailureKind',
    'KeepAlive',
    'Message',
    'OutcomeTransfer',
    'OutcomeTransferred',
    'RequestHead',
    'ResponseHead',
    'RouteReply',
    'RouteRequest',
    'StatusReply',
    'StatusRequest',
    'decode_message',
    'encode_message',
)

from dragonflyshift._internal.wire.exchange_messages import (
    BodyChunk,
    ClaimGranted,
    ClaimRefused,
    ClaimRequest,
    ExchangeFailed,
    FailureKind,
    KeepAlive,
    RequestHead,
    ResponseHead,
)
from dragonflyshift._internal.wire.fleet_messages import (
    DocumentReply,
    DocumentRequest,
    OutcomeTransfer,
    OutcomeTransferred,
    RouteReply,
    RouteRequest,
    StatusReply,
    StatusRequest,
)
from dragonflyshift._internal.wire.message_base import (
    Message,
    decode_message,
    encode_message,
)
