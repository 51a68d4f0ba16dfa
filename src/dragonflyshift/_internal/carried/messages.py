"""Datagrams between the daemons that carry flows.

Each is a msgpack array: a code, then the fields of one message class.
"""

__all__ = (
    'Ask',
    'Carry',
    'Datagram',
    'Finding',
    'Findings',
    'Notice',
    'Open',
    'Placement',
    'Status',
    'Survey',
    'Verdict',
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


class Verdict(enum.IntEnum):
    """What a sidecar says of a flow."""

    ACCEPTED = 0
    REFUSED = 1
    OWNED = 2
    NOT_OWNED = 3
    UNSURE = 4
    # About no flow: only the load is news.
    LOAD = 5


class Finding(enum.IntEnum):
    """What a look-up that another daemon made has found."""

    OWNED = 0
    DENIED = 1
    UNANSWERED = 2


class Datagram:
    """Base of all messages; the order of ``_KINDS`` gives their codes."""

    def encode(self) -> bytes:
        """Return the datagram."""
        code = _KINDS.index(type(self))
        return bytes(msgpack.packb((code, *encode_row(self))))


def _check_key(_message: object, _attribute: object, key: FlowKey) -> None:
    if len(key) != FLOW_KEY_BYTES:
        raise ValueError('flow key has a wrong length')


@frozen(repr=False)
class Open(Datagram):
    """A flow's first packet, for a sidecar to admit.

    ``slots`` is what the register lists for the backend server, ``version``
    the configuration that the balancer placed the flow by. ``is_last`` says
    that no other sidecar will be asked, ``is_local`` that the balancer stands
    in the sidecar's data centre.
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
class Carry(Datagram):
    """A later packet of a flow, for its owner."""

    service: str
    raw: bytes


@frozen(repr=False)
class Ask(Datagram):
    """The question to a sidecar whether it holds a flow.

    ``acknowledged`` is of the client's packet. While a flow opens at two
    backend servers, it tells whose answer the client took.
    """

    service: str
    key: FlowKey = field(validator=_check_key)
    acknowledged: int


@frozen(repr=False)
class Placement(Datagram):
    """A sidecar's verdict on a flow, with its load.

    ``raw`` returns a packet that the sidecar could not deliver.
    """

    key: FlowKey = field(validator=_check_key)
    verdict: Verdict
    load: LoadReport
    raw: bytes = b''


@frozen(repr=False)
class Survey(Datagram):
    """A packet whose flow's owner a sidecar is to find, and to give it to."""

    service: str
    raw: bytes


@frozen(repr=False)
class Findings(Datagram):
    """The end of a survey.

    ``owner`` is the host of the sidecar that has the flow. ``digest`` and
    ``version`` name the view whose sidecars were asked.
    """

    key: FlowKey = field(validator=_check_key)
    finding: Finding
    owner: str
    asked: int
    answered: int
    digest: int
    version: int


@frozen(repr=False)
class Status(Datagram):
    """What a daemon holds, told to its peers.

    ``age_ms`` is the time since the store confirmed the view, here or at a
    daemon that this one has it from; a reader has it from the store itself.
    ``digest`` is over the endpoints' names and revisions. ``peers`` are
    balancers' addresses. ``wants_reply`` asks for the receiver's status.
    ``readers`` are the balancers that read the store, as the sender has heard
    from them directly.
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
class Notice(Datagram):
    """Endpoint changes after revision ``base``, small enough for a datagram."""

    base: int
    revision: int
    version: int
    age_ms: int
    records: tuple[EndpointRecord, ...]
    removed: tuple[tuple[str, int], ...]


_KINDS: tuple[type[Datagram], ...] = (
    Open,
    Carry,
    Ask,
    Placement,
    Status,
    Notice,
    Survey,
    Findings,
)


def decode_datagram(raw: bytes) -> Datagram:
    """Decode a datagram; raise WireError when anything in it is off."""
    try:
        code, *fields = msgpack.unpackb(raw)
        return decode_row(_KINDS[_code(code)], fields)
    except (ValueError, TypeError, LookupError) as exc:
        raise WireError(f'datagram is malformed: {exc}') from exc
    except msgpack.UnpackException as exc:
        raise WireError(f'datagram is no msgpack: {exc}') from exc


def _code(code: Any) -> int:
    if code.__class__ is not int or code < 0:
        raise TypeError('code is no number')
    return code
