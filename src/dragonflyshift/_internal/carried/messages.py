"""Datagrams that balancers and sidecars exchange about carried flows.

A datagram is a msgpack array: the code of its message class, then the fields
of that class in their order.
"""

__all__ = (
    'AdmissionRequest',
    'ChangeNotice',
    'DaemonStatus',
    'Datagram',
    'FlowReply',
    'FlowStatus',
    'ForwardedPacket',
    'LookupOutcome',
    'LookupRequest',
    'LookupResult',
    'OwnershipQuery',
    'decode_datagram',
)

import enum
from typing import Any

import msgpack
from attrs import field, frozen

from dragonflyshift._internal.carried.load import LoadReport
from dragonflyshift._internal.carried.packet import FLOW_KEY_BYTES, FlowKey
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.rows import decode_row, encode_row
from dragonflyshift._internal.exceptions import WireError


class FlowStatus(enum.IntEnum):
    """A sidecar's reply about a flow.

    UNSURE is the reply of a sidecar that has no record of the flow, while
    its server may hold it after a restart of the sidecar.
    """

    ACCEPTED = 0
    REFUSED = 1
    OWNED = 2
    NOT_OWNED = 3
    UNSURE = 4
    # The reply concerns no flow and only reports the load.
    LOAD = 5


class LookupOutcome(enum.IntEnum):
    """The outcome of a lookup that a sidecar made for a balancer.

    DENIED means that all sidecars replied that they don't own the flow,
    UNANSWERED that the lookup found no owner but may have missed it.
    """

    OWNED = 0
    DENIED = 1
    UNANSWERED = 2


class Datagram:
    """Base class of messages.

    The code of a class is its index in ``_MESSAGE_CLASSES``.
    """

    def encode(self) -> bytes:
        """Return the message as a msgpack datagram."""
        code = _MESSAGE_CODES[self.__class__]
        return bytes(msgpack.packb((code, *encode_row(self))))


def _check_key(_message: object, _attribute: object, key: FlowKey) -> None:
    if len(key) != FLOW_KEY_BYTES:
        raise ValueError(
            f'flow key has {len(key)} bytes instead of {FLOW_KEY_BYTES}',
        )


@frozen(repr=False)
class AdmissionRequest(Datagram):
    """A request to admit a new flow, with the flow's first packet.

    ``slots`` is the number of configured slots of the backend server,
    ``version`` that of the configuration from which the balancer chose this
    sidecar. ``waited_ms`` is the time since the balancer received the first
    packet; unlike ``NewFlow.waited_ms`` it doesn't include the time before a
    retransmission. ``is_last`` is set if the sidecar may queue the flow
    instead of refusing it, ``is_local`` if the balancer is in the sidecar's
    data centre.
    """

    service: str
    target_ms: int
    timeout_ms: int
    priority: int
    slots: int
    version: int
    waited_ms: int
    is_last: bool
    is_local: bool
    raw: bytes


@frozen(repr=False)
class ForwardedPacket(Datagram):
    """A later packet of a flow, forwarded to the sidecar that owns it."""

    service: str
    raw: bytes


@frozen(repr=False)
class OwnershipQuery(Datagram):
    """A query to a sidecar whether it owns a flow.

    ``acknowledged`` is the acknowledgement number of the client's packet. If
    two backend servers answered the flow's first packet, this number shows
    which of the two answers the client accepted.
    """

    service: str
    key: FlowKey = field(validator=_check_key)
    acknowledged: int


@frozen(repr=False)
class FlowReply(Datagram):
    """A sidecar's reply about a flow, with its load.

    ``raw`` returns a packet that the sidecar could not deliver.
    """

    key: FlowKey = field(validator=_check_key)
    status: FlowStatus
    load: LoadReport
    raw: bytes = b''


@frozen(repr=False)
class LookupRequest(Datagram):
    """A request to find the owner of a packet's flow.

    The sidecar that receives it forwards the packet to the owner, or to the
    unsure sidecars as a flow probe.
    """

    service: str
    raw: bytes


@frozen(repr=False)
class LookupResult(Datagram):
    """The result of a lookup that a sidecar made for a balancer.

    ``owner`` is the host of the sidecar that owns the flow, empty if none was
    found. ``queried`` and ``answered`` count the sidecars that were queried and
    those that replied. ``digest`` and ``version`` identify the view that
    listed the queried sidecars.
    """

    key: FlowKey = field(validator=_check_key)
    outcome: LookupOutcome
    owner: str
    queried: int
    answered: int
    digest: int
    version: int


@frozen(repr=False)
class DaemonStatus(Datagram):
    """The state of a daemon's view, which it sends to its peers.

    ``revision`` is that of the endpoints, ``version`` that of the
    configuration. ``digest`` is a checksum of the endpoints' names and
    revisions. ``age_ms`` is the time since the store last confirmed this
    view to any daemon, as far as the sender knows. ``wants_reply`` requests the
    receiver's status. ``peers`` are addresses of balancers. ``load`` is that
    of a sidecar. ``readers`` are some balancers that read the store and
    sent their own status to the sender.
    """

    is_balancer: bool
    is_reader: bool
    data_center: str
    revision: int
    version: int
    digest: int
    age_ms: int
    is_leaving: bool
    wants_reply: bool
    peers: tuple[str, ...] = ()
    load: LoadReport | None = None
    readers: tuple[str, ...] = ()


@frozen(repr=False)
class ChangeNotice(Datagram):
    """Endpoint changes after revision ``base`` that fit into a datagram.

    ``removed`` lists the names of removed endpoints with the revisions of
    their removal.
    """

    base: int
    revision: int
    version: int
    age_ms: int
    records: tuple[EndpointRecord, ...]
    removed: tuple[tuple[str, int], ...]


_MESSAGE_CLASSES: tuple[type[Datagram], ...] = (
    AdmissionRequest,
    ForwardedPacket,
    OwnershipQuery,
    FlowReply,
    DaemonStatus,
    ChangeNotice,
    LookupRequest,
    LookupResult,
)
_MESSAGE_CODES = {kind: code for code, kind in enumerate(_MESSAGE_CLASSES)}


def decode_datagram(raw: bytes) -> Datagram:
    """Decode a datagram; raise WireError if it is malformed."""
    try:
        code, *fields = msgpack.unpackb(raw)
        return decode_row(_MESSAGE_CLASSES[_check_code(code)], fields)
    except (ValueError, TypeError, LookupError) as exc:
        raise WireError(f'datagram is malformed: {exc}') from exc
    except msgpack.UnpackException as exc:
        raise WireError(f'datagram is not valid msgpack: {exc}') from exc


def _check_code(code: Any) -> int:
    if code.__class__ is not int or code < 0:
        raise TypeError(f'message code {code!r} is not a non-negative integer')
    return code
