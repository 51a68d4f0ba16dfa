"""Messages that hand outcomes and documents over and explain a daemon."""

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
    """Outcomes of a home that stops; one of several parts.

    ``part`` counts from 0 within one ``transfer`` (a random number), and
    ``complete`` marks the last. Keys with a nonce below ``floor`` that no
    part names are fenced: they may have run.
    """

    home: Address
    boot: int = field(validator=Unsigned())
    entries: tuple[StoredEntry, ...]
    complete: bool
    floor: int = field(validator=Unsigned())
    transfer: int = field(validator=Unsigned())
    part: int = field(validator=Unsigned())


@frozen(slots=False)
class OutcomeTransferred(Message, code=10):
    """The peer has adopted the outcomes."""


@frozen(slots=False)
class DocumentRequest(Message, code=11):
    """Ask for a document if its version is higher than ``above``."""

    key: str = field(validator=MaxBytes(MAX_KEY_CHARACTERS))
    above: int = field(validator=Unsigned())


@frozen(slots=False)
class DocumentReply(Message, code=12):
    """A document as published; ``raw`` is empty if there is none higher."""

    key: str = field(validator=MaxBytes(MAX_KEY_CHARACTERS))
    version: int = field(validator=Unsigned())
    raw: bytes = field(validator=MaxBytes(MAX_VALUE_BYTES))


@frozen(slots=False)
class StatusRequest(Message, code=13):
    """Ask for the daemon's view."""


@frozen(slots=False)
class StatusReply(Message, code=14):
    """The daemon's view as JSON."""

    report: bytes = field(validator=MaxBytes(MAX_VALUE_BYTES))


@frozen(slots=False)
class RouteRequest(Message, code=15):
    """Ask where a packet, or a new flow named ``flow_id``, would go."""

    service_address: str = field(validator=MaxBytes(MAX_TOKEN_BYTES))
    packet: bytes = field(validator=MaxBytes(MAX_PACKET_BYTES))
    flow_id: bytes = field(validator=MaxBytes(MAX_TOKEN_BYTES))


@frozen(slots=False)
class RouteReply(Message, code=16):
    """The choice and its reasons as JSON."""

    report: bytes = field(validator=MaxBytes(MAX_VALUE_BYTES))
