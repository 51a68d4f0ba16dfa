"""Messages with which one sidecar runs a request at another.

Fields that end in ``_ms`` are whole milliseconds.
"""

__all__ = (
    'BodyChunk',
    'ClaimGranted',
    'ClaimRefused',
    'ClaimRequest',
    'ExchangeFailed',
    'FailureKind',
    'KeepAlive',
    'RequestHead',
    'ResponseHead',
)

import enum

from attrs import field, frozen

from dragonflyshift._internal.models import Address
from dragonflyshift._internal.wire.bounds import (
    MAX_VALUE_BYTES,
    Headers,
    MaxBytes,
    Unsigned,
    validate_headers,
)
from dragonflyshift._internal.wire.message_base import Message

MAX_TARGET_BYTES = 16 * 1024
MAX_TOKEN_BYTES = 256
MAX_REASON_CHARACTERS = 1024
_MAX_STATUS = 999


class FailureKind(enum.StrEnum):
    """Whether a request that failed at a peer may have been run there."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@frozen(slots=False)
class ClaimRequest(Message, code=1):
    """Request a slot at the incarnation ``boot`` of a peer.

    If no slot is free, one is offered to ``requester`` later.
    """

    tag: int = field(validator=Unsigned())
    boot: int = field(validator=Unsigned())
    timeout_ms: int = field(validator=Unsigned())
    streaming: bool
    requester: Address


@frozen(slots=False)
class ClaimGranted(Message, code=2):
    """A slot is reserved for the peer until the lease expires."""

    claim_id: int = field(validator=Unsigned())
    lease_ms: int = field(validator=Unsigned())
    free_slots: int = field(validator=Unsigned())
    queued: int = field(validator=Unsigned())


@frozen(slots=False)
class ClaimRefused(Message, code=3):
    """No slot was granted, and no request was run."""

    reason: str = field(validator=MaxBytes(MAX_REASON_CHARACTERS))
    retry_after_ms: int = field(validator=Unsigned())
    free_slots: int = field(validator=Unsigned())
    queued: int = field(validator=Unsigned())


@frozen(slots=False)
class RequestHead(Message, code=4):
    """The head of a request that uses a claim.

    ``claim_id`` is 0 for a request that is sent to its key owner. ``key`` is
    an encoded idempotency key, or empty. ``client`` identifies the flow for
    fair sharing of the queue. ``trace`` is the context of the caller's span.
    """

    claim_id: int = field(validator=Unsigned())
    tag: int = field(validator=Unsigned())
    method: bytes = field(validator=MaxBytes(MAX_TOKEN_BYTES))
    target: bytes = field(validator=MaxBytes(MAX_TARGET_BYTES))
    headers: Headers = field(validator=validate_headers)
    idempotent: bool
    key: bytes = field(validator=MaxBytes(MAX_TOKEN_BYTES))
    client: bytes = field(validator=MaxBytes(MAX_TOKEN_BYTES))
    trace: bytes = field(validator=MaxBytes(MAX_TOKEN_BYTES))
    timeout_ms: int = field(validator=Unsigned())


@frozen(slots=False)
class BodyChunk(Message, code=5):
    """A chunk of the body of a request or response."""

    data: bytes = field(validator=MaxBytes(MAX_VALUE_BYTES))
    end: bool


@frozen(slots=False)
class ResponseHead(Message, code=6):
    """The head of a response; its body follows."""

    status: int = field(validator=Unsigned(_MAX_STATUS))
    headers: Headers = field(validator=validate_headers)


@frozen(slots=False)
class ExchangeFailed(Message, code=7):
    """The request failed at the peer."""

    kind: FailureKind
    reason: str = field(validator=MaxBytes(MAX_REASON_CHARACTERS))
    retry_after_ms: int = field(validator=Unsigned())


@frozen(slots=False)
class KeepAlive(Message, code=8):
    """The sender is still processing the exchange."""
