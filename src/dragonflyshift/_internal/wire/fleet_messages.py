"""Messages that transfer outcomes and documents or query a daemon."""

__all__ = (
    'DocumentReply',
    'DocumentRequest',
    'OutcomeTransfer',
    'OutcomeTransferred',
    'RouteReply',
    'RouteRequest',
    'StatusReply',
    'StatusRequest',
)

from attrs import field, frozen

from dragonflyshift._internal.models import Address, StoredEntry
from dragonflyshift._internal.wire.bounds import (
    MAX_VALUE_BYTES,
    MaxBytes,
    Unsigned,
)
from dragonflyshift._internal.wire.message_base import Message

MAX_TOKEN_BYTES = 256
MAX_KEY_CHARACTERS = 1024
MAX_PACKET_BYTES = 65536


@frozen(slots=False)
class OutcomeTransfer(Message, code=9):
    """One part of the outcomes that a stopping key owner hands over.

    ``part`` counts from 0 within one ``transfer`` (a random number), and
    ``complete`` marks the last part. Keys with a nonce below ``floor`` that
    no part contains are fenced, as their requests may have been run.
    """

    owner: Address
    boot: int = field(validator=Unsigned())
    entries: tuple[StoredEntry, ...]
    complete: bool
    floor: int = field(validator=Unsigned())
    transfer: int = field(validator=Unsigned())
    part: int = field(validator=Unsigned())


@frozen(slots=False)
class OutcomeTransferred(Message, code=10):
    """The peer has adopted the transferred outcomes."""


@frozen(slots=False)
class DocumentRequest(Message, code=11):
    """Request a document if there is one newer than ``known_version``."""

    key: str = field(validator=MaxBytes(MAX_KEY_CHARACTERS))
    known_version: int = field(validator=Unsigned())


@frozen(slots=False)
class DocumentReply(Message, code=12):
    """A document as published; ``raw`` is empty if none is newer."""

    key: str = field(validator=MaxBytes(MAX_KEY_CHARACTERS))
    version: int = field(validator=Unsigned())
    raw: bytes = field(validator=MaxBytes(MAX_VALUE_BYTES))


@frozen(slots=False)
class StatusRequest(Message, code=13):
    """Request the daemon's status report."""


@frozen(slots=False)
class StatusReply(Message, code=14):
    """The daemon's status report as JSON."""

    report: bytes = field(validator=MaxBytes(MAX_VALUE_BYTES))


@frozen(slots=False)
class RouteRequest(Message, code=15):
    """Ask where a packet, or a new flow with this id, would be sent."""

    service_address: str = field(validator=MaxBytes(MAX_TOKEN_BYTES))
    packet: bytes = field(validator=MaxBytes(MAX_PACKET_BYTES))
    flow_id: bytes = field(validator=MaxBytes(MAX_TOKEN_BYTES))


@frozen(slots=False)
class RouteReply(Message, code=16):
    """The steering decision and its reasons as JSON."""

    report: bytes = field(validator=MaxBytes(MAX_VALUE_BYTES))
