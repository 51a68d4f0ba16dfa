"""Messages by which one sidecar runs a request at another.

Times are whole milliseconds.
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
    bounded_headers,
)
from dragonflyshift._internal.wire.message_base import Message

MAX_TARGET_BYTES = 16 * 1024
MAX_TOKEN_BYTES = 256
MAX_REASON_CHARACTERS = 1024
_MAX_STATUS = 999


class FailureKind(enum.StrEnum):
    """Whether a request that failed at a peer may have run there."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@frozen(slots=False)
class ClaimRequest(Message, code=1):
    """Ask the life ``boot`` of a peer for a slot.

    If none is free, one is offered to ``asker`` later.
    """

    tag: int = field(validator=Unsigned())
    boot: int = field(validator=Unsigned())
    timeout_ms: int = field(validator=Unsigned())
    streaming: bool
    asker: Address


@frozen(slots=False)
class ClaimGranted(Message, code=2):
    """A slot is held for the peer until the lease ends."""

    claim_id: int = field(validator=Unsigned())
    lease_ms: int = field(validator=Unsigned())
    free_slots: int = field(validator=Unsigned())
    queued: int = field(validator=Unsigned())


@frozen(slots=False)
class ClaimRefused(Message, code=3):
    """No slot; nothing has run."""

    reason: str = field(validator=MaxBytes(MAX_REASON_CHARACTERS))
    retry_after_ms: int = field(validator=Unsigned())
    free_slots: int = field(validator=Unsigned())
    queued: int = field(validator=Unsigned())


@frozen(slots=False)
class RequestHead(Message, code=4):
    """A request under a claim, or to the home of its key (claim 0).

    ``key`` is an encoded idempotency key or empty, ``client`` names the flow
    for the queue's shares, ``trace`` is the context of the caller's span.
    """

    claim_id: int = field(validator=Unsigned())
    tag: int = field(validator=Unsigned())
    method: bytes = field(validator=MaxBytes(MAX_TOKEN_BYTES))
    target: bytes = field(validator=MaxBytes(MAX_TARGET_BYTES))
    headers: Headers = field(validator=bounded_headers)
    idempotent: bool
    key: bytes = field(validator=MaxBytes(MAX_TOKEN_BYTES))
    client: bytes = field(validator=MaxBytes(MAX_TOKEN_BYTES))
    trace: bytes = field(validator=MaxBytes(MAX_TOKEN_BYTES))
    timeout_ms: int = field(validator=Unsigned())


@frozen(slots=False)
class BodyChunk(Message, code=5):
    """A piece of a body, of the request or of the answer."""

    data: bytes = field(validator=MaxBytes(MAX_VALUE_BYTES))
    end: bool


@frozen(slots=False)
class ResponseHead(Message, code=6):
    """The head of an answer; its body follows."""

    status: int = field(validator=Unsigned(_MAX_STATUS))
    headers: Headers = field(validator=bounded_headers)


@frozen(slots=False)
class ExchangeFailed(Message, code=7):
    """The request failed at the peer."""

    kind: FailureKind
    reason: str = field(validator=MaxBytes(MAX_REASON_CHARACTERS))
    retry_after_ms: int = field(validator=Unsigned())


@frozen(slots=False)
class KeepAlive(Message, code=8):
    """The sender still works on the exchange."""
